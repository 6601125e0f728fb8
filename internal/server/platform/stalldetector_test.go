package platform

import (
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/eventloop"
)

// What is read right after a stall may have waited since the last step before it. What is read later has not.
func TestStallDetectorAgesDataReadAfterStall(t *testing.T) {
	const ms = time.Millisecond
	var d stallDetector
	for _, c := range []struct {
		now, next time.Duration // time of the step, and of the next one that it wants
		want      time.Duration // age of the data of the step
	}{
		{1000 * ms, 1050 * ms, 0},
		{1050 * ms, 1100 * ms, 0},
		{1140 * ms, 1190 * ms, 0}, // late by less than eventloop.StalledAfter
		{2190 * ms, 2240 * ms, 1050 * ms},
		{2200 * ms, 2240 * ms, 1060 * ms},
		{2240 * ms, 2290 * ms, 1100 * ms},
		{2291 * ms, 2340 * ms, 0},
	} {
		inputs := []platformcore.Input{platformcore.HostData{}, platformcore.OwnerData{Owner: 1}}
		d.observe(c.now)
		d.setAges(c.now, inputs)
		d.stepped(c.now, c.next)
		if got := inputs[1].(platformcore.OwnerData).Age; got != c.want {
			t.Errorf("step at %v: got age %v, want %v", c.now, got, c.want)
		}
	}
}

// What is read in the first step may have waited since the listener was opened, if that step is late.
func TestStallDetectorAgesDataReadInLateFirstStep(t *testing.T) {
	const opened = time.Second
	for late, want := range map[time.Duration]time.Duration{
		20 * time.Millisecond:  0,
		300 * time.Millisecond: 300 * time.Millisecond,
	} {
		var d stallDetector
		inputs := []platformcore.Input{platformcore.OwnerData{Owner: 1}}
		d.began(opened)
		d.observe(opened + late)
		d.setAges(opened+late, inputs)
		if got := inputs[0].(platformcore.OwnerData).Age; got != want {
			t.Errorf("first step %v after the listener was opened: got age %v, want %v", late, got, want)
		}
	}
}

// A request that came while the process was stalled is offered with the time that its owner has left.
func TestServerSubtractsStallFromTimeLeft(t *testing.T) {
	const stalled = 700 * time.Millisecond
	host := newRecordingHost(t)
	s := startWithHost(t, host.asTestHost())
	o := newTestOwner(t, s.Address())
	o.probe(t)
	resume := stall(t, s)
	time.Sleep(eventloop.StalledAfter) // the process is known to have run until the step before
	sentAt := time.Now()
	o.request("00000000000000c1", 2000)
	time.Sleep(stalled)
	resume()
	o.awaitAnswer(t, "00000000000000c1")
	waited := time.Since(sentAt)
	got := host.offeredTime(t, "00000000000000c1")
	if most := 2*time.Second - stalled; got > most || got < 2*time.Second-waited-2*eventloop.StalledAfter {
		t.Errorf("time that the host is told for a request of 2 s sent %v before the stall ended: got %v, want at most %v and at least %v",
			stalled, got, most, 2*time.Second-waited-2*eventloop.StalledAfter)
	}
}
