package platformmodel

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/protocol/platform"
)

// taskSize is what a task requests. Placers do not forward the figures of a request to hosts, so that the emulated owners
// repeat them in the description, which goes to hosts as it is.
type taskSize struct{ Cores, Memory float64 }

func (s taskSize) description() []byte {
	return fmt.Appendf(nil, `"cores=%g memory=%g"`, s.Cores, s.Memory)
}

// parseTaskSize reads a description; one that is not from an emulated owner counts as 1 core and 1 of memory.
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

// boundDescription is what a host describes a task with; owners read from it which host runs the task.
func boundDescription(host, ref string) []byte {
	return fmt.Appendf(nil, `"host=%s task=%s"`, host, ref)
}

// parseBoundDescription returns the host's name in a description of boundDescription; ok is false for any other.
func parseBoundDescription(description []byte) (host string, ok bool) {
	var text string
	if json.Unmarshal(description, &text) != nil {
		return "", false
	}
	text, ok = strings.CutPrefix(text, "host=")
	host, _, found := strings.Cut(text, " task=")
	return host, ok && found
}

// offer is an offer that is not decided.
type offer struct {
	ref            string
	conn           ConnID
	placer         int
	idempotencyKey string // "": none
	size           taskSize
}

// receiveOffer queues an offer, or rejects it if too many wait. During the slow start too many offers crash the host.
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

// exceedsSlowStartLimit counts an offer during the slow start and reports whether it is one too many.
func (h *Host) exceedsSlowStartLimit() bool {
	if !h.inSlowStart() || h.cfg.SlowStartMaxOffers == 0 {
		return false
	}
	h.recentOffers = slices.DeleteFunc(h.recentOffers, func(at time.Duration) bool { return at+h.cfg.SlowStartWindow <= h.now })
	h.recentOffers = append(h.recentOffers, h.now)
	return len(h.recentOffers) > h.cfg.SlowStartMaxOffers
}

func (h *Host) inSlowStart() bool { return h.started > 0 && h.now < h.started+h.cfg.SlowStartDuration }

// scheduleDecision draws when the first queued offer is decided, unless that is so already.
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

// decideDue decides the offers whose time has come, in the order in which they came. Each takes its time after the one
// before, however late this is called.
func (h *Host) decideDue() {
	for len(h.queue) > 0 && h.decisionAt <= h.now {
		first := h.queue[0]
		h.queue = h.queue[1:]
		h.decide(first)
		h.decisionAt += h.drawAnswerTime()
	}
	h.scheduleDecision()
}

// decide binds a task if there is space for it. An offer of a task that runs is answered again.
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

// findRunningTask returns the task that an offer would start a second time: it has the same ref or idempotency key; nil: none.
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
