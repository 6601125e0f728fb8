package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
)

// requestUnanswered sends the request of ref1 on a new connection, whose offer goes to host 1, and ends the connection
// before the host's answer.
func (w *testCore) requestUnanswered(class string) {
	w.t.Helper()
	before := w.connectOwner()
	w.send(before, requestLine(ref1, class, ""))
	w.connectDialed()
	w.step(OwnerDisconnected{Owner: before, Reset: true})
}

// Guards against an unsafe task that is started twice: its request meets a reset of its connection while a host has the
// offer, and its owner sends it again under the same ref. It is not offered again but fails, once. Tasks that may be
// repeated, or whose host has said that they did not run, are offered again.
func TestCoreDoesNotRepeatUnsafeRequestSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		class    string
		rejected bool
		dedup    forkhead.Domain
		want     string // answer to the resubmission; "": it is offered
	}{
		"unsafe":                          {class: "unsafe", want: "down " + ref1 + " 47"},
		"unsafe, rejected before":         {class: "unsafe", rejected: true},
		"keyed":                           {class: "keyed"},
		"keyed, deduplicated in its zone": {class: "keyed", dedup: forkhead.ZoneDomain, want: "down " + ref1 + " 47"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, func(cfg *Config) { cfg.Settings.Classes[0].DedupDomain = c.dedup })
			if c.rejected {
				before := w.connectOwner()
				w.send(before, requestLine(ref1, c.class, ""))
				w.connectDialed()
				w.step(fromHost(w.core.hosts[1].leastBusyConnection().id, releaseLine(ref1, 34)))
				w.step(OwnerDisconnected{Owner: before, Reset: true})
			} else {
				w.requestUnanswered(c.class)
			}
			again := w.connectOwner()
			out := w.send(again, requestLine(ref1, c.class, ""))
			if c.want == "" {
				w.wantLines(sentLines[SendToHost](out), "new "+ref1)
				return
			}
			w.wantLines(sentLines[SendToHost](out))
			w.wantLines(linesTo(again, out), c.want)
			third := w.connectOwner()
			w.wantLines(linesTo(third, w.send(third, requestLine(ref1, c.class, ""))), c.want)
		})
	}
}

// Guards against a request without an answer: its answer was sent on a connection that was reset, and its owner sends the
// request again. It gets the same answer on the new connection, once, whether the placer knows of the reset or not. The
// release of the task follows on that connection.
func TestCoreAnswersRequestSentAgainAfterItsAnswer(t *testing.T) {
	for _, isKnown := range []bool{true, false} {
		t.Run(fmt.Sprintf("the end of the connection is known %v", isKnown), func(t *testing.T) {
			w := newTestCore(t, nil)
			before, conn := w.placeTask()
			if isKnown {
				w.step(OwnerDisconnected{Owner: before, Reset: true})
			}
			again := w.connectOwner()
			out := w.send(again, requestLine(ref1, "keyed", ""))
			w.wantLines(sentLines[SendToHost](out))
			w.wantLines(linesTo(again, out), "up "+ref1)
			if got := string(fieldsOf(ofType[SendToOwner](out)[0].Line)["d"]); got != `"from the host"` {
				t.Errorf("description of the answer that is sent again: got %s, want that of the host", got)
			}
			w.wantLines(linesTo(again, w.send(again, requestLine(ref1, "keyed", ""))))
			w.step(OwnerDisconnected{Owner: before})
			w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))), "down "+ref1+" 16")
		})
	}
}

// A request that failed gets its failure again. One whose task was placed and has ended gets the release, but only once
// on a connection, and no further attempt.
func TestCoreAnswersRequestSentAgainAfterItsEnd(t *testing.T) {
	w := newTestCore(t, nil)
	before, conn := w.placeTask()
	w.step(OwnerDisconnected{Owner: before, Reset: true})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	again := w.connectOwner()
	w.wantLines(linesTo(again, w.outputs), "down "+ref1+" 16")
	w.wantLines(linesTo(again, w.send(again, requestLine(ref1, "keyed", ""))))
	other := w.connectOwnerFrom(addressB)
	out := w.send(other, requestLine(ref1, "keyed", ""))
	w.wantLines(linesTo(other, out), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToHost](out))

	w = newTestCore(t, nil)
	before = w.connectOwner()
	w.send(before, requestLine(ref1, "unsafe", ""))
	w.connectDialed()
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if _, ok := ev.(forkhead.Outcome); ok {
			return []forkhead.Action{forkhead.Fail{Task: 1}}
		}
		return nil
	}
	w.step(fromHost(w.core.hosts[1].leastBusyConnection().id, releaseLine(ref1, 47)))
	w.step(OwnerDisconnected{Owner: before, Reset: true})
	again = w.connectOwner()
	w.wantLines(linesTo(again, w.send(again, requestLine(ref1, "unsafe", ""))), "down "+ref1+" 47")
}

// Another request under the ref of a closed one is a request of its own, and so is the same one after its time.
func TestCoreForgetsClosedRequests(t *testing.T) {
	w := newTestCore(t, nil)
	w.requestUnanswered("unsafe")
	other := w.connectOwner()
	out := w.send(other, strings.Replace(requestLine(ref1, "unsafe", ""), `a\ud800`, "other", 1))
	w.wantLines(sentLines[SendToHost](out), "new "+ref1)

	w = newTestCore(t, nil)
	w.requestUnanswered("unsafe")
	w.advance(resubmissionWindow + 2*reconcileInterval)
	if n := len(w.core.closed.byRef) + len(w.core.closed.order) + w.core.closed.bytes; n != 0 {
		t.Errorf("after their time: got %d closed requests and bytes, want 0", n)
	}
}

// The closed requests are bounded in number and in the bytes of their answers; the oldest are forgotten.
func TestClosedRequestsAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ size, want int }{
		"number": {1, maxClosedRequests}, "bytes": {16 << 10, maxClosedBytes / (16 << 10)},
	} {
		s := newClosedRequests()
		for i := range 3 * maxClosedRequests {
			s.add(&closedRequest{ref: requestRef(requestNumber(i)), answer: make([]byte, c.size), closedAt: time.Duration(i)})
		}
		if len(s.order) != c.want || len(s.byRef) != c.want || s.bytes > maxClosedBytes || s.byRef[requestRef(requestNumber(3*maxClosedRequests-1))] == nil {
			t.Errorf("bound of the %s: got %d requests, %d by ref, %d bytes, want %d requests with the latest among them",
				name, len(s.order), len(s.byRef), s.bytes, c.want)
		}
	}
}
