package simulation

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"forkhead/internal/protocol/capture"
)

func TestRandomRuns(t *testing.T) {
	var which []int
	for seed := range 60 {
		which = append(which, seed)
	}
	// Runs that once broke a rule: a task dropped with an attempt unknown and started again under its
	// key, a group checked without a host that had left the endpoint list, a Welcome whose Holds were lost, an
	// update that waited for good for one of its tasks, a stop that was requested too early.
	which = append(which, 1126, 3490, 5312, 1739, 669, 744, 957, 1605, 1746, 1902, 2119, 2581, 2793, 3399, 3788)
	for _, seed := range which {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { RunRandom(t, Ordinary, uint64(seed)) })
	}
	// And runs whose placer broke one by what crossed its own sockets: an offer that waited for its
	// connection while tasks of an earlier incarnation turned up, or to a host whose handshake reported that it
	// drains after it was removed; a copy whose Stop was lost; a keyed task that expired as the safe one it
	// had become.
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

// randomTraffic returns the traffic of a placer in a random run, until the faults are over.
func randomTraffic(t *testing.T, mix Mix, seed uint64) []capture.Event {
	t.Helper()
	r := newRandomRun(t, mix, seed)
	r.injectFaults()
	r.recoverAll()
	return r.s.Captured
}

// firstDifference returns the index of the first event that is not in both, or -1.
func firstDifference(a, b []capture.Event) int {
	for i := range min(len(a), len(b)) {
		if !cmp.Equal(a[i], b[i]) {
			return i
		}
	}
	if len(a) != len(b) {
		return min(len(a), len(b))
	}
	return -1
}

// A run that broke a rule can be repeated. These seeds' runs took several courses while hosts added up their tasks in the
// order of a map.
func TestRandomRunFollowsFromSeed(t *testing.T) {
	for _, c := range []struct {
		mix   Mix
		seeds []uint64
	}{
		{Ordinary, []uint64{14, 46, 108, 188}},
		{Spread, []uint64{118, 144, 179}},
	} {
		for _, seed := range c.seeds {
			first := randomTraffic(t, c.mix, seed)
			for range 3 {
				repeated := randomTraffic(t, c.mix, seed)
				if i := firstDifference(first, repeated); i >= 0 {
					t.Errorf("%s %d, repeated: parts at event %d of %d", c.mix.Name, seed, i, len(first))
					break
				}
			}
		}
	}
}
