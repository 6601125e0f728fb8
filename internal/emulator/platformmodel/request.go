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
	// DedupWindow applies to Keyed classes: a request that may have run may be submitted again within this time from its
	// first submission.
	DedupWindow time.Duration
}

// Request is a placement request: one task that an owner wants to have placed.
type Request struct {
	At            time.Duration // time of the first submission
	Placer        int           // number of the placer
	Class         int           // index in OwnerConfig.Classes
	Cores, Memory float64
	Service       uint64
	Timeout       time.Duration // time from a submission to its answer; OwnerConfig.AnswerGrace is added
	ReleaseAfter  time.Duration // time from the answer to the release of the task by the owner; 0: no release
}

// Outcome is the state of a request.
type Outcome uint8

// The outcomes. All except the first three are final.
const (
	OutcomePending  Outcome = iota // the request is not submitted yet, or waits to be submitted again
	OutcomeOpen                    // the request is submitted and has no answer
	OutcomeRunning                 // the task is placed
	OutcomeEnded                   // the task has run to its end
	OutcomeBroken                  // the task ended early, or was migrated too often
	OutcomeReleased                // the owner has released the task
	OutcomeRejected                // the last allowed submission was rejected
	OutcomeFailed                  // the request failed and cannot be submitted again
	OutcomeGaveUp                  // the owner has stopped waiting for the answer
	OutcomeLost                    // the connection ended before the answer, and the request cannot be submitted again
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
	Refs        []string      // refs of the request's submissions, oldest first
	Answers     int           // number of answers which say that the task runs, to all submissions of the request
	HandOvers   int           // number of hand-overs of the task
	Unexpected  int           // messages that violate the protocol, such as a second answer or a message after the end
	Host        string        // host that runs the task, or ran it last; "": none
	SubmittedAt time.Duration // time of the first submission; 0: none
	FinishedAt  time.Duration // time of the final outcome; 0: none
}

// ownerRequest is a request and its state.
type ownerRequest struct {
	RequestReport
	number          int    // index in OwnerConfig.Requests
	ref             string // ref of the latest submission; "": the request waits for its next submission
	conn            ConnID // connection on which the latest message about the request was sent
	submissionDueAt time.Duration
	sentAt          time.Duration
	cancelAt        time.Duration
	releaseAt       time.Duration
	migrations      int
	failed          bool // an earlier submission failed and may have run

	// resent means that the latest submission was sent a second time, as the placer may have closed the connection
	// before it read the submission.
	resent bool
	// releaseUnacknowledged means that the owner has released the task or withdrawn the request, and that the placer
	// has not acknowledged it.
	releaseUnacknowledged bool
}

// isRejection reports whether a TypeRelease message about an unanswered request means, with this cause, that the task
// did not run.
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

// encode returns the latest submission as a message. If host is not empty, the message is a hand-over of the task, which
// runs on that host.
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
