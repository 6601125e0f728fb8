package platform

import (
	"net"
	"testing"

	"forkhead/internal/protocol/platform"
)

// reset resets the owner's connection and waits until the placer knows that it has ended.
func (o *testOwner) reset(t *testing.T, s *Server) {
	t.Helper()
	open := openOwnerCount(s)
	_ = o.conn.(*net.TCPConn).SetLinger(0)
	_ = o.conn.Close()
	eventually(t, "the placer knows that the connection has ended", func() bool { return openOwnerCount(s) < open })
}

// Guards against a release that never reaches its owner: the owner's connection is reset while its task runs, the owner
// connects again, and no task is placed for the new connection. A further owner, for which more tasks are placed, must
// not get the release in its stead.
func TestServerReleasesTaskToOwnerThatConnectedAgain(t *testing.T) {
	const ref, otherRef = "00000000000000a1", "00000000000000a2"
	for name, hasFurtherOwner := range map[string]bool{"only owner": false, "beside a further owner": true} {
		t.Run(name, func(t *testing.T) {
			h := newRecordingHost(t)
			s := startWithHost(t, h.asTestHost())
			if hasFurtherOwner {
				further := newTestOwner(t, s.Address())
				further.request(otherRef, 2000)
				further.awaitAnswer(t, otherRef)
			}
			before := newTestOwner(t, s.Address())
			before.request(ref, 2000)
			before.awaitAnswer(t, ref)
			before.reset(t, s)
			again := newTestOwner(t, s.Address())
			again.probe(t)
			h.awaitConn(t).endTask(ref, platform.CauseOK)
			wantOneRelease(t, again, ref, platform.CauseOK)
		})
	}
}

// Guards against a release that is lost with its connection: the placer writes it, and a reset of the connection comes
// before the owner has read it.
func TestServerReleasesTaskAgainWhoseReleaseWasLostInReset(t *testing.T) {
	const ref = "00000000000000a1"
	h := newRecordingHost(t)
	s := startWithHost(t, h.asTestHost())
	reader := newTestOwner(t, s.Address())
	before := &testOwner{conn: dialLoopback(t, s.Address())} // reads nothing
	before.request(ref, 2000)
	eventually(t, "the host has the offer", func() bool { return h.lastOfferConn(ref) != nil })
	h.lastOfferConn(ref).endTask(ref, platform.CauseOK)
	eventually(t, "the host has the acknowledgment", func() bool { return h.received(platform.TypeAck, ref) > 0 })
	reader.probe(t) // the step that acknowledged the end has sent the release
	before.reset(t, s)
	again := newTestOwner(t, s.Address())
	wantOneRelease(t, again, ref, platform.CauseOK)
}
