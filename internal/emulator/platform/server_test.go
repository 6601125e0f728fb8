package platform

import (
	_ "embed"
	"encoding/json"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	platformserver "forkhead/internal/server/platform"
)

// eventuallyTimeout is more than anything that a test waits for takes on a busy machine.
const eventuallyTimeout = time.Minute

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come about", what)
		}
	}
}

//go:embed testdata/settings.json
var testSettings []byte

// testConfig is a platform with three hosts and 20 requests at one placer. Six want more cores than a host has; the others
// need all three hosts, and
// are released by their owner long before their tasks would end.
func testConfig(faults ...platformmodel.Fault) platformmodel.Config {
	host := platformmodel.HostConfig{
		Cores: 6, Memory: 16, AnswerTime: platformmodel.Range{Min: time.Millisecond, Max: 5 * time.Millisecond}, MaxQueued: 50,
		RunTime: platformmodel.Range{Min: time.Hour, Max: time.Hour}, NoteInterval: 100 * time.Millisecond,
	}
	classes := []platformmodel.Class{
		{Name: "safe", Effect: forkhead.Safe}, {Name: "keyed", Effect: forkhead.Keyed, DedupWindow: time.Hour}, {Name: "unsafe", Effect: forkhead.Unsafe},
	}
	patience := eventuallyTimeout // however late the machine is, no owner gives up before its placer answers
	fitting := platformmodel.OwnerConfig{Number: 1, Tenant: "acme", Classes: classes, MaxSubmissions: 20, AnswerGrace: patience}
	tooLarge := platformmodel.OwnerConfig{Number: 2, Tenant: "acme", Classes: classes, MaxSubmissions: 1, AnswerGrace: patience}
	for i := range 14 {
		fitting.Requests = append(fitting.Requests, platformmodel.Request{
			At: time.Duration(i) * 20 * time.Millisecond, Class: i % 2, Cores: 1, Memory: 1, Service: uint64(i), Timeout: 3 * time.Second,
			ReleaseAfter: time.Second,
		})
	}
	for i := range 6 {
		tooLarge.Requests = append(tooLarge.Requests, platformmodel.Request{
			At: time.Duration(i) * 30 * time.Millisecond, Class: i % 3, Cores: 7, Memory: 1, Timeout: 500 * time.Millisecond,
		})
	}
	cfg := platformmodel.Config{Placers: 1, Owners: []platformmodel.OwnerConfig{fitting, tooLarge}, Faults: faults, Seed: 1}
	for i := range 3 {
		cfg.Hosts = append(cfg.Hosts, platformmodel.HostSpec{Config: host, Zone: "z", MachineType: "std", Cell: i})
	}
	return cfg
}

// startEmulators starts emulators that are stopped with the test.
func startEmulators(t *testing.T, cfg platformmodel.Config) *Server {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// runOnSockets runs a placer with emulators on sockets.
func runOnSockets(t *testing.T, cfg platformmodel.Config) ([][]platformmodel.RequestReport, platformmodel.Journal) {
	t.Helper()
	s := startEmulators(t, cfg)
	placerConfig := &platform.Config{Listen: "127.0.0.1:0", Seed: "1", WatchAddress: s.WatchAddress(0), Settings: json.RawMessage(testSettings)}
	placerConfig.Initial.Events = s.InitialEvents(0)
	placer, err := platformserver.Start(platformserver.Options{Config: placerConfig, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(placer.Close)
	s.PlacerStarted(0, placer.Address())
	s.Begin()
	eventually(t, "an outcome of each request", s.Done)
	if err := s.Err(); err != nil {
		t.Error(err)
	}
	return s.Requests(), s.Journal()
}

// runInMemory runs a placer's core with emulators in memory.
func runInMemory(t *testing.T, cfg platformmodel.Config) ([][]platformmodel.RequestReport, platformmodel.Journal) {
	t.Helper()
	info, err := platformconfig.Parse(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platformconfig.ModuleSettings(info)
	if err != nil {
		t.Fatal(err)
	}
	n, err := platformmodel.NewNetwork(platformmodel.NetworkConfig{
		Emulator: cfg, Latency: time.Millisecond, ConnectTimeout: settings.ConnectTimeout, Start: time.Hour,
		Core: func(_, _ int, initial []platform.WatchEvent) platformcore.Config {
			return platformcore.Config{
				Settings: settings, IdleTimeout: platformconfig.Duration(info.Caps.ConnectionIdleTimeout), Seed: 1, InitialEvents: initial,
				Names: platformcore.WireNames{
					Zones: info.Zones, MachineTypes: info.MachineTypeNames, Classes: []string{"safe", "keyed", "unsafe"}, Tenants: []string{"acme"},
				},
				MaxOwnerConnections: 100, MaxHostConnections: 100,
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !n.Run(time.Hour) {
		t.Error("a request has no outcome")
	}
	return n.Emulator.Requests(), *n.Emulator.Journal()
}

// On sockets and in memory the same requests have the same outcomes, though one host of three never answers.
func TestShellsAgree(t *testing.T) {
	silentHost := platformmodel.PartyID{Kind: platformmodel.HostParty, Number: 1}
	cfg := testConfig(platformmodel.Fault{
		Duration: time.Hour, Type: platformmodel.FaultSilent, Target: platformmodel.Target{Kind: silentHost.Kind, Number: silentHost.Number},
	})
	shells := map[string]func(*testing.T, platformmodel.Config) ([][]platformmodel.RequestReport, platformmodel.Journal){
		"sockets": runOnSockets, "memory": runInMemory,
	}
	for name, run := range shells {
		reports, journal := run(t, cfg)
		for i, want := range []platformmodel.Outcome{platformmodel.OutcomeReleased, platformmodel.OutcomeRejected} {
			for _, r := range reports[i] {
				if r.Outcome != want || r.Host == "s-00000002" || r.Unexpected != 0 || len(r.Refs) == 0 {
					t.Errorf("%s: %+v, want %v", name, r, want)
				}
			}
		}
		if !hasRecord(&journal, platformmodel.RecordOpened, silentHost) || hasRecord(&journal, platformmodel.RecordWritten, silentHost) {
			t.Errorf("%s: the silent host was not dialed, or has written", name)
		}
		if journal.Dropped != 0 {
			t.Errorf("%s: %d records are missing", name, journal.Dropped)
		}
	}
}

func hasRecord(j *platformmodel.Journal, event platformmodel.RecordEvent, party platformmodel.PartyID) bool {
	return slices.ContainsFunc(j.Records, func(r platformmodel.Record) bool { return r.Event == event && r.Party == party })
}

// firstHostAddress returns the address at which a placer reaches host 0.
func firstHostAddress(s *Server, placer int) (address string) {
	for _, event := range s.InitialEvents(placer) {
		for _, host := range event.Endpoints.Hosts {
			if host.Name == "s-00000001" {
				address = host.Address
			}
		}
	}
	return address
}

// startWithFault starts emulators with a fault at host 0 that begins at once, and returns the address of the host.
func startWithFault(t *testing.T, fault platformmodel.FaultType, duration time.Duration) (s *Server, address string) {
	t.Helper()
	s = startEmulators(t, testConfig(platformmodel.Fault{
		Duration: duration, Type: fault, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	}))
	return s, firstHostAddress(s, 0)
}

// probe sends a probe to a host on a new connection and returns whether it is answered. A connection that can't be made, or
// on which nothing comes for a while, is an error. The while is short, for probes that are repeated.
func probe(address string) error { return probeFor(address, 300*time.Millisecond) }

// checkAnswers checks that a host answers a probe, however late the machine is.
func checkAnswers(t *testing.T, address string) {
	t.Helper()
	if err := probeFor(address, eventuallyTimeout); err != nil {
		t.Fatal(err)
	}
}

// probeFor sends a probe that waits for a time for its connection, and as long for the answer.
func probeFor(address string, wait time.Duration) error {
	conn, err := net.DialTimeout("tcp", address, wait)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(platform.Append(nil, platform.TypeProbe, "0000000000000001", 0, nil)); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err = conn.Read(make([]byte, 1))
	return err
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isDialTimeout reports whether a connection was not made for a while.
func isDialTimeout(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && operation.Timeout()
}

// Each placer reaches a host at an address of its own, by which the host knows it.
func TestListenersKnowPlacers(t *testing.T) {
	const last = 300 // its address differs from the first one's in more than a byte
	cfg := testConfig()
	cfg.Placers = last + 1
	s := startEmulators(t, cfg)
	for _, placer := range []int{0, 1, last} {
		checkAnswers(t, firstHostAddress(s, placer))
	}
	var placers []int
	for _, r := range s.Journal().Records {
		if r.Event == platformmodel.RecordOpened {
			placers = append(placers, r.Placer)
		}
	}
	if !slices.Equal(placers, []int{0, 1, last}) {
		t.Errorf("connections of the placers %v", placers)
	}
}

// A host that is cut off neither takes connections nor refuses them, until the fault ends.
func TestListenerStopsAccepting(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultZonePartition, 3*time.Second)
	checkAnswers(t, address)
	s.Begin()
	eventually(t, "a dial that nothing answers, or the end of the fault", func() bool {
		err := probe(address)
		if isRefused(err) {
			t.Fatal(err)
		}
		return isDialTimeout(err) || hasEnded(s)
	})
	eventually(t, "an answer", func() bool { return probe(address) == nil })
}

// A host that refuses connections takes them again at its address when the fault ends.
func TestListenerRefuses(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultRefused, 200*time.Millisecond)
	s.Begin()
	eventually(t, "a refused connection or the end of the fault", func() bool {
		return isRefused(probe(address)) || hasEnded(s)
	})
	eventually(t, "an answer", func() bool { return probe(address) == nil })
}

func hasEnded(s *Server) bool {
	journal := s.Journal()
	return hasRecord(&journal, platformmodel.RecordFaultEnded, platformmodel.PartyID{Kind: platformmodel.HostParty})
}

// What a host does not read fills the buffers of the connection, so that its placer can't write on.
func TestConnectionStopsReading(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultNotReading, time.Hour)
	s.Begin()
	eventually(t, "a connection that nobody reads", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return isWriteStalled(conn)
	})
}

// isWriteStalled writes until nothing of a write is taken for a second. It returns false if the connection ends before, or
// if its other end still reads after some writes.
func isWriteStalled(conn net.Conn) bool {
	data := make([]byte, 64<<20)
	for range 10 {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := conn.Write(data)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if n == 0 {
			return true
		}
	}
	return false
}
