package chaos

import (
	"time"

	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/verify/testcluster"
)

// degradationSteps is the number of steps in which a degrading host slows down.
const degradationSteps = 4

func (r *runner) crashHosts(f *activeFault) {
	killHosts(f.hosts)
	r.sleep(f.Duration)
	r.restartHosts(f.hosts)
}

func (r *runner) vanishAndRestartHosts(f *activeFault) {
	vanishHosts(f.hosts)
	r.sleep(f.Duration)
	r.restartHosts(f.hosts)
}

// restartRack kills all hosts of a rack at once and restarts them. A fault that names no rack affects the first rack of
// its zone.
func (r *runner) restartRack(f *activeFault) {
	f.HostShare = 1
	if f.Rack == "" {
		f.Rack = f.Zone + "-r0"
	}
	f.drawHosts(r.cluster.Hosts)
	r.crashHosts(f)
}

func (r *runner) crashDuringStart(f *activeFault) { r.crashAt(f, hostmodel.DuringStart) }

func (r *runner) crashAfterBind(f *activeFault) { r.crashAt(f, hostmodel.AfterBind) }

// crashAt makes each affected host crash when it next reaches a crash point. At the end of the fault it restarts the
// hosts that crashed.
func (r *runner) crashAt(f *activeFault, point hostmodel.CrashPoint) {
	f.eachHost(func(h *hostmodel.Host, _ time.Duration) { h.CrashAt(point) })
	r.sleep(f.Duration)
	f.eachHost(func(h *hostmodel.Host, _ time.Duration) { h.CrashAt(hostmodel.NoCrash) })
	r.restartHosts(f.hosts)
}

func (r *runner) pauseHosts(f *activeFault) {
	r.repeat(f, func() {
		f.eachHost(func(h *hostmodel.Host, now time.Duration) { h.Pause(now, f.Delay) })
	})
}

// slowHosts slows down the task starts and the running tasks of hosts, in one step.
func (r *runner) slowHosts(f *activeFault) { r.slowDownInSteps(f, 1) }

// degradeHosts slows hosts down progressively, then crashes and restarts them.
func (r *runner) degradeHosts(f *activeFault) {
	r.slowDownInSteps(f, degradationSteps)
	killHosts(f.hosts)
	r.sleep(f.Interval)
	r.restartHosts(f.hosts)
}

// slowDownInSteps increases the slowdown of hosts in equal steps up to the fault's factor.
func (r *runner) slowDownInSteps(f *activeFault, steps int) {
	for step := 1; step <= steps; step++ {
		factor := 1 + (f.Factor-1)*float64(step)/float64(steps)
		f.eachHost(func(h *hostmodel.Host, now time.Duration) { h.SlowDown(now, f.Duration, factor) })
		r.sleep(f.Duration / time.Duration(steps))
	}
}

func (r *runner) suppressStarts(f *activeFault) {
	f.eachHost(func(h *hostmodel.Host, now time.Duration) { h.SuppressStarts(now, f.Duration, f.Class) })
}

func (r *runner) rejectClass(f *activeFault) {
	f.eachHost(func(h *hostmodel.Host, now time.Duration) { h.RejectClass(now, f.Duration, f.Class) })
}

// removeHosts drains hosts one after the other and kills them without a restart.
func (r *runner) removeHosts(f *activeFault) {
	for _, h := range f.hosts {
		r.drainHost(h, true)
		r.sleep(f.Duration / time.Duration(len(f.hosts)))
		h.Kill()
	}
}

// replaceHosts drains hosts one after the other and restarts each.
func (r *runner) replaceHosts(f *activeFault) {
	for _, h := range f.hosts {
		dismissTasks := f.rng.IntN(2) == 0
		r.drainHost(h, dismissTasks)
		r.sleep(f.Delay)
		h.Kill()
		r.sleep(f.Delay / 2)
		r.setMaintenance(h, false)
		r.restartHosts([]*testcluster.Host{h})
	}
}

// drainHost puts a host into maintenance in the catalog and makes it drain. Its running tasks are dismissed at once if
// dismissTasks is set, and run on otherwise.
func (r *runner) drainHost(h *testcluster.Host, dismissTasks bool) {
	r.setMaintenance(h, true)
	h.With(func(model *hostmodel.Host, now time.Duration) []hostmodel.Output {
		return model.Drain(now, true, dismissTasks)
	})
}

func (r *runner) setMaintenance(h *testcluster.Host, on bool) {
	r.cluster.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetMaintenance(now, h.Name(), on) })
}

func killHosts(hosts []*testcluster.Host) {
	for _, h := range hosts {
		h.Kill()
	}
}

func vanishHosts(hosts []*testcluster.Host) {
	for _, h := range hosts {
		h.CrashSilently()
	}
}

// restartHosts restarts the hosts that are down. They begin with a slow start.
func (r *runner) restartHosts(hosts []*testcluster.Host) {
	for _, h := range hosts {
		if err := h.Restart(true); err != nil {
			r.opt.Log.Error().Err(err).Str("host", h.Name()).Msg("cannot restart host")
		}
	}
}
