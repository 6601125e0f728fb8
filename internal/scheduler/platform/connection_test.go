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

// crowdedCore is a core whose connections are all taken.
type crowdedCore struct {
	*testCore
	owner OwnerID
}

// Hosts of a crowdedCore, and the bounds of its connections.
const (
	crowdedHosts           = 60
	crowdedMaxOwners       = 26
	crowdedProtectedOwners = 13
	crowdedMaxHosts        = 27
	crowdedMaxConnections  = 40
)

// newCrowdedCore returns a core with more hosts than connections, to which the module offers tasks in turn.
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

// checkBounds fails the test if there are more connections than there may be.
func (w *crowdedCore) checkBounds() {
	w.t.Helper()
	c := w.core
	if len(c.connections)+len(c.owners) > crowdedMaxConnections+maxHalfClosed || c.usedHostConnections()+len(c.owners) > crowdedMaxConnections ||
		c.usedHostConnections() > crowdedMaxHosts || len(c.owners) > crowdedMaxOwners {
		w.t.Fatalf("%d connections to hosts, of these %d half-closed, and %d of owners", len(c.connections), len(c.halfClosed), len(c.owners))
	}
}

// place places task i, which is of a service of its own.
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
		w.t.Fatalf("task %d is not placed: %q", i, sentLines[SendToOwner](w.outputs))
	}
	w.checkBounds()
}

// However many hosts run tasks and become unresponsive, and however many owners connect, both kinds of connections stay within
// their bounds; offers, dials of unresponsive hosts and owners still get theirs.
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
		t.Errorf("%d of %d unresponsive hosts are dialed", len(dialed), crowdedHosts)
	}
	if got := takeEvents[forkhead.Outcome](w.testCore); len(got) > 0 {
		t.Errorf("%d tasks of hosts that are up are lost", len(got))
	}
	for range 500 { // owners that send nothing
		w.now += time.Millisecond
		w.connectOwner()
		w.checkBounds()
	}
	if len(w.core.owners) < crowdedProtectedOwners {
		t.Errorf("%d connections of owners are left", len(w.core.owners))
	}
	w.place(crowdedHosts)
}

// An offer whose connection could not be dialed for want of descriptors was not sent, and does not count against its host.
func TestCoreLocalDialFailureIsNotSent(t *testing.T) {
	w := newTestCore(t, nil)
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	w.step(DialFailed{Connection: ofType[DialHost](w.outputs)[0].Connection, Local: true})
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent {
		t.Errorf("outcomes %+v, want one that was not sent", got)
	}
}

// A connection that stays open and answers nothing is closed once later offers are answered on another.
func TestCoreClosesOvertakenConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.send(o, requestLine(ref1, "keyed", ""))
	stuck := ofType[SendToHost](w.connectDialed())[0].Connection
	w.now += 100 * time.Millisecond
	w.send(o, requestLine(ref2, "keyed", ""))
	conn := ofType[SendToHost](w.connectDialed())[0].Connection
	if conn == stuck {
		t.Fatal("the second offer takes the busy connection")
	}
	w.step(fromHost(conn, boundLine(ref2)))
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Reset || w.core.connections[stuck] != nil {
		t.Errorf("outcomes %+v", got)
	}
	// Its task may run for nobody: it is stopped.
	w.wantLines(sentLines[SendToHost](w.outputs), "down "+ref1+" 16")
}

// Where hosts may not be probed, an idle connection that tasks need is replaced, not probed.
func TestCoreKeepsIdleConnectionThatIsNeeded(t *testing.T) {
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
			if open := w.core.hosts[1].leastBusyConnection(); open != nil && w.now%(500*time.Millisecond) < 10*time.Millisecond { // its host sends something
				open.host.lastSeenAliveAt = w.now
			}
			if len(w.core.hosts[1].connections) == 0 {
				t.Fatal("no connection is left to a host with tasks")
			}
		})
		if may && probes == 0 || !may && probes > 0 {
			t.Errorf("probes allowed %v: %d probes", may, probes)
		}
		if !may && w.core.connections[conn] != nil {
			t.Error("an idle connection stays for ever")
		}
	}
}

// A connection that is replaced stays open until the new one is.
func TestCoreKeepsConnectionUntilItsReplacementIsOpen(t *testing.T) {
	w := newTestCore(t, func(config *Config) { config.Settings.MayProbe = false })
	_, old := w.placeTask()
	tick := func() []Output {
		w.now += reconcileInterval
		w.core.hosts[1].lastSeenAliveAt = w.now // else it is dialed as unresponsive
		return w.step()
	}
	var dials []DialHost
	for end := w.now + w.core.config.IdleTimeout; len(dials) == 0; {
		if dials = ofType[DialHost](tick()); w.now > end {
			t.Fatal("no replacement is dialed")
		}
	}
	for range 3 {
		if closed := ofType[HalfCloseHostConnection](tick()); len(closed) > 0 {
			t.Fatalf("%v is closed while its replacement is being dialed", closed)
		}
	}
	closed := ofType[HalfCloseHostConnection](w.step(HostConnected{dials[0].Connection}))
	if len(closed) != 1 || closed[0].Connection != old {
		t.Errorf("half-closed %v, want %d", closed, old)
	}
}
