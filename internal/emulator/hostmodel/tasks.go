package hostmodel

import (
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// beginStarts begins as many starts as may run at a time.
func (h *Host) beginStarts() {
	for i, t := range h.starting {
		if i >= h.cfg.MaxStarting {
			return
		}
		if t.readyAt > 0 {
			continue // begun
		}
		if h.crashesAt(DuringStart) {
			return
		}
		h.beginStart(t)
	}
}

func (h *Host) beginStart(t *task) {
	work := float64(h.cfg.StartTime)
	if !h.hasProgram(t.spec.Service) {
		work *= h.cfg.UncachedStartFactor
	}
	t.startedAt = h.now
	t.readyAt = h.now + max(time.Duration(work*h.slowdown()/h.startRate()), 1)
	if h.now < h.suppressUntil[t.spec.Class] {
		t.readyAt = never
	}
}

// hasProgram reports whether the program of a service is on the host.
func (h *Host) hasProgram(service uint64) bool {
	for _, t := range h.tasks {
		if t.phase == hostproto.PhaseRunning && t.spec.Service == service {
			return true
		}
	}
	return slices.Contains(h.cachedPrograms, service)
}

// run makes a task whose start is done a running one.
func (h *Host) run(t *task) {
	_, reply := hostsession.Transition(h.state(t.ref), hostsession.Start)
	h.removeStarting(t)
	t.phase = hostproto.PhaseRunning
	if t.spec.Life > 0 {
		t.endsAt = h.now + t.spec.Life
	}
	if h.cfg.NoteInterval > 0 {
		t.nextNoteAt = h.now + time.Duration((0.5+h.rng.Float64())*float64(h.cfg.NoteInterval))
	}
	if h.crashesAt(AfterBind) {
		return
	}
	h.sendReply(t.placer, t.ref, reply, nil)
	h.beginStarts()
}

// end ends an accepted task.
func (h *Host) end(t *task, result hostproto.Result) {
	h.removeStarting(t)
	f := hostproto.Ended{Ref: t.ref, Result: result}
	_, reply := hostsession.Transition(h.state(t.ref), hostsession.Finish)
	h.recordOutcome(t, f)
	h.cacheProgram(t.spec.Service)
	f.Report = h.loadReport()
	h.sendReply(t.placer, t.ref, reply, f)
	h.beginStarts()
}

func (h *Host) removeStarting(t *task) {
	h.starting = slices.DeleteFunc(h.starting, func(other *task) bool { return other == t })
}

// cacheProgram caches the program of a service whose last task has ended; the oldest one is evicted for it.
func (h *Host) cacheProgram(service uint64) {
	if h.hasProgram(service) || h.cfg.MaxCachedPrograms <= 0 {
		return
	}
	h.cachedPrograms = append(h.cachedPrograms, service)
	if len(h.cachedPrograms) > h.cfg.MaxCachedPrograms {
		h.cachedPrograms = h.cachedPrograms[1:]
	}
}

// usage returns the cores and the GiB of memory that a running task uses now. The fraction of what it requested swings
// around the mean, for each task with a phase of its own.
func (h *Host) usage(t *task) (cores, memory float64) {
	const (
		period   = 20 // seconds
		phases   = 97
		minShare = 0.05
	)
	swing := h.cfg.UsageSwing * math.Sin(2*math.Pi*(h.now.Seconds()/period+float64(t.spec.Key%phases)/phases))
	share := max(h.cfg.MeanUsage+t.usageBias+swing, minShare)
	return t.cores() * share, t.memory() * min(share, 1)
}

// totalUsage returns the cores and the GiB of memory that all running tasks use now.
func (h *Host) totalUsage() (cores, memory float64) {
	for _, t := range h.sortedTasks() {
		if t.phase == hostproto.PhaseRunning {
			c, m := h.usage(t)
			cores, memory = cores+c, memory+m
		}
	}
	return cores, memory
}

// sendNotes reports what a running task uses and how it is served. If the host's memory is short, it evicts a task.
func (h *Host) sendNotes(t *task) {
	t.nextNoteAt = h.now + h.cfg.NoteInterval
	cores, memory := h.usage(t)
	totalCores, totalMemory := h.totalUsage()
	serviceLevel := min(1, h.cfg.Cores/max(totalCores, 1e-9)) / h.slowdown()
	h.sendNote(t, forkhead.NoteCoresUsed, cores)
	h.sendNote(t, forkhead.NoteMemoryUsed, memory)
	h.sendNote(t, forkhead.NoteServiceLevel, serviceLevel)
	h.sendNote(t, forkhead.NoteMemoryPressure, totalMemory/h.cfg.Memory)
	if totalMemory > h.cfg.Memory {
		h.evict()
	}
}

func (h *Host) sendNote(t *task, kind forkhead.NoteKind, amount float64) {
	h.sendToPlacer(t.placer, hostproto.Note{Ref: t.ref, Kind: uint8(kind), Amount: float32(amount)})
}

// evict ends, of the running tasks of the lowest priority, the one that started last.
func (h *Host) evict() {
	var victim *task
	for _, t := range h.sortedTasks() {
		if t.phase == hostproto.PhaseRunning && (victim == nil || t.evictedBefore(victim)) {
			victim = t
		}
	}
	if victim != nil {
		h.end(victim, hostproto.Evicted)
	}
}

func (t *task) evictedBefore(other *task) bool {
	if t.spec.Priority != other.spec.Priority {
		return t.spec.Priority < other.spec.Priority
	}
	return t.startedAt > other.startedAt
}

func (h *Host) loadReport() *hostproto.Report {
	cores, memory := h.Available()
	usedCores, _ := h.totalUsage()
	return &hostproto.Report{
		Cores: float32(cores), Memory: float32(memory), Queue: float32(len(h.queue) + len(h.starting)),
		Util: float32(usedCores / h.cfg.Cores),
	}
}
