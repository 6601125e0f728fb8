package platformmodel

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// Class is a class of requests in the configuration of an owner.
type Class struct {
	Name   string
	Effect forkhead.Effect
	// DedupWindow is the time after its first submission in which a request of a Keyed class that may have run may be
	// submitted again.
	DedupWindow time.Duration
}

// Request is a placement request: one task that an owner wants to have placed.
type Request struct {
	At            time.Duration // time of the first submission
	Placer        int           // number of the placer
	Class         int           // index in OwnerConfig.Classes
	Cores, Memory float64
	Service       uint64
	Timeout       time.Duration // of each submission, to the answer; OwnerConfig.AnswerGrace is added
	ReleaseAfter  time.Duration // from the answer to the release of the task by the owner; 0: no release
}

// Outcome is the state of a request.
type Outcome uint8

// The outcomes. All except the first three are final.
const (
	OutcomePending  Outcome = iota // it is not submitted yet, or waits to be submitted again
	OutcomeOpen                    // it is submitted and has no answer
	OutcomeRunning                 // its task is placed
	OutcomeEnded                   // its task has run to its end
	OutcomeBroken                  // its task ended early, or was migrated too often
	OutcomeReleased                // its owner has released its task
	OutcomeRejected                // its last allowed submission was rejected
	OutcomeFailed                  // it failed and cannot be submitted again
	OutcomeGaveUp                  // its owner has stopped waiting for the answer
	OutcomeLost                    // its connection ended before the answer, and it cannot be submitted again
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"pending", "open", "running", "ended", "broken", "released", "rejected", "failed", "gave up", "lost"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// IsFinal reports whether the outcome can no longer change.
func (o Outcome) IsFinal() bool { return o > OutcomeRunning }

// RequestReport is the result of one request so far.
type RequestReport struct {
	Request     Request
	Outcome     Outcome
	Refs        []string      // refs of its submissions, oldest first
	Answers     int           // answers that its task runs, over all submissions
	HandOvers   int           // number of hand-overs of its task
	Unexpected  int           // messages that violate the protocol: a second answer, or a message after the end
	Host        string        // host that runs its task or ran it last; "": none
	SubmittedAt time.Duration // time of the first submission; 0: none
	FinishedAt  time.Duration // time of the final outcome; 0: none
}

// ownerRequest is a request and its state.
type ownerRequest struct {
	RequestReport
	number          int    // index in OwnerConfig.Requests
	ref             string // of the latest submission; "": the request waits for the next one
	conn            ConnID // on which the latest message about it was sent
	submissionDueAt time.Duration
	sentAt          time.Duration
	cancelAt        time.Duration
	releaseAt       time.Duration
	migrations      int
	failed          bool // an earlier submission failed and may have run

	// resent means that the latest submission was sent a second time, as the placer may have closed the connection
	// before it read the first.
	resent bool
	// releaseUnacknowledged means that the owner has released the task or withdrawn the request, and that the placer
	// has not acknowledged it.
	releaseUnacknowledged bool
}

// isRejection reports whether a release of an unanswered request with this cause means that nothing ran.
func isRejection(cause platform.Cause) bool {
	return cause == platform.CauseRejected || cause == platform.CauseBusy || cause == platform.CauseNotSent
}

// maySubmitAgain reports whether the effect of its class allows another submission of a request that may have run.
func (r *ownerRequest) maySubmitAgain(class *Class, now time.Duration) bool {
	switch class.Effect {
	case forkhead.Safe:
		return true
	case forkhead.Keyed:
		return now < r.SubmittedAt+class.DedupWindow
	default:
		return false
	}
}

// identity returns a number that is the same for all submissions of a request. It is sent as the task key and, for a
// Keyed class, as the idempotency key.
func (r *ownerRequest) identity(owner int) uint64 { return uint64(owner)<<32 | uint64(r.number) }

// encode returns the latest submission as a message. A host that is not empty makes it a hand-over of the task, which
// runs there.
func (r *ownerRequest) encode(owner int, class *Class, tenant, host string) []byte {
	extras := fmt.Sprintf("%s:%g;%s:%g;%s:%016x", platform.ExtraCores, r.Request.Cores, platform.ExtraMemory, r.Request.Memory,
		platform.ExtraService, r.Request.Service)
	if r.failed {
		extras += fmt.Sprintf(";%s:1", platform.ExtraResubmitted)
	}
	if host != "" {
		extras += fmt.Sprintf(";%s:%s", platform.ExtraHost, host)
	}
	identity := r.identity(owner)
	fields := []platform.Field{
		platform.TextField(platform.FieldClass, class.Name),
		platform.TextField(platform.FieldTimeout, fmt.Sprint(r.Request.Timeout.Milliseconds())),
		platform.TextField(platform.FieldTaskKey, fmt.Sprintf("%016x", identity)),
		platform.TextField(platform.FieldExtras, extras),
	}
	if tenant != "" {
		fields = append(fields, platform.TextField(platform.FieldTenant, tenant))
	}
	if class.Effect == forkhead.Keyed {
		fields = append(fields, platform.TextField(platform.FieldIdempotencyKey, fmt.Sprintf("%032x", identity)))
	}
	description := taskSize{r.Request.Cores, r.Request.Memory}.description()
	return platform.Append(nil, platform.TypeRequest, r.ref, platform.NoCause, description, fields...)
}
