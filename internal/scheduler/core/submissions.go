package core

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/durable"
)

// HTTP status codes of Rejected, defined here since a core does not import net/http.
const (
	statusNotFound              = 404
	statusRequestEntityTooLarge = 413
	statusUnprocessableEntity   = 422
	statusTooManyRequests       = 429
	statusServiceUnavailable    = 503
)

// busyRetryAfter is the wait that a client is advised when a limit is reached.
const busyRetryAfter = time.Second

// submission is an accepted Submit with the outcomes that it has so far.
type submission struct {
	id             string
	idempotencyKey string // "" if the client sent none
	bodyHash       uint64
	totalOutcomes  int
	acceptedAt     time.Duration
	outcomes       []Outcome // the outcomes so far, at most totalOutcomes
	completedAt    time.Duration
}

func (s *submission) isComplete() bool { return len(s.outcomes) >= s.totalOutcomes }

// tasksWithOutcome returns the set of tasks of a project that the submission has an outcome of.
func (s *submission) tasksWithOutcome(project string) map[taskName]bool {
	tasks := make(map[taskName]bool, len(s.outcomes))
	for _, o := range s.outcomes {
		tasks[taskName{project: project, service: o.Service, replica: o.Replica}] = true
	}
	return tasks
}

// pendingOutcome is an outcome that a submission still waits for.
type pendingOutcome struct {
	submission *submission
	acceptedAt time.Duration // when the submission was accepted
}

// handleSubmit accepts a submission, unless a limit forbids it, and changes its project to the description.
func (c *Core) handleSubmit(in Submit) {
	earlier, rejected := c.findDuplicate(in)
	if rejected != nil {
		c.reject(in.Request, rejected)
		return
	}
	if earlier != nil {
		c.emit(Accepted{Request: in.Request, Submission: earlier.id, Duplicate: true})
		return
	}
	tasks := c.countTasks(in.Description)
	if rejected := c.admit(tasks); rejected != nil {
		c.reject(in.Request, rejected)
		return
	}
	s := c.newSubmission(in, tasks)
	p := c.projectFor(in.Description, s)
	labels, ok := c.acquireServiceLabels(p, in.Description)
	if !ok {
		c.reject(in.Request, newRejection(statusServiceUnavailable, "Too many constraints",
			"more than %d different placement constraints are in use", c.settings.Limits.PlacementConstraints))
		return
	}
	p.submissionID = s.id
	c.projects[p.name] = p
	delete(c.removedProjects, p.name)
	c.addSubmission(s)
	c.persist(durable.SubmissionAccepted{
		Specification: in.Description,
		Submission: durable.Submission{
			ID:             s.id,
			IdempotencyKey: s.idempotencyKey,
			BodyHash:       s.bodyHash,
			TotalOutcomes:  s.totalOutcomes,
			AcceptedAt:     s.acceptedAt,
			Project:        p.name,
		},
	})
	c.emit(Accepted{Request: in.Request, Submission: s.id})
	if s.isComplete() {
		// A submission without tasks is complete at once. It gets no expiry timer of its own: it is removed with the
		// next submission that expires, or when there are too many submissions.
		c.queueForExpiry(s)
		c.emit(OutcomesAdded{Submission: s.id})
	}
	c.applyDescription(p, in.Description, s, labels)
}

func (c *Core) reject(request uint64, rejected *Rejected) {
	rejected.Request = request
	c.emit(*rejected)
}

// newRejection returns a rejection. If the status is that of a temporary limit, the rejection advises the client when
// to retry.
func newRejection(status int, title, format string, args ...any) *Rejected {
	r := &Rejected{Status: status, Title: title, Detail: fmt.Sprintf(format, args...)}
	if status == statusTooManyRequests || status == statusServiceUnavailable {
		r.RetryAfter = busyRetryAfter
	}
	return r
}

// findDuplicate returns the earlier submission with the same Idempotency-Key and body, if there is one, or a rejection
// if the body differs.
func (c *Core) findDuplicate(in Submit) (*submission, *Rejected) {
	if in.IdempotencyKey == "" {
		return nil, nil
	}
	earlier := c.submissionsByKey[in.IdempotencyKey]
	if earlier != nil && earlier.bodyHash != in.BodyHash {
		return nil, newRejection(statusUnprocessableEntity, "Idempotency-Key is taken", "the key came before with another body")
	}
	return earlier, nil
}

// countTasks returns the number of tasks of a description. It sets Replicas of each service with one task per host.
func (c *Core) countTasks(d *servicespec.Description) int {
	tasks := d.Tasks()
	for i := range d.Services {
		if spec := &d.Services[i]; spec.Mode.PerHost() {
			spec.Replicas = c.countSuitableHosts(spec)
			tasks += spec.Replicas
		}
	}
	return tasks
}

// admit returns a rejection if a submission with the given number of tasks exceeds a limit. If there are too many
// submissions, it removes the oldest complete one instead.
func (c *Core) admit(tasks int) *Rejected {
	limits := &c.settings.Limits
	if tasks > limits.TasksPerSubmission {
		return newRejection(statusRequestEntityTooLarge, "Too many tasks",
			"the description asks for %d tasks, at most %d are taken at once", tasks, limits.TasksPerSubmission)
	}
	if c.replicaCount+tasks > limits.Tasks {
		return newRejection(statusServiceUnavailable, "Full",
			"this placer holds %d tasks of at most %d", c.replicaCount, limits.Tasks)
	}
	if len(c.submissions) < limits.Submissions {
		return nil
	}
	if len(c.completeSubmissions) == 0 {
		return newRejection(statusTooManyRequests, "Too many submissions",
			"%d submissions are under way", len(c.submissions))
	}
	c.forgetOldestSubmission()
	return nil
}

// newSubmission returns a submission with a new ID. It is not added to the tables.
func (c *Core) newSubmission(in Submit, tasks int) *submission {
	c.lastSubmissionNumber++
	return &submission{
		id:             strconv.FormatUint(c.epoch, 36) + "-" + strconv.FormatUint(c.lastSubmissionNumber, 36),
		idempotencyKey: in.IdempotencyKey,
		bodyHash:       in.BodyHash,
		totalOutcomes:  tasks,
		acceptedAt:     c.now,
	}
}

func (c *Core) addSubmission(s *submission) {
	c.submissions[s.id] = s
	if s.idempotencyKey != "" {
		c.submissionsByKey[s.idempotencyKey] = s
	}
}

// queueForExpiry queues a complete submission for removal. It sets no timer.
func (c *Core) queueForExpiry(s *submission) {
	s.completedAt = c.now
	c.completeSubmissions = append(c.completeSubmissions, s)
}

func (c *Core) addSubmissionExpiry() {
	c.addTimer(&timer{at: c.now + c.settings.Limits.Retention, kind: timerSubmissionExpiry})
}

// expireSubmissions removes the submissions that have been complete for the retention time.
func (c *Core) expireSubmissions() {
	for len(c.completeSubmissions) > 0 && c.completeSubmissions[0].completedAt+c.settings.Limits.Retention <= c.now {
		c.forgetOldestSubmission()
	}
}

// forgetOldestSubmission removes the submission that has been complete for longest.
func (c *Core) forgetOldestSubmission() {
	s := c.completeSubmissions[0]
	c.completeSubmissions = c.completeSubmissions[1:]
	delete(c.submissions, s.id)
	c.persist(durable.SubmissionExpired{SubmissionID: s.id})
	if c.submissionsByKey[s.idempotencyKey] == s {
		delete(c.submissionsByKey, s.idempotencyKey)
	}
}

// Outcomes returns the outcomes of a submission, beginning with the one at index from. The result complete tells
// whether all tasks of the submission have an outcome, known whether the placer has the submission.
func (c *Core) Outcomes(id string, from int) (list []Outcome, complete, known bool) {
	s := c.submissions[id]
	if s == nil {
		return nil, false, false
	}
	return s.outcomes[min(max(from, 0), len(s.outcomes)):], s.isComplete(), true
}

// reportOutcome adds the pending outcome of a replica to its submission. It does nothing if no outcome is pending. The
// parameter h is the host on which the replica was placed, or nil.
func (c *Core) reportOutcome(r *desiredReplica, kind OutcomeKind, h *host, reason string) {
	pending := r.pending
	if pending == nil {
		return
	}
	r.pending = nil
	o := Outcome{
		Service:  r.service.name,
		Replica:  r.number,
		Outcome:  kind,
		Reason:   reason,
		Attempts: r.offerCount,
		TookMS:   (c.now - pending.acceptedAt).Milliseconds(),
	}
	if h != nil {
		o.Host, o.Zone, o.Rack = h.name, h.entry.Zone, h.entry.Rack
	}
	r.offerCount = 0
	c.status.Outcomes[kind]++
	c.addOutcome(pending.submission, r, o)
}

// supersedeOutcome reports the pending outcome of a replica, if there is one, because of a later submission. The outcome
// is rejected if a new submission of the earlier version is harmless, and failed otherwise.
func (c *Core) supersedeOutcome(r *desiredReplica) {
	if r.pending == nil {
		return
	}
	kind := OutcomeRejected
	if rules := c.attemptRules(r.class); !rules.RejectionIsHarmless(c.countPossibleRuns(r)) {
		kind = OutcomeFailed
	}
	c.reportOutcome(r, kind, nil, "a later submission has taken its place")
}

func (c *Core) addOutcome(s *submission, r *desiredReplica, o Outcome) {
	c.persistOutcome(s, r, o)
	s.outcomes = append(s.outcomes, o)
	if s.isComplete() {
		c.queueForExpiry(s)
		c.addSubmissionExpiry()
	}
	c.emit(OutcomesAdded{Submission: s.id})
}

// persistOutcome persists an outcome. The state of the task is persisted with it only if the outcome is of the project's
// last submission: that of an earlier one says nothing of the task that is wanted now.
func (c *Core) persistOutcome(s *submission, r *desiredReplica, o Outcome) {
	if !c.durable {
		return
	}
	text, err := json.Marshal(o)
	if err != nil {
		c.reportDefect("an outcome has no form to be kept in: %v", err)
	}
	record := durable.OutcomeReported{SubmissionID: s.id, Index: len(s.outcomes), Outcome: text}
	if s.id == r.service.project.submissionID {
		task := r.taskAfterOutcome(o.Outcome)
		record.Task = &task
	}
	c.persist(record)
}
