package modelcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/hostsession"
	"forkhead/internal/scheduler/ids"
)

// subject is what a line of a trace is about.
type subject struct {
	task    int
	host    *replayHost
	message string // name of a frame
}

// replayActions are the lines of a trace: TASK, HOST and MESSAGE are placeholders for what a line is about.
var replayActions = []struct {
	pattern string
	replay  func(*replayer, subject) error
}{
	{"placer connects to host HOST", (*replayer).connect},
	{"host HOST reads MESSAGE", (*replayer).deliverToHost},
	{"placer reads MESSAGE of host HOST", (*replayer).deliverToPlacer},
	{"placer sees the connection to host HOST end", (*replayer).closeSeenByPlacer},
	{"host HOST sees its connection end", (*replayer).closeSeenByHost},
	{"the connection to host HOST is cut", (*replayer).breakConnection},
	{"host HOST dies", (*replayer).killHost},
	{"host HOST comes back", (*replayer).startHost},
	{"host HOST drains", (*replayer).drainHost},
	{"placer is told that host HOST drains", (*replayer).listHosts},
	{"grace of host HOST is over", (*replayer).endDrainGrace},
	{"host HOST accepts task TASK", (*replayer).acceptAtHost},
	{"host HOST refuses task TASK", (*replayer).rejectAtHost},
	{"task TASK runs on host HOST", (*replayer).startAtHost},
	{"task TASK ends on host HOST", (*replayer).finishAtHost},
	{"task TASK on host HOST counts as lost", (*replayer).expireUnreachable},
	{"hosts forget the key of task TASK", (*replayer).endDedupWindow},
	{"task TASK is asked for", (*replayer).openRequest},
	{"the owner of task TASK gives up", (*replayer).giveUp},
	{"module offers task TASK to host HOST", (*replayer).offer},
	{"module refuses task TASK", (*replayer).reject},
	{"module fails task TASK", (*replayer).fail},
	{"module withdraws task TASK", (*replayer).withdraw},
	{"placer crashes", (*replayer).crashPlacer},
}

// replayAction replays a line of a trace. It returns an error if the core is not in a state in which the line is possible.
func (r *replayer) replayAction(line string) error {
	for _, a := range replayActions {
		if on, ok := r.match(a.pattern, line); ok {
			return a.replay(r, on)
		}
	}
	return errors.New("not a step of a trace")
}

// match compares a line with a pattern, word for word, and returns what it is about.
func (r *replayer) match(pattern, line string) (on subject, ok bool) {
	patternTokens, tokens := strings.Split(pattern, " "), strings.Split(line, " ")
	if len(tokens) != len(patternTokens) {
		return subject{}, false
	}
	host := noHost
	for i, token := range tokens {
		switch patternTokens[i] {
		case "TASK":
			on.task, ok = parseIndex(token)
		case "HOST":
			host, ok = parseIndex(token)
		case "MESSAGE":
			on.message, ok = token, token != ""
		default:
			ok = token == patternTokens[i]
		}
		if !ok {
			return subject{}, false
		}
	}
	if host != noHost {
		on.host = r.hosts[host]
	}
	return on, true
}

// noHost as an index means that a pattern has no host.
const noHost = -1

// parseIndex reads an index in the form in which it is written.
func parseIndex(digits string) (int, bool) {
	n, err := strconv.Atoi(digits)
	return n, err == nil && strconv.Itoa(n) == digits
}

// Connections.

func (r *replayer) connect(on subject) error {
	h := on.host
	if h.dialing == 0 {
		r.advance(retryTime)
	}
	if h.dialing == 0 {
		return fmt.Errorf("the core does not dial %s", h.name)
	}
	s := &replayStream{conn: h.dialing, incarnation: r.incarnation, placerOpen: true, hostOpen: true}
	h.dialing = 0
	h.streams = append(h.streams, s)
	r.stepCore(core.HostConnected{Host: h.name, Conn: s.conn})
	return nil
}

func (r *replayer) deliverToPlacer(on subject) error {
	for _, s := range on.host.streams {
		if s.placerOpen && !s.broken && len(s.toPlacer) > 0 && frameName(s.toPlacer[0]) == on.message {
			for _, f := range s.takeMessage() {
				r.stepCore(core.FrameReceived{Host: on.host.name, Conn: s.conn, Frame: f})
			}
			return nil
		}
	}
	return fmt.Errorf("no %s is on its way from %s", on.message, on.host.name)
}

func (r *replayer) deliverToHost(on subject) error {
	for _, s := range on.host.streams {
		if s.hostOpen && !s.broken && len(s.toHost) > 0 && frameName(s.toHost[0]) == on.message {
			f := s.toHost[0]
			s.toHost = s.toHost[1:]
			r.receiveAtHost(on.host, s, f)
			return nil
		}
	}
	return fmt.Errorf("no %s is on its way to %s", on.message, on.host.name)
}

func (r *replayer) closeSeenByPlacer(on subject) error {
	for _, s := range on.host.streams {
		if s.placerOpen && (s.broken || !s.hostOpen) {
			s.placerOpen = false
			r.stepCore(core.HostDisconnected{Host: on.host.name, Conn: s.conn})
			return nil
		}
	}
	return errors.New("no connection has ended")
}

// closeSeenByHost closes the first stream that has ended. There may be none: the host may have closed it by itself.
func (r *replayer) closeSeenByHost(on subject) error {
	for _, s := range on.host.streams {
		if s.hostOpen && (s.broken || !s.placerOpen) {
			s.hostOpen = false
			if on.host.session == s {
				on.host.endSession()
			}
			return nil
		}
	}
	return nil
}

func (r *replayer) breakConnection(on subject) error {
	for _, s := range on.host.streams {
		if s.placerOpen && s.hostOpen && !s.broken {
			s.broken, s.toHost, s.toPlacer = true, nil, nil
		}
	}
	return nil
}

// Hosts.

func (r *replayer) killHost(on subject) error {
	h := on.host
	h.up, h.draining, h.session, h.lastSession = false, false, nil, hostsession.Session{}
	h.attempts = map[hostproto.Ref]*replayAttempt{}
	for _, s := range h.streams {
		s.hostOpen = false
	}
	return nil
}

func (r *replayer) startHost(on subject) error {
	on.host.up = true
	on.host.epoch++
	return nil
}

func (r *replayer) drainHost(on subject) error {
	on.host.draining = true
	return nil
}

func (r *replayer) acceptAtHost(on subject) error {
	err := r.applyHostInput(on, hostsession.Queued, hostsession.Accept)
	if err == nil {
		r.result.Starts++
	}
	return err
}

func (r *replayer) rejectAtHost(on subject) error {
	return r.applyHostInput(on, hostsession.Queued, hostsession.Reject)
}

func (r *replayer) startAtHost(on subject) error {
	return r.applyHostInput(on, hostsession.Starting, hostsession.Start)
}

func (r *replayer) finishAtHost(on subject) error {
	return r.applyHostInput(on, hostsession.Running, hostsession.Finish)
}

// The placer and its clock.

func (r *replayer) listHosts(subject) error {
	r.stepCore(r.hostList())
	return nil
}

func (r *replayer) endDrainGrace(subject) error {
	r.advance(r.settings.Module.DrainGrace + time.Millisecond)
	return nil
}

func (r *replayer) expireUnreachable(subject) error {
	r.advance(r.settings.HostConnections.LostAfter + time.Second)
	return nil
}

func (r *replayer) endDedupWindow(subject) error {
	r.advance(r.settings.Module.Classes[forkhead.Keyed].DedupWindow)
	return nil
}

func (r *replayer) crashPlacer(subject) error {
	for _, h := range r.hosts {
		h.dialing = 0
		for _, s := range h.streams {
			s.placerOpen = false
		}
	}
	for i := range r.tasks {
		r.tasks[i].submitted = false
	}
	return r.startCore()
}

// Owners.

// openRequest requests a task: by a submission the first time in an incarnation of the core; later the core does it, when
// a retry is due.
func (r *replayer) openRequest(on subject) error {
	t := &r.tasks[on.task]
	before := t.request
	if !t.submitted {
		t.submitted = true
		r.stepCore(core.Submit{
			Request: 1, IdempotencyKey: fmt.Sprintf("%d-%d", r.incarnation, on.task), BodyHash: 1,
			Description: &servicespec.Description{
				Name: projectName(on.task),
				Services: []servicespec.Service{{
					Name: taskService, Class: classNames[r.cfg.Effect], Replicas: 1, Cores: 1, Memory: 1,
				}},
			},
		})
	}
	if t.request == before {
		r.advance(retryTime)
	}
	return nil
}

func (r *replayer) giveUp(subject) error {
	r.advance(r.settings.Classes[forkhead.Safe].PlacementTimeout) // of all classes
	return nil
}

// The module.

func (r *replayer) offer(on subject) error {
	machine := forkhead.MachineID(ids.FNV(on.host.name, 0))
	r.takeModuleActions(forkhead.Offer{Task: r.tasks[on.task].request, Machine: machine})
	return nil
}

func (r *replayer) reject(on subject) error {
	r.takeModuleActions(append(r.withdrawals(on.task), forkhead.Reject{Task: r.tasks[on.task].request})...)
	return nil
}

func (r *replayer) fail(on subject) error {
	r.takeModuleActions(append(r.withdrawals(on.task), forkhead.Fail{Task: r.tasks[on.task].request})...)
	return nil
}

func (r *replayer) withdraw(on subject) error {
	r.takeModuleActions(r.withdrawals(on.task)...)
	return nil
}

// withdrawals withdraw all attempts of a task's request. The core ignores those that are not in flight.
func (r *replayer) withdrawals(task int) (actions []forkhead.Action) {
	for n := range maxAttempts {
		actions = append(actions, forkhead.Withdraw{Task: r.tasks[task].request, Attempt: n})
	}
	return actions
}
