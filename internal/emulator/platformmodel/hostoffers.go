package platformmodel

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/protocol/platform"
)

// taskSize is the cores and the memory that a task requests. Placers don't forward these figures of a request to hosts.
// Therefore the emulated owners repeat them in the description, which placers pass on unchanged.
type taskSize struct{ Cores, Memory float64 }

func (s taskSize) description() []byte {
	return fmt.Appendf(nil, `"cores=%g memory=%g"`, s.Cores, s.Memory)
}

// parseTaskSize parses a description. If the description is not from an emulated owner, it returns 1 core and 1 unit of
// memory.
func parseTaskSize(description []byte) taskSize {
	var text string
	var size taskSize
	if json.Unmarshal(description, &text) != nil {
		return taskSize{1, 1}
	}
	if _, err := fmt.Sscanf(text, "cores=%g memory=%g", &size.Cores, &size.Memory); err != nil {
		return taskSize{1, 1}
	}
	return size
}

// boundDescription returns the description of a running task in its TypeBound message. Owners parse the host from it.
func boundDescription(host, ref string) []byte {
	return fmt.Appendf(nil, `"host=%s task=%s"`, host, ref)
}

// parseBoundDescription returns the name of the host in a result of boundDescription. ok is false for any other
// description.
func parseBoundDescription(description []byte) (host string, ok bool) {
	var text string
	if json.Unmarshal(description, &text) != nil {
		return "", false
	}
	text, ok = strings.CutPrefix(text, "host=")
	host, _, found := strings.Cut(text, " task=")
	return host, ok && found
}

// offer is an offer that waits for its decision.
type offer struct {
	ref            string
	conn           ConnID
	placer         int
	idempotencyKey string // "": the offer has no key
	size           taskSize
}

// receiveOffer queues an offer, or rejects it if the queue is full. During the slow start too many offers crash the
// host.
func (h *Host) receiveOffer(c *hostConnection, m *platform.Message) {
	if h.exceedsSlowStartLimit() {
		h.crashed = true
		return
	}
	if len(h.queue) >= h.cfg.MaxQueued {
		h.reject(c.id, m.Ref, platform.ReasonQueueFull)
		return
	}
	key, _ := m.Text(platform.FieldIdempotencyKey)
	h.queue = append(h.queue, &offer{ref: m.Ref, conn: c.id, placer: c.placer, idempotencyKey: key, size: parseTaskSize(m.Description)})
	h.scheduleDecision()
}

// exceedsSlowStartLimit counts an offer during the slow start and reports whether it exceeds SlowStartMaxOffers.
func (h *Host) exceedsSlowStartLimit() bool {
	if !h.inSlowStart() || h.cfg.SlowStartMaxOffers == 0 {
		return false
	}
	h.recentOffers = slices.DeleteFunc(h.recentOffers, func(at time.Duration) bool { return at+h.cfg.SlowStartWindow <= h.now })
	h.recentOffers = append(h.recentOffers, h.now)
	return len(h.recentOffers) > h.cfg.SlowStartMaxOffers
}

func (h *Host) inSlowStart() bool { return h.started > 0 && h.now < h.started+h.cfg.SlowStartDuration }

// scheduleDecision draws the time of the decision on the first queued offer, unless the time is set already.
func (h *Host) scheduleDecision() {
	switch {
	case len(h.queue) == 0:
		h.decisionAt = never
	case h.decisionAt == never:
		h.decisionAt = h.now + h.drawAnswerTime()
	}
}

func (h *Host) drawAnswerTime() time.Duration {
	answerTime := h.cfg.AnswerTime.draw(h.rng)
	if h.inSlowStart() && h.cfg.SlowStartFactor > 1 {
		answerTime = time.Duration(float64(answerTime) * h.cfg.SlowStartFactor)
	}
	return answerTime
}

// decideDue decides the offers that are due, in the order of their arrival. The time of each decision counts from the
// due time of the decision before, even if decideDue is called late.
func (h *Host) decideDue() {
	for len(h.queue) > 0 && h.decisionAt <= h.now {
		first := h.queue[0]
		h.queue = h.queue[1:]
		h.decide(first)
		h.decisionAt += h.drawAnswerTime()
	}
	h.scheduleDecision()
}

// decide starts the task of an offer if the host has room for it, and rejects the offer otherwise. An offer of a
// running task is answered again without a second start.
func (h *Host) decide(o *offer) {
	if t := h.findRunningTask(o); t != nil {
		delete(h.runningTasks, t.ref)
		t.ref, t.conn, t.placer = o.ref, o.conn, o.placer
		h.runningTasks[t.ref] = t
		h.sendBound(t)
		return
	}
	cores, memory := h.Available()
	switch {
	case o.size.Cores > cores:
		h.reject(o.conn, o.ref, platform.ReasonInsufficientCores)
	case o.size.Memory > memory:
		h.reject(o.conn, o.ref, platform.ReasonInsufficientMemory)
	case len(h.runningTasks) >= maxHostTasks:
		h.reject(o.conn, o.ref, platform.ReasonQueueFull)
	default:
		h.bind(o)
	}
}

// findRunningTask returns the running task with the ref or the idempotency key of an offer, or nil.
func (h *Host) findRunningTask(o *offer) *hostTask {
	if t := h.runningTasks[o.ref]; t != nil {
		return t
	}
	if o.idempotencyKey == "" {
		return nil
	}
	for _, t := range h.sortedTasks() {
		if t.idempotencyKey == o.idempotencyKey {
			return t
		}
	}
	return nil
}

func (h *Host) reject(conn ConnID, ref string, reason platform.RejectReason) {
	h.sendMessage(conn, platform.TypeRelease, ref, platform.CauseRejected, platform.TextField(platform.FieldNote, string(reason)), h.loadReport())
}
