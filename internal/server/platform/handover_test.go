package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// drainingHostNumber is the number of the host that drains in these tests; the other one is in service.
const drainingHostNumber = 1

// handOver hands over a task that a host runs already.
func (o *testOwner) handOver(ref string, hostNumber int) {
	send(o.conn, `{"t":"new","ref":"%s","f":{"class":"keyed","left":"1500","tenant":"acme","key":"%s","idem":"%s","extras":"cores:1;memory:1;service:%s;at:s-%08x"},"d":"of the owner"}`+"\n",
		ref, ref, ref, ref, hostNumber)
}

// drainingCluster is a placer whose list has a host that drains and one in service.
type drainingCluster struct {
	server              *Server
	watch               *testWatch
	draining, inService *recordingHost
}

func startDrainingCluster(t *testing.T) *drainingCluster {
	t.Helper()
	c := &drainingCluster{draining: newRecordingHost(t), inService: newRecordingHost(t)}
	c.watch = newTestWatch(endpointEvent(1, true,
		endpointOf(drainingHostNumber, c.draining.asTestHost(), platform.Terminating), endpointOf(2, c.inService.asTestHost(), platform.InService)))
	c.server, _ = startServer(t, c.watch)
	return c
}

// wantOffersElsewhere checks that new tasks, numbered from firstRef on, are placed on the host in service.
func (c *drainingCluster) wantOffersElsewhere(t *testing.T, o *testOwner, firstRef int) {
	t.Helper()
	for i := range 20 {
		ref := fmt.Sprintf("%016x", firstRef+i)
		o.request(ref, 3000)
		o.awaitAnswer(t, ref)
		if got := o.answersTo(ref)[0]; got.Type != platform.TypeBound {
			t.Errorf("%s is answered %s %d, want that it is placed", ref, got.Type, got.Cause)
		}
	}
	if n := c.draining.received(platform.TypeRequest, ""); n != 0 {
		t.Errorf("the draining host got %d offers", n)
	}
}

// wantOneRelease checks that what was handed over got one message: the release of its task with a cause.
func wantOneRelease(t *testing.T, o *testOwner, ref string, cause platform.Cause) {
	t.Helper()
	o.awaitAnswer(t, ref)
	o.probe(t) // what was sent before has come
	got := o.answersTo(ref)
	if len(got) != 1 || got[0].Type != platform.TypeRelease || got[0].Cause != cause {
		t.Errorf("%s is answered %+v, want one release with cause %d", ref, got, cause)
	}
}

// A task that is handed over on a draining host is known: nothing is answered, its end comes to its owner once and is
// acknowledged to its host, its owner's release comes to its host, and its host gets no offer.
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
				t.Errorf("the hand-overs are answered %+v", got)
			}
			conn.endTask(ends, platform.CauseOK)
			wantOneRelease(t, o, ends, platform.CauseOK)
			eventually(t, "the acknowledgment", func() bool { return c.draining.received(platform.TypeAck, ends) == 1 })

			send(o.conn, "%s", platform.Append(nil, platform.TypeRelease, released, platform.CauseOK, nil))
			eventually(t, "the release at the host", func() bool { return c.draining.received(platform.TypeRelease, released) == 1 })
			eventually(t, "its acknowledgment", func() bool { return c.draining.received(platform.TypeAck, released) == 1 })
			o.probe(t)
			if got := o.answersTo(released); len(got) != 1 || got[0].Type != platform.TypeAck {
				t.Errorf("the owner's release is answered %+v, want that it is acknowledged and no more", got)
			}
			c.wantOffersElsewhere(t, newTestOwner(t, c.server.Address()), 0xe200)
		})
	}
}

// A task that is handed over on a draining host which refuses connections is released once the host is removed, and not
// before.
func TestServerHandOverOnDrainingHostThatRefuses(t *testing.T) {
	const ref = "00000000000000b3"
	c := startDrainingCluster(t)
	_ = c.draining.listener.Close()
	o := newTestOwner(t, c.server.Address())
	o.handOver(ref, drainingHostNumber)
	c.wantOffersElsewhere(t, o, 0xe100)
	time.Sleep(time.Second) // several dials are refused
	if got := o.answersTo(ref); len(got) != 0 {
		t.Errorf("%+v comes while the host may still run the task", got)
	}
	c.watch.publish(endpointEvent(2, false, endpointOf(drainingHostNumber, c.draining.asTestHost(), platform.Terminated)))
	wantOneRelease(t, o, ref, platform.CauseReset)
}
