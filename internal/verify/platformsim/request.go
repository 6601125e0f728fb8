package platformsim

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// request is a placement request of an owner.
type request struct {
	ref         string
	placer      *placer
	incarnation int // of the placer that the owner requested it of, last
	class       int
	service     uint64
	cores       float64
	createdAt   time.Duration
	timeout     time.Duration
	owner       *ownerConn
	cancelSent  bool                 // its owner cancels it, which the placer may not have received
	canceled    bool                 // and has
	answer      platform.MessageType // empty: none was sent
	final       platform.MessageType // the release; empty: none was sent
	attempts    []*attempt
	countsFrom  time.Duration // when it was handed over: from then on it counts for the placer's spread limit
}

// finalLost is the release of a task that ended with its host while its placer was down.
const finalLost platform.MessageType = "lost"

// attempt is an offer as its placer wrote it. What the placer knows of it is noted when it is delivered.
type attempt struct {
	request *request
	host    *host
	conn    *conn
	sentAt  time.Duration

	// What its placer knows.
	knownNotRun bool          // the host reported that the task never ran by this attempt
	knownOver   bool          // the host reported its end, it was canceled, or its connection is closed
	knownBound  bool          // the host reported that it bound the task
	releasedAt  time.Duration // when the placer ended the bound task; 0: it has not

	// What is so at the host.
	bound bool
	ended bool
	cause platform.Cause // of the end
}

// mayRun reports whether the task may run by this attempt, as far as its placer knows.
func (t *attempt) mayRun() bool { return !t.knownOver && !t.knownNotRun }

// boundAttempt returns the attempt that its placer knows to be bound, or nil.
func (r *request) boundAttempt() *attempt {
	for _, t := range r.attempts {
		if t.knownBound {
			return t
		}
	}
	return nil
}

// line returns the request as a message. at, if not empty, is where the task runs that is handed over.
func (r *request) line(at string) string {
	names := r.placer.w.WireNames
	tenant := ""
	if n := len(names.Tenants); n > 0 {
		tenant = fmt.Sprintf(`"tenant":%q,`, names.Tenants[int(r.service)%n])
	}
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":%q,%s"left":"%d","key":"%s","idem":"i%s","extras":"cores:%g;memory:%g;service:%016x%s"},"d":"x"}`+"\n",
		r.ref, names.Classes[r.class], tenant, r.timeout.Milliseconds(), r.ref, r.ref, r.cores, r.cores, r.service, at)
}

// handOverLine returns the request as a message of a task that runs already.
func (r *request) handOverLine() string {
	return r.line(";at:" + r.boundAttempt().host.name())
}

// encodeLine returns a message as a line; an answer that a task is bound has a description.
func encodeLine(kind platform.MessageType, ref string, cause platform.Cause, fields ...platform.Field) string {
	var description []byte
	if kind == platform.TypeBound {
		description = []byte(`"y"`)
	}
	return string(platform.Append(nil, kind, ref, cause, description, fields...))
}

// arrive lets an owner send a request to a placer, and perhaps give it up.
func (w *world) arrive() {
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
	if w.fails(8) {
		w.after(time.Duration(w.rng.IntN(int(r.timeout))), func() { w.cancel(r) })
	}
	w.after(r.timeout+answerGrace, func() { w.checkAnswered(r) })
}

// cancel lets an owner cancel a request, by a message or by the end of its connection.
func (w *world) cancel(r *request) {
	if r.final != "" || r.canceled || !r.owner.open || r.placer.incarnation != r.incarnation {
		return
	}
	if w.rng.IntN(2) != 0 {
		r.owner.close()
		return
	}
	r.cancelSent = true
	r.owner.sendNoting(encodeLine(platform.TypeRelease, r.ref, platform.CauseOK), func() { r.canceled = r.canceled || r.answer == "" })
}

// ownerConn is a connection of an owner to an incarnation of a placer.
type ownerConn struct {
	placer      *placer
	id          platformcore.OwnerID
	incarnation int // of the placer
	open        bool
	lastArrival time.Duration // of what was sent on it
}

// send sends a line to the placer.
func (o *ownerConn) send(line string) { o.sendNoting(line, func() {}) }

// sendNoting sends a line to the placer. onArrival is called when it arrives, before the placer acts on it.
func (o *ownerConn) sendNoting(line string, onArrival func()) {
	o.placer.deliver(o.incarnation, &o.lastArrival, func() {
		if o.open {
			onArrival()
			o.placer.step(platformcore.OwnerData{Owner: o.id, Data: []byte(line)})
		}
	})
}

// close closes the connection, which cancels the requests on it that are not answered.
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
