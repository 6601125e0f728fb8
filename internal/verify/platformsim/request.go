package platformsim

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// request is a placement request of an owner.
type request struct {
	ref              string
	placer           *placer
	incarnation      int // placer incarnation to which the request was last sent
	class            int
	service          uint64
	cores            float64
	createdAt        time.Duration
	timeout          time.Duration
	owner            *ownerConn
	cancelSent       bool                          // the owner has sent a cancel, which the placer may not have received
	canceled         bool                          // the placer has read a cancel, was killed, or has lost the owner's connection
	answer           platform.MessageType          // type of the answer; empty if none was sent
	finalMessage     platform.MessageType          // type of the release that its owner got, or finalLost; empty if there is none
	releasedOn       map[platformcore.OwnerID]bool // connections on which the placer's incarnation has sent the release
	attempts         []*attempt
	spreadCountsFrom time.Duration // time from which a task that was handed over counts for the placer's spread limit
}

// finalLost is set instead of a release for a task that ended with its host while its placer was down.
const finalLost platform.MessageType = "lost"

// attempt is an offer that a placer has written. The fields for the placer's knowledge of the attempt are updated when
// messages are delivered.
type attempt struct {
	request *request
	host    *host
	conn    *conn
	sentAt  time.Duration

	// State that the placer knows.
	knownNotRun bool          // the host reported that this attempt never ran
	knownOver   bool          // the host reported the end, the attempt was canceled, or its connection is closed
	knownBound  bool          // the host reported that it bound the task
	releasedAt  time.Duration // time at which the placer released the bound task; 0: not released

	// State at the host.
	bound   bool
	ended   bool
	endedAt time.Duration  // time of the end of a bound task
	cause   platform.Cause // cause of the end
}

// mayRun reports whether, as far as the placer knows, the task may be running by this attempt.
func (t *attempt) mayRun() bool { return !t.knownOver && !t.knownNotRun }

// boundAttempt returns the attempt that the placer knows as bound, or nil.
func (r *request) boundAttempt() *attempt {
	for _, t := range r.attempts {
		if t.knownBound {
			return t
		}
	}
	return nil
}

// line returns the request as a message. If the message hands over a running task, the parameter runsAt is the field
// with the name of the task's host; otherwise runsAt is empty.
func (r *request) line(runsAt string) string {
	names := r.placer.w.WireNames
	tenant := ""
	if n := len(names.Tenants); n > 0 {
		tenant = fmt.Sprintf(`"tenant":%q,`, names.Tenants[int(r.service)%n])
	}
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":%q,%s"left":"%d","key":"%s","idem":"i%s","extras":"cores:%g;memory:%g;service:%016x%s"},"d":"x"}`+"\n",
		r.ref, names.Classes[r.class], tenant, r.timeout.Milliseconds(), r.ref, r.ref, r.cores, r.cores, r.service, runsAt)
}

// handOverLine returns the request as a message that hands over a running task.
func (r *request) handOverLine() string {
	return r.line(";at:" + r.boundAttempt().host.name())
}

// encodeLine returns a message as a line. Only a message that says that a task is bound gets a Message.Description.
func encodeLine(messageType platform.MessageType, ref string, cause platform.Cause, fields ...platform.Field) string {
	var description []byte
	if messageType == platform.TypeBound {
		description = []byte(`"y"`)
	}
	return string(platform.Append(nil, messageType, ref, cause, description, fields...))
}

// sendNewRequest makes an owner send a new request to a random placer, unless that placer is down, and perhaps cancel
// the request later.
func (w *world) sendNewRequest() {
	p := w.randomPlacer()
	if p.core == nil {
		return
	}
	w.lastRef++
	r := &request{
		ref: fmt.Sprintf("%016x", w.lastRef), placer: p, incarnation: p.incarnation,
		class: w.rng.IntN(len(w.Settings.Classes)), service: uint64(w.rng.IntN(1 + w.Tasks/4)), createdAt: w.now,
		timeout: 200*time.Millisecond + w.randomMS(2500), cores: []float64{0.25, 0.5, 1, 2}[w.rng.IntN(4)],
	}
	w.requests[r.ref] = r
	w.report.Requests++
	r.owner = p.ownerConn()
	r.owner.send(r.line(""))
	if w.faultOneIn(8) {
		w.after(time.Duration(w.rng.IntN(int(r.timeout))), func() { w.cancel(r) })
	}
	w.after(r.timeout+answerGrace, func() { w.checkAnswered(r) })
}

// cancel makes an owner cancel a request, either by a message or by closing its connection.
func (w *world) cancel(r *request) {
	if r.finalMessage != "" || r.canceled || !r.owner.open || r.placer.incarnation != r.incarnation {
		return
	}
	if w.rng.IntN(2) != 0 {
		r.owner.close()
		return
	}
	r.cancelSent = true
	r.owner.sendWithCallback(encodeLine(platform.TypeRelease, r.ref, platform.CauseOK), func() { r.canceled = r.canceled || r.answer == "" })
}

// ownerConn is a connection from an owner to an incarnation of a placer.
type ownerConn struct {
	placer      *placer
	owner       int // number of the owner
	id          platformcore.OwnerID
	incarnation int // incarnation of the placer
	open        bool
	openedAt    time.Duration // time at which the placer learned of the connection; 0: not yet
	lastArrival time.Duration // arrival time of the last message that was sent
}

// send sends a line to the placer.
func (o *ownerConn) send(line string) { o.sendWithCallback(line, func() {}) }

// sendWithCallback sends a line to the placer. onArrival is called when the line arrives, before the placer handles it.
func (o *ownerConn) sendWithCallback(line string, onArrival func()) {
	o.placer.deliver(o.incarnation, &o.lastArrival, func() {
		if o.open {
			onArrival()
			o.placer.step(platformcore.OwnerData{Owner: o.id, Data: []byte(line)})
		}
	})
}

// close closes the connection, which cancels its unanswered requests.
func (o *ownerConn) close() {
	o.placer.deliver(o.incarnation, &o.lastArrival, func() {
		if !o.open {
			return
		}
		o.open = false
		for _, r := range o.placer.w.requests {
			if r.owner == o && r.answer == "" && r.incarnation == o.incarnation {
				r.canceled = true
				o.placer.w.report.Canceled++
			}
		}
		o.placer.step(platformcore.OwnerDisconnected{Owner: o.id})
	})
}
