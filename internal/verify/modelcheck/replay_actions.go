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

// actionArgs are the arguments of a line of a trace.
type actionArgs struct {
	task    int
	host    *replayHost
	message string // name of a frame, as in messageNames
}

// replayActions are the patterns of the lines of a trace and the functions that replay them. TASK, HOST and MESSAGE are
// placeholders for the arguments. Traces are stored, so the patterns stay.
var replayActions = []struct {
	pattern string
	replay  func(*replayer, actionArgs) error
}{
	{"placer connects to host HOST", (*replayer).connect},
	{"host HOST reads MESSAGE", (*replayer).deliverToHost},
	{"placer reads MESSAGE of host HOST", (*replayer).deliverToPlacer},
	{"placer sees the connection to host HOST end", (*replayer).closeSeenByPlacer},
	{"host HOST sees its connection end", (*replayer).closeSeenByHost},
	{"the connection to host HOST is cut", (*replayer).breakConnection},
	{"host HOST dies", (*replayer).crashHost},
	{"host HOST comes back", (*replayer).restartHost},
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

// replayAction replays a line of a trace. It returns an error if the line is not possible in the current state.
func (r *replayer) replayAction(line string) error {
	for _, a := range replayActions {
		if args, ok := r.match(a.pattern, line); ok {
			return a.replay(r, args)
		}
	}
	return errors.New("the line matches no action of a trace")
}

// match reports whether a line matches a pattern, word by word, and returns the line's arguments.
func (r *replayer) match(pattern, line string) (args actionArgs, ok bool) {
	patternTokens, tokens := strings.Split(pattern, " "), strings.Split(line, " ")
	if len(tokens) != len(patternTokens) {
		return actionArgs{}, false
	}
	host := noHost
	for i, token := range tokens {
		switch patternTokens[i] {
		case "TASK":
			args.task, ok = parseIndex(token)
		case "HOST":
			host, ok = parseIndex(token)
		case "MESSAGE":
			args.message, ok = token, token != ""
		default:
			ok = token == patternTokens[i]
		}
		if !ok {
			return actionArgs{}, false
		}
	}
	if host != noHost {
		args.host = r.hosts[host]
	}
	return args, true
}

// noHost as an index means that a pattern has no host.
const noHost = -1

// parseIndex parses an index. It accepts only the decimal form that traces contain.
func parseIndex(digits string) (int, bool) {
	n, err := strconv.Atoi(digits)
	return n, err == nil && strconv.Itoa(n) == digits
}

// The following functions replay the actions on connections.

func (r *replayer) connect(args actionArgs) error {
	h := args.host
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

func (r *replayer) deliverToPlacer(args actionArgs) error {
	for _, s := range args.host.streams {
		if s.placerOpen && !s.broken && len(s.toPlacer) > 0 && frameName(s.toPlacer[0]) == args.message {
			for _, f := range s.dequeueMessage() {
				r.stepCore(core.FrameReceived{Host: args.host.name, Conn: s.conn, Frame: f})
			}
			return nil
		}
	}
	return fmt.Errorf("no %s is in transit from %s", args.message, args.host.name)
}

func (r *replayer) deliverToHost(args actionArgs) error {
	for _, s := range args.host.streams {
		if s.hostOpen && !s.broken && len(s.toHost) > 0 && frameName(s.toHost[0]) == args.message {
			f := s.toHost[0]
			s.toHost = s.toHost[1:]
			r.receiveAtHost(args.host, s, f)
			return nil
		}
	}
	return fmt.Errorf("no %s is in transit to %s", args.message, args.host.name)
}

func (r *replayer) closeSeenByPlacer(args actionArgs) error {
	for _, s := range args.host.streams {
		if s.placerOpen && (s.broken || !s.hostOpen) {
			s.placerOpen = false
			r.stepCore(core.HostDisconnected{Host: args.host.name, Conn: s.conn})
			return nil
		}
	}
	return fmt.Errorf("no connection to %s has ended", args.host.name)
}

// closeSeenByHost closes the first stream that has ended. It is not an error if there is none, because the host may
// have closed the stream by itself.
func (r *replayer) closeSeenByHost(args actionArgs) error {
	for _, s := range args.host.streams {
		if s.hostOpen && (s.broken || !s.placerOpen) {
			s.hostOpen = false
			if args.host.session == s {
				args.host.endSession()
			}
			return nil
		}
	}
	return nil
}

func (r *replayer) breakConnection(args actionArgs) error {
	for _, s := range args.host.streams {
		if s.placerOpen && s.hostOpen && !s.broken {
			s.broken, s.toHost, s.toPlacer = true, nil, nil
		}
	}
	return nil
}

// The following functions replay the actions of hosts.

func (r *replayer) crashHost(args actionArgs) error {
	h := args.host
	h.up, h.draining, h.session, h.lastSession = false, false, nil, hostsession.Session{}
	h.attempts = map[hostproto.Ref]*replayAttempt{}
	for _, s := range h.streams {
		s.hostOpen = false
	}
	return nil
}

func (r *replayer) restartHost(args actionArgs) error {
	args.host.up = true
	args.host.epoch++
	return nil
}

func (r *replayer) drainHost(args actionArgs) error {
	args.host.draining = true
	return nil
}

func (r *replayer) acceptAtHost(args actionArgs) error {
	err := r.applyHostInput(args, hostsession.Queued, hostsession.Accept)
	if err == nil {
		r.result.Starts++
	}
	return err
}

func (r *replayer) rejectAtHost(args actionArgs) error {
	return r.applyHostInput(args, hostsession.Queued, hostsession.Reject)
}

func (r *replayer) startAtHost(args actionArgs) error {
	return r.applyHostInput(args, hostsession.Starting, hostsession.Start)
}

func (r *replayer) finishAtHost(args actionArgs) error {
	return r.applyHostInput(args, hostsession.Running, hostsession.Finish)
}

// The following functions replay the actions of the placer and its timers.

func (r *replayer) listHosts(actionArgs) error {
	r.stepCore(r.hostList())
	return nil
}

func (r *replayer) endDrainGrace(actionArgs) error {
	r.advance(r.settings.Module.DrainGrace + time.Millisecond)
	return nil
}

func (r *replayer) expireUnreachable(actionArgs) error {
	r.advance(r.settings.HostConnections.LostAfter + time.Second)
	return nil
}

func (r *replayer) endDedupWindow(actionArgs) error {
	r.advance(r.settings.Module.Classes[forkhead.Keyed].DedupWindow)
	return nil
}

func (r *replayer) crashPlacer(actionArgs) error {
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

// The following functions replay the actions of owners.

// openRequest makes the core request a task. The first time in an incarnation of the core it submits the task's
// project; later it advances the clock until the core's retry is due.
func (r *replayer) openRequest(args actionArgs) error {
	t := &r.tasks[args.task]
	before := t.request
	if !t.submitted {
		t.submitted = true
		r.stepCore(core.Submit{
			Request: 1, IdempotencyKey: fmt.Sprintf("%d-%d", r.incarnation, args.task), BodyHash: 1,
			Description: &servicespec.Description{
				Name: projectName(args.task),
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

func (r *replayer) giveUp(actionArgs) error {
	r.advance(r.settings.Classes[forkhead.Safe].PlacementTimeout) // all classes have the same timeout
	return nil
}

// The following functions replay the actions of the module.

func (r *replayer) offer(args actionArgs) error {
	machine := forkhead.MachineID(ids.FNV(args.host.name, 0))
	r.runModule(forkhead.Offer{Task: r.tasks[args.task].request, Machine: machine})
	return nil
}

func (r *replayer) reject(args actionArgs) error {
	r.runModule(append(r.withdrawals(args.task), forkhead.Reject{Task: r.tasks[args.task].request})...)
	return nil
}

func (r *replayer) fail(args actionArgs) error {
	r.runModule(append(r.withdrawals(args.task), forkhead.Fail{Task: r.tasks[args.task].request})...)
	return nil
}

func (r *replayer) withdraw(args actionArgs) error {
	r.runModule(r.withdrawals(args.task)...)
	return nil
}

// withdrawals returns actions that withdraw all attempts of a task's request. The core ignores the withdrawal of an
// attempt that is not in flight.
func (r *replayer) withdrawals(task int) (actions []forkhead.Action) {
	for n := range maxAttempts {
		actions = append(actions, forkhead.Withdraw{Task: r.tasks[task].request, Attempt: n})
	}
	return actions
}
