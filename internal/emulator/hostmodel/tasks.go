package hostmodel

import (
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// beginStarts begins the starts of waiting tasks, up to MaxStarting at the same time.
func (h *Host) beginStarts() {
	for i, t := range h.starting {
		if i >= h.cfg.MaxStarting {
			return
		}
		if t.readyAt > 0 {
			continue // the start has begun
		}
		if h.crashesAt(DuringStart) {
			return
		}
		h.beginStart(t)
	}
}

// beginStart begins the start of a task and sets when it is done. It is never done if starts of the class are
// suppressed.
func (h *Host) beginStart(t *task) {
	work := float64(h.cfg.StartTime)
	if !h.isProgramCached(t.spec.Service) {
		work *= h.cfg.UncachedStartFactor
	}
	t.startedAt = h.now
	t.readyAt = h.now + max(time.Duration(work*h.slowdown()/h.startRate()), 1)
	if h.now < h.suppressUntil[t.spec.Class] {
		t.readyAt = never
	}
}

// isProgramCached reports whether the program of a service is cached. A program is always cached while a task of its
// service runs.
func (h *Host) isProgramCached(service uint64) bool {
	for _, t := range h.tasks {
		if t.phase == hostproto.PhaseRunning && t.spec.Service == service {
			return true
		}
	}
	return slices.Contains(h.cachedPrograms, service)
}

// finishStart makes a task run when its start is done, and tells its placer.
func (h *Host) finishStart(t *task) {
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

// end ends a starting or running task, records its outcome and tells its placer.
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

// cacheProgram caches the program of a service after a task of it has ended. It removes the program that has been
// cached for longest if there are more than MaxCachedPrograms.
func (h *Host) cacheProgram(service uint64) {
	if h.isProgramCached(service) || h.cfg.MaxCachedPrograms <= 0 {
		return
	}
	h.cachedPrograms = append(h.cachedPrograms, service)
	if len(h.cachedPrograms) > h.cfg.MaxCachedPrograms {
		h.cachedPrograms = h.cachedPrograms[1:]
	}
}

// usage returns the cores and the GiB of memory that a running task uses now. The used fraction of its request follows
// a sine wave around its mean. The phase of the wave depends on the task's key.
func (h *Host) usage(t *task) (cores, memory float64) {
	const (
		periodSeconds = 20
		phaseCount    = 97
		minFraction   = 0.05
	)
	swing := h.cfg.UsageSwing * math.Sin(2*math.Pi*(h.now.Seconds()/periodSeconds+float64(t.spec.Key%phaseCount)/phaseCount))
	fraction := max(h.cfg.MeanUsage+t.usageBias+swing, minFraction)
	return t.cores() * fraction, t.memory() * min(fraction, 1)
}

// totalUsage returns the cores and the GiB of memory that all running tasks together use now.
func (h *Host) totalUsage() (cores, memory float64) {
	for _, t := range h.sortedTasks() {
		if t.phase == hostproto.PhaseRunning {
			c, m := h.usage(t)
			cores, memory = cores+c, memory+m
		}
	}
	return cores, memory
}

// sendNotes sends the notes of a running task: its usage, its service level and the host's memory pressure. If the
// running tasks use more memory than the host has, it evicts one of them.
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

// evict ends the running task that started last among those of the lowest priority.
func (h *Host) evict() {
	var victim *task
	for _, t := range h.sortedTasks() {
		if t.phase == hostproto.PhaseRunning && (victim == nil || t.isEvictedBefore(victim)) {
			victim = t
		}
	}
	if victim != nil {
		h.end(victim, hostproto.Evicted)
	}
}

// isEvictedBefore reports whether evict ends t rather than other.
func (t *task) isEvictedBefore(other *task) bool {
	if t.spec.Priority != other.spec.Priority {
		return t.spec.Priority < other.spec.Priority
	}
	return t.startedAt > other.startedAt
}

// loadReport returns the host's current load.
func (h *Host) loadReport() *hostproto.Report {
	cores, memory := h.Available()
	usedCores, _ := h.totalUsage()
	return &hostproto.Report{
		Cores: float32(cores), Memory: float32(memory), Queue: float32(len(h.queue) + len(h.starting)),
		Util: float32(usedCores / h.cfg.Cores),
	}
}
