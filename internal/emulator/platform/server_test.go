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

// eventuallyTimeout is longer than any condition of these tests takes to become true on a busy machine.
const eventuallyTimeout = time.Minute

// eventually waits until a condition holds. If it does not hold within eventuallyTimeout, the test fails with the
// description of the condition.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %[2]v for %[1]s: not seen, want it within that time", condition, eventuallyTimeout)
		}
	}
}

//go:embed testdata/settings.json
var testSettings []byte

// testConfig returns a platform with three hosts of 6 cores, and 20 placement requests to one placer. Six requests need
// more cores than a host has. The other requests together need all three hosts, and their owner releases them long
// before their tasks would end.
func testConfig(faults ...platformmodel.Fault) platformmodel.Config {
	host := platformmodel.HostConfig{
		Cores: 6, Memory: 16, AnswerTime: platformmodel.Range{Min: time.Millisecond, Max: 5 * time.Millisecond}, MaxQueued: 50,
		RunTime: platformmodel.Range{Min: time.Hour, Max: time.Hour}, NoteInterval: 100 * time.Millisecond,
	}
	classes := []platformmodel.Class{
		{Name: "safe", Effect: forkhead.Safe}, {Name: "keyed", Effect: forkhead.Keyed, DedupWindow: time.Hour}, {Name: "unsafe", Effect: forkhead.Unsafe},
	}
	answerGrace := eventuallyTimeout // long enough that no owner gives up before its placer answers, even on a busy machine
	fitting := platformmodel.OwnerConfig{Number: 1, Tenant: "acme", Classes: classes, MaxSubmissions: 20, AnswerGrace: answerGrace}
	tooLarge := platformmodel.OwnerConfig{Number: 2, Tenant: "acme", Classes: classes, MaxSubmissions: 1, AnswerGrace: answerGrace}
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

// startEmulators starts a Server and stops it when the test ends.
func startEmulators(t *testing.T, cfg platformmodel.Config) *Server {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// runOnSockets runs a placer with a Server until all requests have outcomes.
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
	eventually(t, "outcomes of all requests", s.Done)
	if err := s.Err(); err != nil {
		t.Errorf("Err() after the run = %v, want nil", err)
	}
	return s.Requests(), s.Journal()
}

// runInMemory runs the core of a placer with emulators on an in-memory network until all requests have outcomes.
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
		t.Error("Network.Run(1h) = false, want final outcomes of all requests")
	}
	return n.Emulator.Requests(), *n.Emulator.Journal()
}

// Requests have the same outcomes on sockets and in memory. One of the three hosts never answers, so that the placer
// has to offer the tasks to the other two.
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
					t.Errorf("%s: request of owner %d: got %+v, want outcome %v at another host than s-00000002, with a ref and "+
						"nothing unexpected", name, i+1, r, want)
				}
			}
		}
		if !hasRecord(&journal, platformmodel.RecordOpened, silentHost) || hasRecord(&journal, platformmodel.RecordWritten, silentHost) {
			t.Errorf("%s: journal for the silent host: got RecordOpened %v, RecordWritten %v, want true, false", name,
				hasRecord(&journal, platformmodel.RecordOpened, silentHost), hasRecord(&journal, platformmodel.RecordWritten, silentHost))
		}
		if journal.Dropped != 0 {
			t.Errorf("%s: journal.Dropped = %d, want 0", name, journal.Dropped)
		}
	}
}

func hasRecord(j *platformmodel.Journal, event platformmodel.RecordEvent, party platformmodel.PartyID) bool {
	return slices.ContainsFunc(j.Records, func(r platformmodel.Record) bool { return r.Event == event && r.Party == party })
}

// firstHostAddress returns the address at which a placer connects to host 0, whose name is s-00000001.
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

// startWithFault starts a Server with a fault of host 0 that begins with the run, and returns placer 0's address of the
// host.
func startWithFault(t *testing.T, fault platformmodel.FaultType, duration time.Duration) (s *Server, address string) {
	t.Helper()
	s = startEmulators(t, testConfig(platformmodel.Fault{
		Duration: duration, Type: fault, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	}))
	return s, firstHostAddress(s, 0)
}

// probeBriefly is probeFor with a short timeout. It is for conditions of eventually, which are checked repeatedly.
func probeBriefly(address string) error { return probeFor(address, 300*time.Millisecond) }

// checkHostAnswers checks that a host answers a probe within eventuallyTimeout.
func checkHostAnswers(t *testing.T, address string) {
	t.Helper()
	if err := probeFor(address, eventuallyTimeout); err != nil {
		t.Fatalf("probe of the host at %s: error %v, want an answer", address, err)
	}
}

// probeFor sends a probe to a host on a new connection. It returns an error if connecting takes longer than timeout, or
// if the first byte of the answer takes longer.
func probeFor(address string, timeout time.Duration) error {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(platform.Append(nil, platform.TypeProbe, "0000000000000001", 0, nil)); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// isRefused reports whether err means that a connection was refused.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isDialTimeout reports whether err is the timeout of a connection attempt.
func isDialTimeout(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && operation.Timeout()
}

// Each placer connects to a host at an address of its own, from which the host derives the number of the placer.
func TestListenerIdentifiesPlacerByAddress(t *testing.T) {
	const last = 300 // the address of this placer differs from the first one's in more than one byte
	cfg := testConfig()
	cfg.Placers = last + 1
	s := startEmulators(t, cfg)
	for _, placer := range []int{0, 1, last} {
		checkHostAnswers(t, firstHostAddress(s, placer))
	}
	var placers []int
	for _, r := range s.Journal().Records {
		if r.Event == platformmodel.RecordOpened {
			placers = append(placers, r.Placer)
		}
	}
	if !slices.Equal(placers, []int{0, 1, last}) {
		t.Errorf("placers of the opened connections in the journal = %v, want %v", placers, []int{0, 1, last})
	}
}

// During a zone partition, a host neither accepts connections nor refuses them. It accepts them again after the fault.
func TestListenerIgnoresConnectionAttemptsDuringZonePartition(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultZonePartition, 3*time.Second)
	checkHostAnswers(t, address)
	s.Begin()
	eventually(t, "timeout of a connection attempt, or end of the fault", func() bool {
		err := probeBriefly(address)
		if isRefused(err) {
			t.Fatalf("connecting to the host during the partition: error %v, want a timeout", err)
		}
		return isDialTimeout(err) || hasFaultEnded(s)
	})
	eventually(t, "answer of the host after the fault", func() bool { return probeBriefly(address) == nil })
}

// During FaultRefused, a host refuses connections. It accepts them again at the same address after the fault.
func TestListenerRefusesConnectionsUntilEndOfFault(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultRefused, 200*time.Millisecond)
	s.Begin()
	eventually(t, "refused connection, or end of the fault", func() bool {
		return isRefused(probeBriefly(address)) || hasFaultEnded(s)
	})
	eventually(t, "answer of the host after the fault", func() bool { return probeBriefly(address) == nil })
}

// hasFaultEnded reports whether the journal contains the end of a fault of host 0.
func hasFaultEnded(s *Server) bool {
	journal := s.Journal()
	return hasRecord(&journal, platformmodel.RecordFaultEnded, platformmodel.PartyID{Kind: platformmodel.HostParty})
}

// During FaultNotReading, a host does not read, so that the buffers of the connection fill up and its placer cannot write.
func TestConnectionBlocksWritesWhileHostDoesNotRead(t *testing.T) {
	s, address := startWithFault(t, platformmodel.FaultNotReading, time.Hour)
	s.Begin()
	eventually(t, "connection on which writes stall", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return isWriteStalled(conn)
	})
}

// isWriteStalled writes to a connection and reports whether a write makes no progress within a second. It returns false
// if a write completes, if a write fails with another error, or if each of 10 writes makes progress.
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
