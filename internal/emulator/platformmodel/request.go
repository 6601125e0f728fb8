package platformmodel

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// Class is a class of requests as an owner knows it.
type Class struct {
	Name        string
	Effect      forkhead.Effect
	DedupWindow time.Duration // Keyed: how long a request may be submitted again after a failure
}

// Request is a task that an owner wants to be placed.
type Request struct {
	At            time.Duration // of the first submission
	Placer        int           // number of the placer
	Class         int           // in the owner's classes
	Cores, Memory float64
	Service       uint64
	Timeout       time.Duration // that the owner waits for an answer to each submission
	ReleaseAfter  time.Duration // after its answer its owner releases the task; 0: never
}

// Outcome is what has become of a request.
type Outcome uint8

// The outcomes. All but the first three are final.
const (
	OutcomePending  Outcome = iota // it is not submitted, or is to be submitted again
	OutcomeOpen                    // it waits for its answer
	OutcomeRunning                 // it is placed
	OutcomeEnded                   // its task has come to its end
	OutcomeBroken                  // its task was cut
	OutcomeReleased                // its owner has released its task
	OutcomeRejected                // it was rejected for the last time
	OutcomeFailed                  // it failed and may not be submitted again
	OutcomeGaveUp                  // its owner has stopped waiting
	OutcomeLost                    // its connection ended without an answer, and it may not be submitted again
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"pending", "open", "running", "ended", "broken", "released", "rejected", "failed", "gave up", "lost"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// IsFinal reports whether nothing more comes of the request.
func (o Outcome) IsFinal() bool { return o > OutcomeRunning }

// RequestReport accounts for one request.
type RequestReport struct {
	Request     Request
	Outcome     Outcome
	Refs        []string // of its submissions, the latest last
	Answers     int      // that say that its task runs, over all submissions
	HandOvers   int      // of its task
	Unexpected  int      // messages that it can't have: a second answer, or any after its end
	Host        string   // that runs its task, or ran it last; "": none
	SubmittedAt time.Duration
	FinishedAt  time.Duration // of its final outcome; 0: it has none
}

// ownerRequest is a request and its state.
type ownerRequest struct {
	RequestReport
	number          int
	ref             string // of the latest submission
	conn            ConnID // of the latest submission
	submissionDueAt time.Duration
	sentAt          time.Duration
	cancelAt        time.Duration
	releaseAt       time.Duration
	migrations      int
	failed          bool // an earlier submission failed: it may have run
	resent          bool // the latest submission has crossed the close of its connection and was sent once more

	releaseUnacknowledged bool // the owner has released the task, or given the request up, and that is not acknowledged
}

// isRejection reports whether a release without an answer before says that nothing ran.
func isRejection(cause platform.Cause) bool {
	return cause == platform.CauseRejected || cause == platform.CauseBusy || cause == platform.CauseNotSent
}

// maySubmitAgain reports whether a request that may have run may be submitted again.
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

// identity is a number that stays the same for all submissions of a request.
func (r *ownerRequest) identity(owner int) uint64 { return uint64(owner)<<32 | uint64(r.number) }

// encode returns the request as a message. host, if not empty, runs the task already.
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
