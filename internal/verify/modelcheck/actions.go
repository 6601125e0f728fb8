package modelcheck

import (
	"fmt"

	"forkhead/internal/scheduler/hostconn"
)

// action is a transition that is possible in a state. A fair action happens eventually, unless another action makes it
// impossible. The other actions are faults, timers and choices of the module.
type action struct {
	name string // the action's line in traces; only the line's format string unless model.formatNames is set
	fair bool
	do   func(st *step)
}

// actionList collects the actions of a state. Their order must be the same each time, because a search stores the index
// of the action that led to a state.
type actionList struct {
	model   *model
	state   *state
	actions []action
}

// actions returns the actions that are possible in a state, in a fixed order. The result is stored in buf, whose
// elements are overwritten.
func (m *model) actions(s *state, buf []action) []action {
	l := actionList{model: m, state: s, actions: buf[:0]}
	for hi := range m.cfg.Hosts {
		l.addNetworkActions(hi)
		l.addHostActions(hi)
		l.addPlacerActions(hi)
	}
	for ti := range m.cfg.Tasks {
		l.addOwnerActions(ti)
		l.addModuleActions(ti)
	}
	if l.faultAllowed() && !m.cfg.NoCrash {
		l.add(false, (*step).crashPlacer, "placer crashes")
	}
	return l.actions
}

func (l *actionList) add(fair bool, do func(st *step), format string, args ...any) {
	if len(args) > 0 && l.model.formatNames {
		format = fmt.Sprintf(format, args...)
	}
	l.actions = append(l.actions, action{format, fair, do})
}

// faultAllowed reports whether there have been fewer faults than Config.Faults.
func (l *actionList) faultAllowed() bool { return int(l.state.faults) < l.model.cfg.Faults }

// addPlacerActions adds the placer's own actions for a host: the placer connects, is notified of a drain, and the grace
// period of the drain ends.
func (l *actionList) addPlacerActions(hi int) {
	h := &l.state.hosts[hi]
	if h.connState == hostconn.Down && h.up && h.streams[1].conn == 0 {
		l.add(true, func(st *step) { st.connect(hi) }, "placer connects to host %d", hi)
	}
	if h.draining && h.drainView == drainUnknown {
		l.add(true, func(st *step) { st.s.hosts[hi].drainView = drainNotified }, "placer is told that host %d drains", hi)
	}
	if h.drainView == drainNotified {
		l.add(true, func(st *step) { st.s.hosts[hi].drainView = drainGraceOver }, "grace of host %d is over", hi)
	}
}

// crashPlacer ends the placer's incarnation. Its whole state is lost, owners request their tasks again, and hosts
// continue.
func (st *step) crashPlacer() {
	s := st.s
	s.incarnation++
	s.faults++
	for hi := range st.cfg.Hosts {
		h := &s.hosts[hi]
		h.connState, h.conn, h.knownEpoch, h.holdsReceived = hostconn.Down, 0, 0, false
		h.drainView = drainUnknown
		for i := range h.streams {
			h.streams[i].placerOpen = false
			h.streams[i].discardUndeliverable()
		}
	}
	for ti := range st.cfg.Tasks {
		t := &s.tasks[ti]
		t.owner, t.outcome, t.requests, t.lastRejected = ownerWaiting, outcomeNone, 0, false
		for ai := range t.attemptsMade() {
			t.attempts[ai].phase = forgotten
		}
	}
}
