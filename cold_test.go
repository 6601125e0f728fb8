package forkhead

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Many placers, each with a clock of its own, want the one machine that has just started. Their offers wait for connections
// for up to the time-out, some placers hear of the start late, and some are restarted. What reaches the machine in any
// window stays within what it bears and chance, and the machine is used.
func TestColdMachineWithDelaysAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 16, 20, 30, 100}).Draw(t, "placers")
		set := testSettings()
		set.Placers = n
		set.Classes[0].SpreadDomain = AnyDomain
		set.MachineTypes[0] = MachineType{Cores: 1e6, Memory: 1e6}
		set.SlowStartMaxOffers = float64(rapid.IntRange(1, 300).Draw(t, "budget"))
		set.SlowStartWindow = time.Duration(rapid.IntRange(400, 3000).Draw(t, "window, ms")) * time.Millisecond
		set.SlowStartDuration = 5 * set.SlowStartWindow
		set.ConnectTimeout = min(time.Duration(rapid.IntRange(50, 1000).Draw(t, "connect time-out, ms"))*time.Millisecond, set.SlowStartWindow)
		skew := rapid.IntRange(0, 100).Draw(t, "clocks apart, ms")
		late := rapid.IntRange(0, 100).Draw(t, "connections that come up late, percent")
		const begin = time.Hour
		machine := Machine{ID: MachineID(rapid.Uint32().Draw(t, "machine")), State: Ready, StartedAt: begin, AvailableCores: 1e6, AvailableMemory: 1e6}
		gone := machine
		gone.State = Removed
		type life struct {
			p     *Placer
			clock time.Duration
			hears time.Duration // of the start
			ends  time.Duration // and comes again
			from  time.Duration
		}
		all := make([]life, n)
		fresh := func(i int, at time.Duration, m Machine) {
			set.Self = i
			p, err := New(set, uint64(i)+1)
			if err != nil {
				t.Fatal(err)
			}
			all[i].p = p
			p.Step(at+all[i].clock, []Event{ListUpdate{Mode: ListCached, Machines: []Machine{m}}})
		}
		rng := rapid.Uint64().Draw(t, "seed")
		draw := func(most int) time.Duration { // up to so many milliseconds
			rng = hash64(rng + 1)
			return time.Duration(rng%uint64(most+1)) * time.Millisecond
		}
		for i := range all {
			all[i].clock = draw(2*skew) - time.Duration(skew)*time.Millisecond
			all[i].hears = begin + draw(300)
			all[i].ends = begin + draw(int(2*set.SlowStartDuration/time.Millisecond))
			fresh(i, begin-time.Minute, gone)
		}
		tick := max(set.SlowStartWindow/30, 10*time.Millisecond)
		var arrived []time.Duration
		id := TaskID(0)
		for now := begin; now < begin+set.SlowStartDuration-time.Duration(skew)*time.Millisecond; now += tick {
			for i := range all {
				l := &all[i]
				var events []Event
				if l.hears > 0 && now >= l.hears {
					l.hears = 0
					events = append(events, ListUpdate{Mode: ListDelta, Machines: []Machine{machine}})
				}
				if l.ends > 0 && now >= l.ends {
					l.ends, l.from = 0, now+draw(500)
					l.p = nil
				}
				if l.p == nil {
					if now < l.from {
						continue
					}
					fresh(i, now, machine)
				}
				var ids []TaskID
				for range 1 + 20/n {
					id++
					ids = append(ids, id)
					events = append(events, PlacementRequest{Task: Task{ID: id, Service: uint64(id), Timeout: time.Second, Cores: 1, Memory: 1}})
				}
				actions := l.p.Step(now+l.clock, events)
				events = events[:0]
				for _, o := range only[Offer](actions) {
					wait := time.Millisecond
					if draw(99) < time.Duration(late)*time.Millisecond {
						wait = draw(int(set.ConnectTimeout / time.Millisecond))
					}
					arrived = append(arrived, now+wait)
					events = append(events, Bound{Task: o.Task}, Outcome{Task: o.Task, Result: OK, Final: true})
				}
				for _, id := range ids {
					events = append(events, RequestCanceled{Task: id})
				}
				l.p.Step(now+l.clock, events)
			}
		}
		slices.Sort(arrived)
		bound := set.SlowStartMaxOffers + 2*math.Sqrt(set.SlowStartMaxOffers) + 2
		most := 0
		for i, at := range arrived {
			first, _ := slices.BinarySearch(arrived, at-set.SlowStartWindow+1)
			most = max(most, i-first+1)
		}
		if float64(most) > bound {
			t.Errorf("%d offers reach the machine in a window, %g are borne and %.1f are chance", most, set.SlowStartMaxOffers, bound)
		}
		if windows := float64(set.SlowStartDuration/set.SlowStartWindow) - 2; float64(len(arrived)) < windows*min(set.SlowStartMaxOffers, float64(n))/16-1 {
			t.Errorf("only %d offers in %g windows of %g", len(arrived), windows, set.SlowStartMaxOffers)
		}
	})
}
