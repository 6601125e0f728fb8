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
			t.Fatalf("effect %d: got actions %v, want one SetTimer in the last second before the deadline",
				c.effect, formatActions(actions))
		}
		h.now = due[0].At
		actions = h.step(TimerFired{Timer: due[0].Timer})
		rejections, failures := len(actionsOf[Reject](actions)), len(actionsOf[Fail](actions))
		if rejections+failures != 1 || (rejections == 1) != c.wantRejected {
			t.Errorf("effect %d, attempt in flight: got %d rejections and %d failures, want one answer, rejected: %v",
				c.effect, rejections, failures, c.wantRejected)
		}
		h.now += time.Millisecond
		late := h.step(Outcome{Task: id, Attempt: 0, Result: TimedOut}, RequestCanceled{Task: id})
		if len(actionsOf[Offer](late))+len(actionsOf[Reject](late))+len(actionsOf[Fail](late)) > 0 {
			t.Errorf("effect %d, events after the answer: got actions %v, want no Offer, Reject or Fail",
				c.effect, formatActions(late))
		}
	}
}

func TestQueuedRequestIsRejectedAtItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), nil)
	_, actions := h.request(0, 7)
	if len(actionsOf[Offer](actions)) > 0 {
		t.Fatalf("request with no machine: got actions %v, want no Offer", formatActions(actions))
	}
	h.now += 5*time.Second - deadlineMargin
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.At == h.now {
			if got := h.step(TimerFired{Timer: timer.Timer}); len(actionsOf[Reject](got)) != 1 {
				t.Fatalf("timer at the deadline: got actions %v, want one Reject", formatActions(got))
			}
			return
		}
	}
	t.Fatalf("request with no machine: got actions %v, want a SetTimer at the deadline", formatActions(actions))
}

// A tenant beyond its quota must not keep tenants within theirs waiting.
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
		t.Fatalf("tasks bound on a machine with capacity for 10 = %d, want 10", len(bound))
	}
	task := h.newTask(0, 99)
	task.Tenant = 1
	h.step(PlacementRequest{Task: task})
	h.now += 100 * time.Millisecond
	actions := h.step(Outcome{Task: bound[0].Task, Machine: bound[0].Machine, Result: OK, Final: true})
	if got := h.singleOffer(actions).Task; got != task.ID {
		t.Errorf("released capacity: got an offer of task %d, want %d, of the tenant within its quota", got, task.ID)
	}
}
