package simulation

import (
	"fmt"
	"testing"
)

func TestRandomRuns(t *testing.T) {
	var which []int
	for seed := range 60 {
		which = append(which, seed)
	}
	// Lives that once broke a rule: a task dropped with an attempt unknown and begun anew under its
	// key, a group judged without a host that had left the list, a Welcome whose Holds were lost, an
	// update that waited for good for one of its tasks, a stop that was called for too early.
	which = append(which, 1126, 3490, 5312, 1739, 669, 744, 957, 1605, 1746, 1902, 2119, 2581, 2793, 3399, 3788)
	for _, seed := range which {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { RunRandom(t, Ordinary, uint64(seed)) })
	}
	// And lives whose placer broke one by what crossed its own sockets: an offer that waited for its
	// connection while tasks of an earlier life turned up, or to a host that greeted as draining after it
	// was forgotten; a copy whose Stop was lost; a keyed task that lapsed as the safe one it had become.
	for _, seed := range []int{10150, 10587, 10641, 10986, 11370, 11409, 11418} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { RunRandom(t, Ordinary, uint64(seed)) })
	}
	for _, seed := range []int{10002, 10269, 10286, 10381, 10439, 10659, 10694, 10748, 10791, 10935, 11040, 11171, 11187, 11255, 11293, 11429, 11450, 11765} {
		t.Run(fmt.Sprint("spread/", seed), func(t *testing.T) { RunRandom(t, Spread, uint64(seed)) })
	}
	for seed := range 60 {
		t.Run(fmt.Sprint("spread/", seed), func(t *testing.T) { RunRandom(t, Spread, uint64(seed)) })
	}
}

// A life that goes wrong is told with its reason, not lost.
func TestPanicTBKeepsMessage(t *testing.T) {
	defer func() {
		if f, ok := recover().(failure); !ok || f.text != "two of 3" {
			t.Fatalf("%v", f)
		}
	}()
	panicTB{}.Fatalf("two of %d", 3)
}

// A placer that is killed at each point of its steps, and while it recovers, forgets nothing that it acknowledged.
func TestDurableRuns(t *testing.T) {
	var all CrashCounts
	for seed := range 15 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := RunDurable(t, uint64(seed))
			all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs = all.BeforeCommit+c.BeforeCommit, all.AfterCommit+c.AfterCommit, all.AfterHalfOutputs+c.AfterHalfOutputs
			all.BetweenSteps, all.DuringRecovery = all.BetweenSteps+c.BetweenSteps, all.DuringRecovery+c.DuringRecovery
		})
	}
	if min(all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs, all.BetweenSteps, all.DuringRecovery) < 5 {
		t.Errorf("hardly any crashes prove nothing: %+v", all)
	}
	t.Logf("%+v", all)
}
