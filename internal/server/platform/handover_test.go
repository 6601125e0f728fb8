package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// drainingHostNumber is the number of the draining host in these tests. The other host is in service.
const drainingHostNumber = 1

// handOver sends a placement request for a task that the given host runs already.
func (o *testOwner) handOver(ref string, hostNumber int) {
	send(o.conn, `{"t":"new","ref":"%s","f":{"class":"keyed","left":"1500","tenant":"acme","key":"%s","idem":"%s","extras":"cores:1;memory:1;service:%s;at:s-%08x"},"d":"of the owner"}`+"\n",
		ref, ref, ref, ref, hostNumber)
}

// drainingCluster is a placer whose endpoint list has a draining host and one in service.
type drainingCluster struct {
	server              *Server
	watch               *testWatch
	draining, inService *recordingHost
}

// startDrainingCluster starts the hosts, the watch and the placer.
func startDrainingCluster(t *testing.T) *drainingCluster {
	t.Helper()
	c := &drainingCluster{draining: newRecordingHost(t), inService: newRecordingHost(t)}
	c.watch = newTestWatch(endpointEvent(1, true,
		endpointOf(drainingHostNumber, c.draining.asTestHost(), platform.Terminating), endpointOf(2, c.inService.asTestHost(), platform.InService)))
	c.server, _ = startServer(t, c.watch)
	return c
}

// wantOffersElsewhere checks that 20 new tasks, with refs from firstRef on, are placed and none is offered to the
// draining host.
func (c *drainingCluster) wantOffersElsewhere(t *testing.T, o *testOwner, firstRef int) {
	t.Helper()
	for i := range 20 {
		ref := fmt.Sprintf("%016x", firstRef+i)
		o.request(ref, 3000)
		o.awaitAnswer(t, ref)
		if got := o.answersTo(ref)[0]; got.Type != platform.TypeBound {
			t.Errorf("answer to %s: got type %s with cause %d, want type %s", ref, got.Type, got.Cause, platform.TypeBound)
		}
	}
	if n := c.draining.received(platform.TypeRequest, ""); n != 0 {
		t.Errorf("offers at the draining host after 20 requests: got %d, want 0", n)
	}
}

// wantOneRelease checks that the owner of a handed-over task gets one message about it: the release with the given
// cause.
func wantOneRelease(t *testing.T, o *testOwner, ref string, cause platform.Cause) {
	t.Helper()
	o.awaitAnswer(t, ref)
	o.probe(t) // messages that were sent before the probe's answer have arrived
	got := o.answersTo(ref)
	if len(got) != 1 || got[0].Type != platform.TypeRelease || got[0].Cause != cause {
		t.Errorf("messages to the owner of %s: got %+v, want one release with cause %d", ref, got, cause)
	}
}

// A task that is handed over on a draining host is adopted without an answer, whether or not the host accepts further
// connections. Its end is reported to its owner once and acknowledged to its host, a release by its owner is passed to
// its host, and the host gets no offers.
func TestServerHandOverOnDrainingHost(t *testing.T) {
	const ends, released = "00000000000000b1", "00000000000000b2"
	for _, accepts := range []bool{true, false} {
		t.Run(fmt.Sprintf("accepts further connections %v", accepts), func(t *testing.T) {
			c := startDrainingCluster(t)
			o := newTestOwner(t, c.server.Address())
			o.handOver(ends, drainingHostNumber)
			o.handOver(released, drainingHostNumber)
			conn := c.draining.awaitConn(t)
			if !accepts {
				_ = c.draining.listener.Close()
			}
			c.wantOffersElsewhere(t, o, 0xe100)
			if got := append(o.answersTo(ends), o.answersTo(released)...); len(got) != 0 {
				t.Errorf("messages to the owner before either task has ended: got %+v, want none", got)
			}
			conn.endTask(ends, platform.CauseOK)
			wantOneRelease(t, o, ends, platform.CauseOK)
			eventually(t, "the acknowledgment of the end at the host", func() bool { return c.draining.received(platform.TypeAck, ends) == 1 })

			send(o.conn, "%s", platform.Append(nil, platform.TypeRelease, released, platform.CauseOK, nil))
			eventually(t, "the release at the host", func() bool { return c.draining.received(platform.TypeRelease, released) == 1 })
			eventually(t, "the acknowledgment at the host of the end after the release", func() bool { return c.draining.received(platform.TypeAck, released) == 1 })
			o.probe(t)
			if got := o.answersTo(released); len(got) != 1 || got[0].Type != platform.TypeAck {
				t.Errorf("messages to the owner after its release: got %+v, want one acknowledgment", got)
			}
			c.wantOffersElsewhere(t, newTestOwner(t, c.server.Address()), 0xe200)
		})
	}
}

// A task that is handed over on a draining host that refuses connections is released when the host is removed from the
// endpoint list. An earlier release would be wrong, as the host may still run the task.
func TestServerHandOverOnDrainingHostThatRefuses(t *testing.T) {
	const ref = "00000000000000b3"
	c := startDrainingCluster(t)
	_ = c.draining.listener.Close()
	o := newTestOwner(t, c.server.Address())
	o.handOver(ref, drainingHostNumber)
	c.wantOffersElsewhere(t, o, 0xe100)
	time.Sleep(time.Second) // enough time for several dials that the host refuses
	if got := o.answersTo(ref); len(got) != 0 {
		t.Errorf("messages to the owner while the host is listed: got %+v, want none", got)
	}
	c.watch.publish(endpointEvent(2, false, endpointOf(drainingHostNumber, c.draining.asTestHost(), platform.Terminated)))
	wantOneRelease(t, o, ref, platform.CauseReset)
}
