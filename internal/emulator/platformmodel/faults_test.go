package platformmodel

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// emulatorRig is an Emulator with the test as its only placer. Listeners 1 and 2 belong to its two hosts, which are in
// the zones a and b. Listener 3 belongs to the endpoint log.
type emulatorRig struct {
	t              *testing.T
	e              *Emulator
	now            time.Duration
	written        map[ConnID][]string   // written messages, as texts from describe
	closed         map[ConnID]Output     // the output that closed or reset the connection
	listeners      map[ListenerID]string // state of each listener: "open", "closed" or "stopped"
	addresses      map[ListenerID]string
	readingStopped map[ConnID]bool
	dialed         []ConnID
}

const testStart = time.Hour

// newEmulatorRig returns a rig that has begun. Its hosts take 10 ms to decide an offer.
func newEmulatorRig(t *testing.T, faults ...Fault) *emulatorRig {
	t.Helper()
	cfg := testNetworkConfig(1, 2, 1, faults...).Emulator
	cfg.Owners[0].Requests[0].ReleaseAfter = 0
	for i := range cfg.Hosts {
		cfg.Hosts[i].Config.AnswerTime = Range{10 * time.Millisecond, 10 * time.Millisecond}
	}
	e, err := New(cfg, testStart)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	r := &emulatorRig{
		t: t, e: e, now: testStart, written: map[ConnID][]string{}, closed: map[ConnID]Output{}, listeners: map[ListenerID]string{},
		addresses: map[ListenerID]string{}, readingStopped: map[ConnID]bool{},
	}
	r.step()
	r.step(Begin{})
	return r
}

// step steps the Emulator and records its outputs. Listeners open at once.
func (r *emulatorRig) step(in ...Input) {
	for _, o := range r.e.Step(r.now, in...) {
		switch o := o.(type) {
		case OpenListener:
			r.listeners[o.Listener] = "open"
			r.addresses[o.Listener] = fmt.Sprintf("10.0.0.%d:1", o.Listener)
			defer r.step(ListenerOpened{o.Listener, r.addresses[o.Listener]})
		case CloseListener:
			r.listeners[o.Listener] = "closed"
		case StopAccepting:
			r.listeners[o.Listener] = "stopped"
		case ResumeAccepting:
			r.listeners[o.Listener] = "open"
		case Write:
			r.written[o.Conn] = append(r.written[o.Conn], describe(o.Bytes))
		case CloseConnection:
			r.closed[o.Conn] = o
		case ResetConnection:
			r.closed[o.Conn] = o
		case StopReading:
			r.readingStopped[o.Conn] = true
		case ResumeReading:
			r.readingStopped[o.Conn] = false
		case Dial:
			r.dialed = append(r.dialed, o.Conn)
		}
	}
}

// describe returns the type and the ref of a message, or the whole line if it cannot be decoded.
func describe(line []byte) string {
	m, err := platform.Decode(bytes.TrimSuffix(line, []byte("\n")))
	if err != nil {
		return string(line)
	}
	return string(m.Type) + " " + m.Ref
}

// advanceTo lets time pass until d after the start and steps the Emulator whenever a timer is due.
func (r *emulatorRig) advanceTo(d time.Duration) {
	for end := testStart + d; r.now < end; r.step() {
		r.now = min(end, max(r.e.Next(), r.now+time.Millisecond))
	}
}

// connect opens a connection of the placer to a listener.
func (r *emulatorRig) connect(l ListenerID) ConnID {
	id := r.e.NewConnID()
	r.step(Accepted{l, id, 0})
	return id
}

// probe sends probes with the given refs on a connection.
func (r *emulatorRig) probe(conn ConnID, refs ...int) {
	for _, ref := range refs {
		r.step(Data{conn, platform.Append(nil, platform.TypeProbe, fmt.Sprintf("%016x", ref), 0, nil)})
	}
}

// wantProbesAnswered checks that the messages written to a connection are the answers to the probes with these refs, in
// order.
func (r *emulatorRig) wantProbesAnswered(conn ConnID, refs ...int) {
	r.t.Helper()
	var want []string
	for _, ref := range refs {
		want = append(want, fmt.Sprintf("%s %016x", platform.TypeProbeResult, ref))
	}
	if got := r.written[conn]; !slices.Equal(got, want) {
		r.t.Errorf("%v after the start: connection %d: got messages %q, want %q", r.now-testStart, conn, got, want)
	}
}

// wantListener checks the state of a listener.
func (r *emulatorRig) wantListener(l ListenerID, state string) {
	r.t.Helper()
	if r.listeners[l] != state {
		r.t.Errorf("%v after the start: listener %d is %q, want %q", r.now-testStart, l, r.listeners[l], state)
	}
}

// wantReset checks whether a connection was reset.
func (r *emulatorRig) wantReset(conn ConnID, want bool) {
	r.t.Helper()
	if got := r.closed[conn] == (ResetConnection{conn}); got != want {
		r.t.Errorf("%v after the start: connection %d: got reset %v, want %v", r.now-testStart, conn, got, want)
	}
}

// lastEntry returns the latest entry of a host in the events of the endpoint list.
func (r *emulatorRig) lastEntry(name string) (last platform.Endpoint) {
	for _, event := range r.e.InitialEvents(0) {
		for _, entry := range event.Endpoints.Hosts {
			if entry.Name == name {
				last = entry
			}
		}
	}
	return last
}

// Targets of faults of an emulatorRig.
var (
	host0    = Target{Kind: HostParty, Number: 0}
	zoneA    = Target{Kind: HostParty, Zone: "a"}
	allHosts = Target{Kind: HostParty, All: true}
)

const second = time.Second

// Each type of fault affects its targets from its beginning to its end, and does not affect other parties.
func TestInjectors(t *testing.T) {
	for _, c := range []struct {
		fault Fault // the test sets At to 1 s and Duration to 2 s
		check func(r *emulatorRig, conn, other ConnID)
	}{
		{Fault{Type: FaultDelayed, Target: host0, Amount: 300 * time.Millisecond}, checkDelayed},
		{Fault{Type: FaultSilent, Target: host0}, checkSilent},
		{Fault{Type: FaultHalfOpen, Target: host0}, checkHalfOpen},
		{Fault{Type: FaultReset, Target: host0}, checkReset},
		{Fault{Type: FaultCorrupted, Target: host0}, checkCorrupted},
		{Fault{Type: FaultDuplicated, Target: host0}, checkDuplicated},
		{Fault{Type: FaultReordered, Target: host0}, checkReordered},
		{Fault{Type: FaultNotReading, Target: host0}, checkNotReading},
		{Fault{Type: FaultRefused, Target: host0}, checkRefused},
		{Fault{Type: FaultMassKill, Target: allHosts}, checkMassKill},
		{Fault{Type: FaultMassRestart, Target: allHosts}, checkMassRestart},
		{Fault{Type: FaultZonePartition, Target: zoneA}, checkZonePartition},
		{Fault{Type: FaultHostReplaced, Target: host0}, checkHostReplaced},
		{Fault{Type: FaultHostReaddressed, Target: host0}, checkHostReaddressed},
		{Fault{Type: FaultAddressTaken, Target: host0}, checkAddressTaken},
		{Fault{Type: FaultHung, Target: host0}, checkHung},
		{Fault{Type: FaultConnectionsDead, Target: host0}, checkConnectionsDead},
	} {
		t.Run(c.fault.Type.String(), func(t *testing.T) {
			c.fault.At, c.fault.Duration = second, 2*second
			r := newEmulatorRig(t, c.fault)
			conn, other := r.connect(1), r.connect(2)
			r.advanceTo(second)
			c.check(r, conn, other)
		})
	}
}

func checkDelayed(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(other, 1)
	r.advanceTo(second + 299*time.Millisecond)
	r.wantProbesAnswered(conn)
	r.advanceTo(second + 300*time.Millisecond)
	r.wantProbesAnswered(conn, 1)
}

func checkSilent(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1, 2)
	r.probe(other, 1)
	r.wantProbesAnswered(other, 1)
	r.advanceTo(3*second - 1)
	r.wantProbesAnswered(conn)
	r.advanceTo(3 * second)
	r.wantProbesAnswered(conn, 1, 2)
}

func checkHalfOpen(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(other, 1)
	r.wantListener(1, "stopped")
	r.advanceTo(3*second - 1)
	r.wantReset(conn, false)
	r.advanceTo(3 * second)
	r.wantReset(conn, true)
	r.wantProbesAnswered(conn)
	r.wantListener(1, "open")
	r.wantListener(2, "open")
}

func checkReset(r *emulatorRig, conn, other ConnID) {
	r.wantReset(conn, true)
	r.wantReset(other, false)
}

func checkCorrupted(r *emulatorRig, conn, other ConnID) {
	for range 20 {
		r.probe(conn, 1)
		r.probe(other, 1)
	}
	good := r.written[other][0]
	if len(r.written[conn]) != 20 || slices.Contains(r.written[conn], good) {
		r.t.Errorf("answers to 20 probes: got %q, want 20 other than %q", r.written[conn], good)
	}
}

func checkDuplicated(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1, 2)
	r.probe(other, 1)
	r.wantProbesAnswered(conn, 1, 1, 2, 2)
	r.wantProbesAnswered(other, 1)
}

func checkReordered(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1, 2, 3)
	r.probe(other, 1, 2)
	r.wantProbesAnswered(conn, 2, 1)
	r.wantProbesAnswered(other, 1, 2)
	r.advanceTo(3 * second)
	r.wantProbesAnswered(conn, 2, 1, 3)
}

func checkNotReading(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(conn)
	r.wantProbesAnswered(other, 1)
	if later := r.connect(1); !r.readingStopped[conn] || !r.readingStopped[later] || r.readingStopped[other] {
		r.t.Errorf("reading stopped by connection: got %v, want it for %d and %d but not for %d", r.readingStopped, conn, later, other)
	}
	r.advanceTo(3 * second)
	r.wantProbesAnswered(conn, 1)
	if r.readingStopped[conn] {
		r.t.Errorf("connection %d: reading is stopped after the end of the fault, want it resumed", conn)
	}
}

func checkRefused(r *emulatorRig, conn, _ ConnID) {
	r.wantListener(1, "closed")
	r.wantListener(2, "open")
	r.probe(conn, 1)
	r.wantProbesAnswered(conn, 1)
	r.advanceTo(3 * second)
	r.wantListener(1, "open")
}

func checkMassKill(r *emulatorRig, conn, other ConnID) {
	r.wantReset(conn, true)
	r.wantReset(other, true)
	r.wantListener(1, "closed")
	r.advanceTo(second + 300*time.Millisecond)
	if got := r.lastEntry("s-00000002").State; got != platform.Terminated {
		r.t.Errorf("entry of the killed host has state %s, want %s", got, platform.Terminated)
	}
	r.advanceTo(3*second + 300*time.Millisecond)
	r.wantListener(1, "open")
	if got := r.lastEntry("s-00000002"); got.State != platform.InService || got.StartedAtMS != 3_603_000 {
		r.t.Errorf("entry of the restarted host is %+v, want state %s and StartedAtMS 3603000", got, platform.InService)
	}
}

func checkMassRestart(r *emulatorRig, conn, other ConnID) {
	r.wantReset(conn, true)
	r.wantReset(other, false)
	r.advanceTo(second + massRestartDowntime)
	r.wantListener(1, "open")
	r.advanceTo(2 * second)
	r.wantReset(other, true)
	r.advanceTo(2*second + massRestartDowntime)
	r.wantListener(2, "open")
}

func checkZonePartition(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(other, 1)
	r.wantListener(1, "stopped")
	r.advanceTo(3*second - 1)
	r.wantProbesAnswered(conn)
	r.advanceTo(3 * second)
	r.wantProbesAnswered(conn, 1)
	r.wantListener(1, "open")
}

func checkHostReplaced(r *emulatorRig, conn, other ConnID) {
	r.probe(conn, 1)
	r.wantListener(1, "stopped")
	r.wantReset(conn, false)
	r.advanceTo(4 * second)
	r.wantProbesAnswered(conn)
	r.wantReset(conn, true)
	r.wantListener(1, "open")
	r.wantReset(other, false)
	before, after := r.lastEntry("s-00000001"), r.lastEntry("s-00000003")
	if before.State != platform.Terminated || after.State != platform.InService || before.Address != after.Address {
		r.t.Errorf("got entries %+v of the lost and %+v of the new machine, want states %s and %s at one address",
			before, after, platform.Terminated, platform.InService)
	}
}

func checkHostReaddressed(r *emulatorRig, conn, _ ConnID) {
	before := r.lastEntry("s-00000001")
	r.advanceTo(4 * second)
	r.wantReset(conn, false)
	r.wantListener(1, "stopped")
	r.wantListener(4, "open")
	if after := r.lastEntry("s-00000001"); after.State != platform.InService || before.Address == after.Address {
		r.t.Errorf("got entries %+v before and %+v after, want another address and state %s", before, after, platform.InService)
	}
}

func checkAddressTaken(r *emulatorRig, conn, other ConnID) {
	r.wantReset(conn, true)
	r.wantReset(other, false)
	r.wantListener(1, "open")
	again := r.connect(1)
	r.probe(again, 1)
	r.wantProbesAnswered(again, 1)
	r.advanceTo(3*second - 1)
	before, after := r.lastEntry("s-00000001"), r.lastEntry("s-00000003")
	if before.State != platform.InService || after.State != platform.InService || before.Address != after.Address {
		r.t.Errorf("got entries %+v of the killed and %+v of the new host, want both in service at one address", before, after)
	}
	r.advanceTo(3 * second)
	if got := r.lastEntry("s-00000001").State; got != platform.Terminated {
		r.t.Errorf("entry of the killed host after the fault has state %s, want %s", got, platform.Terminated)
	}
}

func checkHung(r *emulatorRig, conn, other ConnID) {
	later := r.connect(1)
	r.probe(conn, 1)
	r.probe(later, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(other, 1)
	r.wantListener(1, "open")
	r.advanceTo(3*second - 1)
	r.wantProbesAnswered(conn)
	r.wantProbesAnswered(later)
	r.wantReset(conn, false)
	if got := r.lastEntry("s-00000001").State; got != platform.InService {
		r.t.Errorf("entry of the host that hangs has state %s, want %s", got, platform.InService)
	}
	r.advanceTo(3 * second)
	r.wantReset(conn, true)
	r.wantReset(later, true)
	again := r.connect(1)
	r.probe(again, 1)
	r.wantProbesAnswered(again, 1)
}

func checkConnectionsDead(r *emulatorRig, conn, other ConnID) {
	later := r.connect(1)
	r.probe(conn, 1)
	r.probe(later, 1)
	r.probe(other, 1)
	r.wantProbesAnswered(conn)
	r.wantProbesAnswered(later, 1)
	r.wantProbesAnswered(other, 1)
	r.advanceTo(3*second - 1)
	r.wantReset(conn, false)
	r.advanceTo(3 * second)
	r.wantReset(conn, true)
	r.wantReset(later, false)
}

// A host whose clock is ahead is listed with a later start time.
func TestInjectorClockSkewShiftsReportedStartTime(t *testing.T) {
	r := newEmulatorRig(t, Fault{Duration: 5 * second, Type: FaultClockSkew, Target: host0, Amount: 7 * second},
		Fault{At: second, Duration: second, Type: FaultMassKill, Target: allHosts})
	r.advanceTo(3 * second)
	if a, b := r.lastEntry("s-00000001").StartedAtMS, r.lastEntry("s-00000002").StartedAtMS; a != 3_609_000 || b != 3_602_000 {
		t.Errorf("StartedAtMS of the skewed host = %v and of the other host = %v, want 3609000 and 3602000", a, b)
	}
}

// The owner hands over its running task: it sends the request again under the same ref.
func TestInjectorMassHandOverResendsRunningTask(t *testing.T) {
	r := newEmulatorRig(t, Fault{At: second, Type: FaultMassHandOver, Target: Target{Kind: OwnerParty}})
	r.step(PlacerStarted{0})
	conn := r.dialed[0]
	r.step(Connected{conn})
	probe := strings.Fields(r.written[conn][0])[1]
	r.step(Data{conn, platform.Append(nil, platform.TypeProbeResult, probe, platform.CauseHealthy, nil)})
	ref := r.e.Requests()[0][0].Refs[0]
	r.step(Data{conn, platform.Append(nil, platform.TypeBound, ref, platform.NoCause, boundDescription("s-00000001", ref))})
	r.advanceTo(second)
	if got := r.written[conn]; len(got) != 3 || got[2] != fmt.Sprintf("%s %s", platform.TypeRequest, ref) {
		t.Errorf("owner sent %q, want a probe, a request and the hand-over of %s", got, ref)
	}
	if got := r.e.Requests()[0][0]; got.HandOvers != 1 || got.Host != "s-00000001" || got.Outcome != OutcomeRunning {
		t.Errorf("report after the hand-over = %+v, want HandOvers 1, Host s-00000001 and Outcome %v", got, OutcomeRunning)
	}
}

// An endpoint log whose sequence restarts closes its streams. A later request gets the new sequence, which begins with
// a snapshot, regardless of the request's Last-Event-ID.
func TestInjectorSequenceRestartClosesStreamsAndSendsSnapshot(t *testing.T) {
	r := newEmulatorRig(t, Fault{At: second, Type: FaultSequenceRestart, Target: Target{Kind: EndpointLogParty}})
	conn := r.connect(3)
	r.advanceTo(second)
	if r.closed[conn] != (CloseConnection{conn}) {
		t.Errorf("outputs that closed or reset connections = %v, want CloseConnection of connection %d", r.closed, conn)
	}
	again := r.connect(3)
	r.step(Data{again, []byte("GET /changes HTTP/1.1\r\nHost: x\r\nLast-Event-ID: 3\r\n\r\n")})
	if got := strings.Join(r.written[again], ""); !strings.Contains(got, "id: 1\ndata:") || !strings.Contains(got, `"whole":true`) {
		t.Errorf("response to a request with Last-Event-ID 3 after the restart = %q, want a snapshot with id 1", got)
	}
}

// A fault with an unknown type, invalid times or an unsuitable target is rejected.
func TestNewRejectsInvalidFault(t *testing.T) {
	for want, f := range map[string]Fault{
		"unknown fault type":     {Type: faultTypeCount},
		"At is -1ns":             {At: -1},
		"Amount is 0s":           {Type: FaultDelayed, Target: host0},
		"does not apply":         {Type: FaultMassHandOver, Target: host0},
		"selects no party":       {Type: FaultReset, Target: Target{Kind: HostParty, Number: 9}},
		"zone partition: target": {Type: FaultZonePartition, Target: Target{Kind: HostParty, Zone: "z"}},
		"late does not apply":    {Type: FaultDelayed, Amount: 1, Target: Target{Kind: 9}},
	} {
		if _, err := New(testNetworkConfig(1, 2, 1, f).Emulator, testStart); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New with fault %+v: error %v, want one that contains %q", f, err, want)
		}
	}
}
