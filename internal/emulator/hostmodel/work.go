package hostmodel

import (
	"math"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// ---- Starts and runs.

// begin lets as many tasks start as may.
func (h *Host) begin() {
	for i, t := range h.starts {
		if i >= h.cfg.MaxStarting {
			return
		}
		if t.ready > 0 {
			continue
		}
		if h.dies(DuringStart) {
			return
		}
		work := float64(h.cfg.StartTime)
		if !h.present(t.spec.Service) {
			work *= h.cfg.UncachedStartFactor
		}
		t.begun = h.now
		t.ready = h.now + max(time.Duration(work*h.slowness()/h.pace()), 1)
		if until := h.mutes[t.spec.Class]; h.now < until {
			t.ready = math.MaxInt64
		}
	}
}

// present says whether the host has a service's program.
func (h *Host) present(service uint64) bool {
	for _, t := range h.tasks {
		if t.phase == hostproto.PhaseRunning && t.spec.Service == service {
			return true
		}
	}
	return slices.Contains(h.kept, service)
}

func (h *Host) runs(t *task) {
	_, say := hostsession.Transition(h.state(t.ref), hostsession.Start)
	h.starts = slices.DeleteFunc(h.starts, func(o *task) bool { return o == t })
	t.phase = hostproto.PhaseRunning
	if t.spec.Life > 0 {
		t.endsAt = h.now + t.spec.Life
	}
	if h.cfg.NoteInterval > 0 {
		t.nextAt = h.now + time.Duration((0.5+h.rng.Float64())*float64(h.cfg.NoteInterval))
	}
	if h.dies(AfterBind) {
		return
	}
	h.reply(t.placer, t.ref, say, nil)
	h.begin()
}

// end ends a task that was accepted.
func (h *Host) end(t *task, how hostproto.Result) {
	h.starts = slices.DeleteFunc(h.starts, func(o *task) bool { return o == t })
	f := hostproto.Ended{Ref: t.ref, Result: how}
	_, say := hostsession.Transition(h.state(t.ref), hostsession.Finish)
	h.remember(t, f)
	if !h.present(t.spec.Service) && h.cfg.MaxCachedPrograms > 0 {
		h.kept = append(h.kept, t.spec.Service)
		if len(h.kept) > h.cfg.MaxCachedPrograms {
			h.kept = h.kept[1:]
		}
	}
	f.Report = h.report()
	h.reply(t.placer, t.ref, say, f)
	h.begin()
}

// use is what a running task uses now of cores and memory.
func (h *Host) use(t *task) (cores, memory float64) {
	swing := h.cfg.UsageSwing * math.Sin(2*math.Pi*(h.now.Seconds()/20+float64(t.spec.Key%97)/97))
	share := max(h.cfg.MeanUsage+t.bias+swing, 0.05)
	return t.cores() * share, t.memory() * min(share, 1)
}

func (h *Host) used() (cores, memory float64) {
	for _, t := range h.tasks {
		if t.phase == hostproto.PhaseRunning {
			c, m := h.use(t)
			cores, memory = cores+c, memory+m
		}
	}
	return cores, memory
}

func (h *Host) notes(t *task) {
	t.nextAt = h.now + h.cfg.NoteInterval
	cores, memory := h.use(t)
	allCores, allMemory := h.used()
	served := min(1, h.cfg.Cores/max(allCores, 1e-9)) / h.slowness()
	for kind, amount := range []float64{2: cores, 3: memory, 4: served, 5: allMemory / h.cfg.Memory} {
		if kind >= 2 {
			h.say(t.placer, hostproto.Note{Ref: t.ref, Kind: uint8(kind), Amount: float32(amount)})
		}
	}
	if allMemory > h.cfg.Memory {
		h.evict()
	}
}

// evict ends the task of the lowest priority that started last.
func (h *Host) evict() {
	var worst *task
	for _, t := range h.sorted() {
		if t.phase == hostproto.PhaseRunning && (worst == nil || t.spec.Priority < worst.spec.Priority ||
			t.spec.Priority == worst.spec.Priority && t.begun > worst.begun) {
			worst = t
		}
	}
	if worst != nil {
		h.end(worst, hostproto.Evicted)
	}
}

func (h *Host) report() *hostproto.Report {
	cores, memory := h.Available()
	used, _ := h.used()
	return &hostproto.Report{
		Cores: float32(cores), Memory: float32(memory), Queue: float32(len(h.line) + len(h.starts)), Util: float32(used / h.cfg.Cores),
	}
}
