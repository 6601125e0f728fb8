package platform

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

func refuse(d DialHost) Input { return DialFailed{Connection: d.Connection, Refused: true} }

// answerProbes answers the probes of the last step on the connections that a function selects; nil selects all.
func (w *testCore) answerProbes(on func(ConnectionID) bool) {
	for _, o := range ofType[SendToHost](slices.Clone(w.outputs)) {
		for _, ref := range probeRefs([]Output{o}) {
			if on == nil || on(o.Connection) {
				w.step(fromHost(o.Connection, `{"t":"hb_ok","ref":"`+ref+`","f":{},"c":1}`))
			}
		}
	}
}

// releasedAfter runs for a time and returns after how long the task of ref1 was released to its owner; 0: it was not.
func (w *testCore) releasedAfter(d time.Duration, dial func(DialHost) Input, each func()) time.Duration {
	began, releasedAt := w.now, time.Duration(0)
	note := func() {
		if releasedAt == 0 && slices.Contains(sentLines[SendToOwner](w.outputs), "down "+ref1+" 41") {
			releasedAt = w.now
		}
	}
	answer := func(d DialHost) Input {
		note() // the step that answers the dial replaces the outputs
		return dial(d)
	}
	w.run(d, answer, func() {
		note()
		each()
	})
	if releasedAt == 0 {
		return 0
	}
	return releasedAt - began
}

// Where hosts may be probed, a host lives as long as it answers, not as long as its port accepts connections.
func TestCoreTakesOnlyAnswersForLifeOfHost(t *testing.T) {
	nobody := func(ConnectionID) bool { return false }
	first := func(id ConnectionID) bool { return id == 1 }
	for name, c := range map[string]struct {
		dial   func(DialHost) Input
		answer func(ConnectionID) bool // connections on which the host answers probes
		lost   bool
	}{
		"accepts and answers":                   {connected, nil, false},
		"accepts and answers on the first only": {connected, first, false},
		"refuses and answers on the first":      {refuse, first, false},
		"accepts and says nothing":              {connected, nobody, true},
		"refuses and says nothing":              {refuse, nobody, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, mayProbe)
			w.placeTask()
			probes := 0
			after := w.releasedAfter(time.Minute, c.dial, func() {
				probes += len(probeRefs(w.outputs))
				w.answerProbes(c.answer)
			})
			if (after > 0) != c.lost || after > undeliveredTimeout {
				t.Errorf("task released after %v (0 is never), want released %v, within %v", after, c.lost, undeliveredTimeout)
			}
			if !c.lost && probes > 60 {
				t.Errorf("a host that answers: got %d probes in a minute, want at most 60", probes)
			}
		})
	}
}

// A removed host that has answered after its removal is lost when it says nothing more. What comes on a connection that was
// dialed after the removal may be from another process.
func TestCoreLosesRemovedHostThatSaysNothingMore(t *testing.T) {
	for name, answerLater := range map[string]bool{"nothing answers": false, "something answers on new connections": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, mayProbe)
			_, conn := w.placeTask()
			w.step(hostChanged(1, platform.Terminated))
			w.now += 10 * time.Millisecond
			w.step(fromHost(conn, `{"t":"tell","ref":"`+ref1+`","f":{"note":"running"}}`))
			after := w.releasedAfter(time.Minute, connected, func() {
				w.answerProbes(func(id ConnectionID) bool { return answerLater && id != conn })
			})
			if after < time.Second || after > undeliveredTimeout {
				t.Errorf("task released after %v (0 is never), want between 1s and %v", after, undeliveredTimeout)
			}
		})
	}
}

// A host that nobody has asked, as this placer was stopped, is asked before it is lost.
func TestCoreAsksHostAfterItsOwnStop(t *testing.T) {
	w := newTestCore(t, mayProbe)
	w.placeTask()
	w.run(10*time.Second, connected, func() { w.answerProbes(nil) })
	w.now += 20 * time.Second
	after := w.releasedAfter(10*time.Second, connected, func() { w.answerProbes(nil) })
	if after != 0 {
		t.Errorf("host that answers, after a stop of this placer for 20 s: its task was released after %v, want it kept", after)
	}
}

// A host that was never reached has as long to accept a connection as one that was, from the hand-over of its first task.
func TestCoreGivesHostThatWasNeverReachedItsTime(t *testing.T) {
	for _, mayAsk := range []bool{false, true} {
		w := newTestCore(t, func(cfg *Config) { cfg.Settings.MayProbe = mayAsk })
		w.send(w.connectOwner(), handOverLine(ref1, 2))
		if after := w.releasedAfter(time.Minute, refuse, func() {}); after < lostAfter || after > undeliveredTimeout {
			t.Errorf("probes allowed %v: task released after %v (0 is never), want %v to %v", mayAsk, after, lostAfter, undeliveredTimeout)
		}
	}
}
