package platform

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

// processSocket is a TCP socket of this process.
type processSocket struct {
	address   netip.AddrPort // its own
	listening bool
}

// processSockets returns all TCP sockets of this process, as the kernel knows them.
func processSockets(t *testing.T) (sockets []processSocket) {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		if socket, ok := processSocketOf(fd); ok {
			sockets = append(sockets, socket)
		}
	}
	return sockets
}

// processSocketOf returns the TCP socket of a descriptor; ok is false if it is none, is not bound yet (port 0: one that is
// about to connect), or was closed meanwhile.
func processSocketOf(fd int) (socket processSocket, ok bool) {
	if kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE); err != nil || kind != syscall.SOCK_STREAM {
		return processSocket{}, false
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		return processSocket{}, false
	}
	switch a := address.(type) {
	case *syscall.SockaddrInet4:
		socket.address = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		socket.address = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	default:
		return processSocket{}, false
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	socket.listening = listening != 0
	return socket, err == nil && socket.address.Port() != 0
}

// checkLoopbackOnly checks that no socket of this process has an address of its own outside of 127.0.0.0/8, and returns how
// many listen.
func checkLoopbackOnly(t *testing.T) (listening int) {
	t.Helper()
	loopback := netip.MustParsePrefix("127.0.0.0/8")
	for _, socket := range processSockets(t) {
		if !loopback.Contains(socket.address.Addr()) {
			t.Errorf("a socket (listening: %t) is bound to %s", socket.listening, socket.address)
		}
		if socket.listening {
			listening++
		}
	}
	return listening
}

// No socket is reachable from outside the machine: before, during and after a fault that closes listeners and opens them
// again, of one that fills accept queues, and of one that moves a host to another address.
func TestSocketsAreOnLoopback(t *testing.T) {
	faults := map[string]platformmodel.FaultType{
		"refused": platformmodel.FaultRefused, "zone partition": platformmodel.FaultZonePartition, "readdressed": platformmodel.FaultHostReaddressed,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			before := checkLoopbackOnly(t)
			cfg := testConfig(platformmodel.Fault{
				Duration: 200 * time.Millisecond, Type: fault, Target: platformmodel.Target{Kind: platformmodel.HostParty},
			})
			cfg.Placers = 3
			s := startEmulators(t, cfg)
			listeners := len(cfg.Hosts) + 1 // the endpoint log's
			if n := checkLoopbackOnly(t) - before; n != listeners*cfg.Placers {
				t.Errorf("%d sockets listen, want %d for each of %d placers", n, listeners, cfg.Placers)
			}
			for placer := range cfg.Placers {
				checkAnswers(t, firstHostAddress(s, placer))
			}
			s.Begin()
			eventually(t, "the end of the fault", func() bool {
				checkLoopbackOnly(t)
				return hasEnded(s)
			})
			for placer := range cfg.Placers {
				eventually(t, "an answer", func() bool { return probe(firstHostAddress(s, placer)) == nil })
			}
			checkLoopbackOnly(t)
		})
	}
}

// A fault befalls the sockets of all placers.
func TestAllPlacersAreRefused(t *testing.T) {
	cfg := testConfig(platformmodel.Fault{
		Duration: time.Hour, Type: platformmodel.FaultRefused, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	})
	cfg.Placers = 3
	s := startEmulators(t, cfg)
	s.Begin()
	for placer := range cfg.Placers {
		address := firstHostAddress(s, placer)
		eventually(t, "a refused connection", func() bool { return isRefused(probe(address)) })
	}
}

// No placer's connection is made or refused at a host that is cut off.
func TestAllPlacersAreCutOff(t *testing.T) {
	cfg := testConfig(platformmodel.Fault{
		Duration: time.Hour, Type: platformmodel.FaultZonePartition, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	})
	cfg.Placers = 3
	s := startEmulators(t, cfg)
	s.Begin()
	for placer := range cfg.Placers {
		address := firstHostAddress(s, placer)
		eventually(t, "a dial that nothing answers", func() bool {
			err := probe(address)
			if isRefused(err) {
				t.Fatal(err)
			}
			return isDialTimeout(err)
		})
	}
}

// A port that is taken at the address of one placer is given up at all of them.
func TestListenForPlacersAtTakenPort(t *testing.T) {
	taken, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(placerIP(2), 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	port := addrPort(taken.Addr()).Port()
	if _, err := listenForPlacers(3, netip.AddrPortFrom(firstPlacerIP, port).String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("error %v, want %v", err, syscall.EADDRINUSE)
	}
	for _, socket := range processSockets(t) {
		if socket.listening && socket.address.Port() == port && socket.address.Addr() != placerIP(2) {
			t.Errorf("a socket still listens at %s", socket.address)
		}
	}
}

// More placers than there are addresses are an error.
func TestStartBoundsPlacers(t *testing.T) {
	if last := placerIP(maxPlacers - 1); !last.Less(fillerIP) {
		t.Errorf("the last placer's address is %s", last)
	}
	cfg := testConfig()
	cfg.Placers = maxPlacers + 1
	if s, err := Start(cfg); err == nil {
		s.Stop()
		t.Error("no error")
	}
}
