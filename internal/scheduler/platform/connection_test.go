package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// crowdedCore is a core with more hosts than connection slots.
type crowdedCore struct {
	*testCore
	owner OwnerID
}

// Number of hosts and connection limits of a crowdedCore.
const (
	crowdedHosts           = 60
	crowdedMaxOwners       = 26
	crowdedProtectedOwners = 13
	crowdedMaxHosts        = 27
	crowdedMaxConnections  = 40
)

// newCrowdedCore returns a crowdedCore with one owner. Its module offers tasks to the hosts in turn.
func newCrowdedCore(t *testing.T) *crowdedCore {
	t.Helper()
	w := newTestCore(t, func(config *Config) {
		config.MaxOwnerConnections, config.ProtectedOwnerConnections = crowdedMaxOwners, crowdedProtectedOwners
		config.MaxHostConnections, config.MaxConnections = crowdedMaxHosts, crowdedMaxConnections
		var hosts []platform.Endpoint
		for n := range crowdedHosts {
			host := endpoint(n+1, platform.InService)
			host.Address = fmt.Sprintf("10.0.2.%d:1", n+1)
			hosts = append(hosts, host)
		}
		config.InitialEvents[0].Endpoints.Hosts = hosts
	})
	offers := 0
	w.decide = func(event forkhead.Event) []forkhead.Action {
		if request, ok := event.(forkhead.PlacementRequest); ok {
			offers++
			return []forkhead.Action{forkhead.Offer{Task: request.Task.ID, Machine: forkhead.MachineID(offers%crowdedHosts + 1)}}
		}
		return nil
	}
	return &crowdedCore{w, w.connectOwner()}
}

// checkBounds fails the test if a limit of connections is exceeded.
func (w *crowdedCore) checkBounds() {
	w.t.Helper()
	c := w.core
	if len(c.connections)+len(c.owners) > crowdedMaxConnections+maxHalfClosed || c.usedHostConnections()+len(c.owners) > crowdedMaxConnections ||
		c.usedHostConnections() > crowdedMaxHosts || len(c.owners) > crowdedMaxOwners {
		w.t.Fatalf("got %d connections to hosts (%d of them half-closed) and %d of owners; want at most %d to hosts, %d of owners and %d in total, "+
			"not counting up to %d half-closed ones",
			len(c.connections), len(c.halfClosed), len(c.owners), crowdedMaxHosts, crowdedMaxOwners, crowdedMaxConnections, maxHalfClosed)
	}
}

// place places the task with the number i, which is the only task of its service.
func (w *crowdedCore) place(i int) {
	w.t.Helper()
	ref := fmt.Sprintf("%016x", 0x1000+i)
	sent := slices.Clone(w.send(w.owner, strings.Replace(requestLine(ref, "keyed", ""), "b4d65521", fmt.Sprintf("%08x", i), 1)))
	sent = append(sent, w.connectDialed()...)
	for _, output := range ofType[SendToHost](sent) {
		if strings.Contains(string(output.Line), `"new"`) {
			w.step(fromHost(output.Connection, boundLine(ref)))
		}
	}
	if r := w.core.requestsByRef[requestRef(ref)]; r == nil || r.phase != requestPlaced {
		w.t.Fatalf("task %d: not placed, want it placed; lines to owners in the last step: %q", i, sentLines[SendToOwner](w.outputs))
	}
	w.checkBounds()
}

// However many hosts run tasks and become unresponsive, and however many owners connect, the connections stay within
// their limits, and offers, dials of unresponsive hosts and owners still get connections.
func TestCoreBoundsConnections(t *testing.T) {
	w := newCrowdedCore(t)
	for i := range crowdedHosts {
		w.place(i)
	}
	dialed := map[forkhead.MachineID]bool{}
	w.run(10*time.Second, func(dial DialHost) Input {
		if conn := w.core.connections[dial.Connection]; conn != nil {
			dialed[conn.host.id] = true
		}
		return connected(dial)
	}, w.checkBounds)
	if len(dialed) < crowdedHosts-crowdedMaxHosts {
		t.Errorf("dialed %d of %d unresponsive hosts in 10 s, want at least %d", len(dialed), crowdedHosts, crowdedHosts-crowdedMaxHosts)
	}
	if got := takeEvents[forkhead.Outcome](w.testCore); len(got) > 0 {
		t.Errorf("lost %d tasks of hosts that accept connections, want 0", len(got))
	}
	for range 500 { // owners that send nothing
		w.now += time.Millisecond
		w.connectOwner()
		w.checkBounds()
	}
	if len(w.core.owners) < crowdedProtectedOwners {
		t.Errorf("after 500 idle owners: got %d connections of owners, want at least %d", len(w.core.owners), crowdedProtectedOwners)
	}
	w.place(crowdedHosts)
}

// An offer whose connection could not be dialed for lack of file descriptors is reported as not sent, so that the
// failure does not count against the host.
func TestCoreReportsNotSentOnLocalDialFailure(t *testing.T) {
	w := newTestCore(t, nil)
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	w.step(DialFailed{Connection: ofType[DialHost](w.outputs)[0].Connection, Local: true})
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent {
		t.Errorf("after a local dial failure: got outcomes %+v, want one with result NotSent", got)
	}
}

// A connection that stays open without answers is closed once a later offer on another connection is answered.
func TestCoreClosesOvertakenConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.send(o, requestLine(ref1, "keyed", ""))
	stuck := ofType[SendToHost](w.connectDialed())[0].Connection
	w.now += 100 * time.Millisecond
	w.send(o, requestLine(ref2, "keyed", ""))
	conn := ofType[SendToHost](w.connectDialed())[0].Connection
	if conn == stuck {
		t.Fatalf("second offer: sent on connection %d, want another one, as the first offer on this one is unanswered", conn)
	}
	w.step(fromHost(conn, boundLine(ref2)))
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Reset || w.core.connections[stuck] != nil {
		t.Errorf("got outcomes %+v, want one with result Reset; connection %d open %v, want false",
			got, stuck, w.core.connections[stuck] != nil)
	}
	// The task of the first offer may run without an owner and is stopped.
	w.wantLines(sentLines[SendToHost](w.outputs), "down "+ref1+" 16")
}

// An idle connection on which a host must report the ends of its tasks is kept alive with probes if hosts may be
// probed, and replaced otherwise.
func TestCoreProbesOrReplacesIdleConnectionThatIsNeeded(t *testing.T) {
	for _, may := range []bool{true, false} {
		w := newTestCore(t, func(cfg *Config) { cfg.Settings.MayProbe = may })
		_, conn := w.placeTask()
		probes := 0
		w.run(2*time.Minute, connected, func() {
			for _, line := range sentLines[SendToHost](w.outputs) {
				if strings.HasPrefix(line, "hb") {
					probes++
				}
			}
			if open := w.core.hosts[1].leastBusyConnection(); open != nil && w.now%(500*time.Millisecond) < 10*time.Millisecond { // the host sends data
				open.host.liveness.reachableAt = w.now
			}
			if len(w.core.hosts[1].connections) == 0 {
				t.Fatalf("probes allowed %v, at %v: got no connection to a host with tasks, want at least one", may, w.now)
			}
		})
		if may && probes == 0 || !may && probes > 0 {
			t.Errorf("probes allowed %v: got %d probes in 2 minutes, want at least 1 if they are allowed and 0 otherwise", may, probes)
		}
		if !may && w.core.connections[conn] != nil {
			t.Error("probes not allowed: idle connection still open after 2 minutes, want it replaced")
		}
	}
}

// A connection that is being replaced stays open until the new one is open.
func TestCoreKeepsConnectionUntilItsReplacementIsOpen(t *testing.T) {
	w := newTestCore(t, func(config *Config) { config.Settings.MayProbe = false })
	_, old := w.placeTask()
	tick := func() []Output {
		w.now += reconcileInterval
		w.core.hosts[1].liveness.reachableAt = w.now // keeps the host from being dialed as unresponsive
		return w.step()
	}
	var dials []DialHost
	for end := w.now + w.core.config.IdleTimeout; len(dials) == 0; {
		if dials = ofType[DialHost](tick()); w.now > end {
			t.Fatalf("no replacement dialed within the idle timeout of %v, want one", w.core.config.IdleTimeout)
		}
	}
	for range 3 {
		if closed := ofType[HalfCloseHostConnection](tick()); len(closed) > 0 {
			t.Fatalf("while the replacement is being dialed: half-closed %v, want none", closed)
		}
	}
	closed := ofType[HalfCloseHostConnection](w.step(HostConnected{dials[0].Connection}))
	if len(closed) != 1 || closed[0].Connection != old {
		t.Errorf("once the replacement is open: half-closed %v, want connection %d", closed, old)
	}
}
