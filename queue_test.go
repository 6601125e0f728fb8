package forkhead

import (
	"testing"
	"time"
)

func TestRequestHasOneAnswerAtItsDeadline(t *testing.T) {
	for _, c := range []struct {
		effect       Effect
		wantRejected bool
	}{
		{Safe, true},
		{Unsafe, false},
	} {
		settings := testSettings()
		settings.Classes[0].Effect = c.effect
		h := newHarness(t, settings, readyMachines(3))
		id, actions := h.request(0, 7)
		h.singleOffer(actions)
		var due []SetTimer
		for _, timer := range actionsOf[SetTimer](actions) {
			if timer.At > h.now+4*time.Second && timer.At <= h.now+5*time.Second {
				due = append(due, timer)
			}
		}
		if len(due) != 1 {
			t.Fatalf("want one timer just before the deadline, got %v", formatActions(actions))
		}
		h.now = due[0].At
		actions = h.step(TimerFired{Timer: due[0].Timer})
		rejections, failures := len(actionsOf[Reject](actions)), len(actionsOf[Fail](actions))
		if rejections+failures != 1 || (rejections == 1) != c.wantRejected {
			t.Errorf("effect %d with an attempt in flight: %d rejections, %d failures", c.effect, rejections, failures)
		}
		h.now += time.Millisecond
		late := h.step(Outcome{Task: id, Attempt: 0, Result: TimedOut}, RequestCanceled{Task: id})
		if len(actionsOf[Offer](late))+len(actionsOf[Reject](late))+len(actionsOf[Fail](late)) > 0 {
			t.Errorf("a second answer or an offer after the answer: %v", formatActions(late))
		}
	}
}

func TestQueuedRequestIsRejectedAtItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), nil)
	_, actions := h.request(0, 7)
	if len(actionsOf[Offer](actions)) > 0 {
		t.Fatalf("offered with no machine: %v", formatActions(actions))
	}
	h.now += 5*time.Second - deadlineMargin
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.At == h.now {
			if got := h.step(TimerFired{Timer: timer.Timer}); len(actionsOf[Reject](got)) != 1 {
				t.Fatalf("want one rejection, got %v", formatActions(got))
			}
			return
		}
	}
	t.Fatal("no timer at the deadline")
}

// A tenant beyond its quota once kept those within theirs waiting.
func TestQueuePrefersTenantsWithinQuota(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 0.5, QuotaCores: 5}, {Quota: 0.5, QuotaCores: 5}}
	settings.OverQuotaWeight = 0.1
	h := newHarness(t, settings, readyMachines(1))
	var bound []Offer
	for service := range uint64(14) {
		_, actions := h.request(0, service)
		for _, offer := range actionsOf[Offer](actions) {
			h.step(Bound{Task: offer.Task, Machine: offer.Machine})
			bound = append(bound, offer)
		}
	}
	if len(bound) != 10 {
		t.Fatalf("%d tasks on a machine for ten", len(bound))
	}
	task := h.newTask(0, 99)
	task.Tenant = 1
	h.step(PlacementRequest{Task: task})
	h.now += 100 * time.Millisecond
	actions := h.step(Outcome{Task: bound[0].Task, Machine: bound[0].Machine, Result: OK, Final: true})
	if got := h.singleOffer(actions).Task; got != task.ID {
		t.Errorf("the capacity went to task %d, want %d of the tenant within its quota", got, task.ID)
	}
}
