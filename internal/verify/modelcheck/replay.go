package modelcheck

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
)

// ReplayResult is the result of replaying a trace through the placer's real core.
type ReplayResult struct {
	Steps      []ReplayStep `json:"steps"`
	Vetoes     uint64       `json:"vetoes"` // invariant violations that the core prevented
	Offers     int          `json:"offers"` // offers written to hosts
	Starts     int          `json:"starts"` // offers accepted by hosts
	Divergence string       `json:"parted"` // the step at which the core does not follow the trace, and why; "": no divergence
	BoundTwice bool         `json:"twice"`  // at some time two attempts of one task held capacity, at two hosts or at one
}

// ReplayStep is a step of a trace with its effects: the frames that the core and the hosts sent, and the core's log
// messages.
type ReplayStep struct {
	Action  string   `json:"what"`
	Effects []string `json:"did"`
}

// replayer replays a trace. It runs the placer's real core with hosts that run on package hostsession. Frames are
// delivered only by the lines of the trace, and the module takes only the actions in the trace.
type replayer struct {
	cfg         Config
	settings    *settings.Settings
	core        *core.Core
	now         time.Duration
	incarnation uint64            // the core's incarnation, counted from 1
	pending     []forkhead.Action // the module's actions in the core's next step
	tasks       []replayTask
	hosts       []*replayHost
	result      *ReplayResult
	effects     []string // effects of the current step
}

type replayTask struct {
	submitted bool            // submitted in the current incarnation of the core
	request   forkhead.TaskID // the current placement request
}

// Points in time and periods of a replay.
const (
	replayStart = time.Hour              // the core's clock at the start
	stepTime    = time.Millisecond       // time between two steps of a trace
	retryTime   = 100 * time.Millisecond // longer than any backoff of a request or a connection in replaySettings
)

// replaySettings are the settings of the core. No timer fires in the milliseconds that a trace takes, except timers of
// retries, which are due after about 1ms. If a line of a trace says that a period ends, the replay advances the clock
// by that period.
const replaySettings = `(forkhead (placer (zone a) (http "127.0.0.1:1") (tell "127.0.0.1:2"))
  (kind k (cores 100) (memory 100GiB))
  (class safe (effect safe) (wait 1h) (patience 20h))
  (class keyed (effect keyed) (window 10m) (wait 1h) (patience 20h))
  (class unsafe (effect unsafe) (wait 1h) (patience 20h))
  (attempts 2) (bound running) (drain-grace 1s) (owner (wait 30m) (first 1ms) (most 1ms) (soon 1ms))
  (links (connect 1m) (first 1ms) (most 1ms) (lost-after 1h) (probe 1m)))`

// classNames are the names of the classes in replaySettings, by effect.
var classNames = [...]string{forkhead.Safe: "safe", forkhead.Keyed: "keyed", forkhead.Unsafe: "unsafe"}

// Replay replays a trace through the placer's real core, without the injected bug that the trace may come from. If the
// core does not follow the trace, the replay ends and the result has a Divergence.
func Replay(t *Trace) (*ReplayResult, error) {
	s, err := settings.Parse("replay", []byte(replaySettings))
	if err != nil {
		return nil, err
	}
	r := &replayer{
		cfg: t.Config, settings: s.ForPlacer(0), now: replayStart, result: &ReplayResult{}, tasks: make([]replayTask, t.Config.Tasks),
	}
	for i := range t.Config.Hosts {
		r.hosts = append(r.hosts, newReplayHost(i))
	}
	if err := r.connectAll(); err != nil {
		return nil, err
	}
	for _, line := range t.Violation.Trace {
		if err := r.replayStep(line); err != nil {
			r.result.Divergence = fmt.Sprintf("step %d, %q: %v", len(r.result.Steps), line, err)
			break
		}
	}
	r.result.Vetoes = r.core.Status().Vetoes
	return r.result, nil
}

// connectAll starts the core and connects it to all hosts, as in the initial state of a search.
func (r *replayer) connectAll() error {
	if err := r.startCore(); err != nil {
		return err
	}
	for hi := range r.hosts {
		for _, format := range []string{"placer connects to host %d", "host %d reads Hello", "placer reads Welcome of host %d"} {
			if err := r.replayStep(fmt.Sprintf(format, hi)); err != nil {
				return err
			}
		}
	}
	r.result.Steps = nil
	return nil
}

// startCore starts an incarnation of the placer.
func (r *replayer) startCore() error {
	r.incarnation++
	c, err := core.New(core.Config{Settings: r.settings, Seed: 1, Epoch: r.incarnation, Decide: r.decide})
	if err != nil {
		return err
	}
	r.core = c
	r.stepCore()
	r.stepCore(r.hostList())
	return nil
}

// replayStep replays one line of a trace.
func (r *replayer) replayStep(line string) error {
	r.effects = []string{}
	r.now += stepTime
	err := r.replayAction(line)
	r.result.Steps = append(r.result.Steps, ReplayStep{line, r.effects})
	r.checkBoundTwice()
	return err
}

// checkBoundTwice sets BoundTwice if two attempts of a task hold capacity.
func (r *replayer) checkBoundTwice() {
	bound := make([]int, len(r.tasks))
	for _, h := range r.hosts {
		for _, a := range h.attempts {
			if h.up && a.state.HoldsCapacity() {
				bound[a.task]++
				r.result.BoundTwice = r.result.BoundTwice || bound[a.task] > 1
			}
		}
	}
}

// decide replaces the module: it notes the requests of the tasks and returns the pending actions.
func (r *replayer) decide(_ time.Duration, events []forkhead.Event) []forkhead.Action {
	for _, event := range events {
		if request, ok := event.(forkhead.PlacementRequest); ok && r.core != nil {
			if task, ok := r.taskOfService(request.Task.Service); ok {
				r.tasks[task].request = request.Task.ID
			}
		}
	}
	actions := r.pending
	r.pending = nil
	return actions
}

// taskService is the name of each task's service. Each task has a project of its own.
const taskService = "s"

func projectName(task int) string { return fmt.Sprintf("t%d", task) }

// taskOfService returns the task whose service has the key.
func (r *replayer) taskOfService(key uint64) (task int, ok bool) {
	for i := range r.tasks {
		if key == servicespec.ServiceKey("", projectName(i), taskService) {
			return i, true
		}
	}
	return 0, false
}

// hostList returns a snapshot of the endpoint list with all hosts.
func (r *replayer) hostList() core.HostListReceived {
	list := core.HostListReceived{Mode: forkhead.ListSnapshot}
	for _, h := range r.hosts {
		e := core.HostEntry{
			Name: h.name, Address: h.name, Kind: "k", Zone: "a", Rack: h.name, State: forkhead.Ready, FreeCores: 100, FreeMemory: 100,
		}
		if h.draining {
			e.State = forkhead.Draining
		}
		list.Hosts = append(list.Hosts, e)
	}
	return list
}

// stepCore runs a step of the core with inputs and executes its outputs.
func (r *replayer) stepCore(inputs ...core.Input) {
	for _, out := range r.core.Step(r.now, inputs...) {
		switch out := out.(type) {
		case core.DialHost:
			r.host(out.Host).dialing = out.Conn
		case core.SendToHost:
			r.sendToHost(&out)
		case core.CloseHostConnection:
			if s := r.host(out.Host).stream(out.Conn, r.incarnation); s != nil {
				s.placerOpen = false
			}
		case core.Log:
			r.effects = append(r.effects, "placer logs: "+out.Text)
		}
	}
}

func (r *replayer) sendToHost(out *core.SendToHost) {
	if _, ok := out.Frame.(hostproto.Probe); ok {
		return // the model has no probes
	}
	if s := r.host(out.Host).stream(out.Conn, r.incarnation); s != nil && s.placerOpen {
		s.toHost = append(s.toHost, out.Frame)
		r.effects = append(r.effects, "placer sends "+frameName(out.Frame)+" to "+out.Host)
	}
	if _, ok := out.Frame.(hostproto.Offer); ok {
		r.result.Offers++
	}
}

func (r *replayer) host(name string) *replayHost {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// runModule makes the module take actions. It sends the core a gossip message, which makes the core run the module.
func (r *replayer) runModule(actions ...forkhead.Action) {
	r.pending = actions
	r.stepCore(core.GossipReceived{From: 0, Data: []byte{0}})
}

// advance advances the clock by d and runs a step of the core for each timer that fires.
func (r *replayer) advance(d time.Duration) {
	end := r.now + d
	for at, ok := r.core.Next(); ok && at <= end; at, ok = r.core.Next() {
		r.now = max(r.now, at)
		r.stepCore()
	}
	r.now = end
}
