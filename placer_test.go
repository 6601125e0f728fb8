package forkhead

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestStepIsDeterministic(t *testing.T) {
	run := func() string {
		h := newHarness(t, testSettings(), readyMachines(9))
		text := ""
		for i := range 200 {
			h.now += 7 * time.Millisecond
			id, actions := h.request(0, uint64(i%17))
			text += formatActions(actions)
			for _, offer := range actionsOf[Offer](actions) {
				var answer Event = Bound{Task: id, Machine: offer.Machine}
				if i%5 == 0 {
					answer = Outcome{Task: id, Machine: offer.Machine, Result: Rejected, Reason: InsufficientCores}
				}
				text += formatActions(h.step(answer))
			}
		}
		return text
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs with the same events: got different actions, want the same")
	}
}

// After a pause, a placer gets the timer of an attempt and its answer in the same step. If it handled the timer
// first, it would treat the answered attempt as overdue.
func TestStepHandlesAnswersBeforeTimers(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(1))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	h.now += 2 * time.Second
	actions = h.step(
		TimerFired{Timer: timerNumber(timerAttempt, uint32(id))}, Bound{Task: id, Machine: first.Machine},
	)
	if len(actionsOf[Probe](actions))+len(actionsOf[Withdraw](actions)) > 0 {
		t.Errorf("actions for an attempt that is answered in the step of its timer = %v, want no Probe or Withdraw",
			formatActions(actions))
	}
}

// A placer that gets many requests with short deadlines in one step must answer each exactly once and in time.
func TestStepAnswersManyLateRequestsOnce(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(12))
	const requests = 3000
	var events []Event
	for i := range requests {
		task := h.newTask(0, uint64(i))
		task.Timeout = 20 * time.Millisecond
		events = append(events, PlacementRequest{Task: task})
	}
	actions := h.step(events...)
	answers := map[TaskID]int{}
	for range 4 {
		var due []Event
		for _, action := range actions {
			switch action := action.(type) {
			case SetTimer:
				if action.At <= h.now+20*time.Millisecond {
					due = append(due, TimerFired{Timer: action.Timer})
				}
			case Reject:
				answers[action.Task]++
			case Fail:
				answers[action.Task]++
			}
		}
		h.now += 15 * time.Millisecond
		actions = h.step(due...)
	}
	for id := TaskID(1); id <= requests; id++ {
		if answers[id] != 1 {
			t.Fatalf("task %d: got %d answers, want 1", id, answers[id])
		}
	}
}

func TestStepIgnoresUnknownIDs(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(3))
	actions := h.step(
		Bound{Task: 99}, Outcome{Task: 99, Result: OK}, Note{Task: 99, Kind: NoteCoresUsed}, RequestCanceled{Task: 99},
		Probed{Machine: 99}, GossipReceived{Data: []byte{1, 2, 3}}, TimerFired{Timer: 1<<40 | 7},
		Probed{Machine: 1, Result: OK, Report: &LoadReport{AvailableCores: math.NaN(), AvailableMemory: math.NaN()}},
		ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 50, Type: 9, State: Ready}}},
	)
	if len(actions) > 0 {
		t.Errorf("actions for events with unknown ids = %v, want none", formatActions(actions))
	}
	id, _ := h.request(0, 7)
	h.step(Bound{Task: id, Attempt: 3}, Outcome{Task: id, Attempt: -1, Result: Rejected})
	end := Outcome{Task: id, Attempt: 0, Result: OK, Final: true}
	h.step(end, end)
}

// benchmarkStep measures steps with one event each, of a placer with the given number of machines.
func benchmarkStep(b *testing.B, machines int, event func(p *Placer, i int) Event) {
	settings := testSettings()
	settings.Placers = 400
	p, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	p.Step(time.Hour, []Event{ListUpdate{Mode: ListCached, Machines: readyMachines(machines)}})
	i := 0
	for b.Loop() {
		p.Step(time.Hour+time.Duration(i)*time.Millisecond, []Event{event(p, i)})
		i++
		if id := TaskID(i); p.tasks[id] != nil && p.hasAttemptInFlight(p.tasks[id]) {
			p.Step(p.now, []Event{Outcome{Task: id, Result: OK, Final: true}})
		}
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("request/%d", n), func(b *testing.B) {
			benchmarkStep(b, n, func(_ *Placer, i int) Event {
				task := Task{ID: TaskID(i + 1), Service: uint64(i % 50), Timeout: time.Second, Cores: 1, Memory: 1}
				return PlacementRequest{Task: task}
			})
		})
		machines := readyMachines(n)
		b.Run(fmt.Sprintf("list/%d", n), func(b *testing.B) {
			benchmarkStep(b, n, func(_ *Placer, i int) Event {
				m := machines[i%n]
				m.AvailableCores = float64(i % 10)
				return ListUpdate{Mode: ListDelta, Machines: []Machine{m}}
			})
		})
	}
}
