package platform

import (
	"errors"
	"fmt"
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
	address   netip.AddrPort // local address
	listening bool
}

// processSockets returns the TCP sockets among this process's file descriptors.
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
		if socket, ok := tcpSocketOf(fd); ok {
			sockets = append(sockets, socket)
		}
	}
	return sockets
}

// tcpSocketOf returns the TCP socket of a file descriptor. ok is false if the descriptor does not belong to a TCP
// socket, if the socket is not bound yet (before it connects, it has port 0), or if it has been closed in the meantime.
func tcpSocketOf(fd int) (socket processSocket, ok bool) {
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

// checkLoopbackOnly checks that the local addresses of all TCP sockets of this process are in 127.0.0.0/8, and returns
// the number of listening sockets.
func checkLoopbackOnly(t *testing.T) (listening int) {
	t.Helper()
	loopback := netip.MustParsePrefix("127.0.0.0/8")
	for _, socket := range processSockets(t) {
		if !loopback.Contains(socket.address.Addr()) {
			t.Errorf("local address of a socket (listening: %t) = %s, want an address in %s", socket.listening, socket.address, loopback)
		}
		if socket.listening {
			listening++
		}
	}
	return listening
}

// No socket may be reachable from outside the machine. This is checked before, during and after three faults: one
// closes listeners and opens them again, one fills accept queues, and one moves a host to another address.
func TestServerUsesOnlyLoopbackSocketsDuringFaults(t *testing.T) {
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
			listeners := len(cfg.Hosts) + 1 // one for each host and one for the endpoint log
			if n := checkLoopbackOnly(t) - before; n != listeners*cfg.Placers {
				t.Errorf("number of listening sockets after Start = %d, want %d for each of %d placers", n, listeners, cfg.Placers)
			}
			for placer := range cfg.Placers {
				checkHostAnswers(t, firstHostAddress(s, placer))
			}
			s.Begin()
			eventually(t, "end of the fault", func() bool {
				checkLoopbackOnly(t)
				return hasFaultEnded(s)
			})
			for placer := range cfg.Placers {
				eventually(t, fmt.Sprintf("answer of host 0 to placer %d after the fault", placer), func() bool {
					return probeBriefly(firstHostAddress(s, placer)) == nil
				})
			}
			checkLoopbackOnly(t)
		})
	}
}

// FaultRefused has to close the sockets of all placers.
func TestServerRefusesConnectionsOfAllPlacers(t *testing.T) {
	cfg := testConfig(platformmodel.Fault{
		Duration: time.Hour, Type: platformmodel.FaultRefused, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	})
	cfg.Placers = 3
	s := startEmulators(t, cfg)
	s.Begin()
	for placer := range cfg.Placers {
		address := firstHostAddress(s, placer)
		eventually(t, fmt.Sprintf("refused connection of placer %d", placer), func() bool { return isRefused(probeBriefly(address)) })
	}
}

// A host in a partitioned zone has to ignore the connection attempts of all placers, without refusing them.
func TestServerIgnoresConnectionAttemptsOfAllPlacersDuringZonePartition(t *testing.T) {
	cfg := testConfig(platformmodel.Fault{
		Duration: time.Hour, Type: platformmodel.FaultZonePartition, Target: platformmodel.Target{Kind: platformmodel.HostParty},
	})
	cfg.Placers = 3
	s := startEmulators(t, cfg)
	s.Begin()
	for placer := range cfg.Placers {
		address := firstHostAddress(s, placer)
		eventually(t, fmt.Sprintf("timeout of a connection attempt of placer %d", placer), func() bool {
			err := probeBriefly(address)
			if isRefused(err) {
				t.Fatalf("connecting placer %d during the partition: error %v, want a timeout", placer, err)
			}
			return isDialTimeout(err)
		})
	}
}

// If the port is in use at the address of one placer, listenForPlacers fails and closes the sockets that it has opened
// at the addresses of other placers.
func TestListenForPlacersClosesSocketsIfPortIsInUse(t *testing.T) {
	taken, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(placerIP(2), 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	port := addrPort(taken.Addr()).Port()
	if _, err := listenForPlacers(3, netip.AddrPortFrom(firstPlacerIP, port).String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listenForPlacers(3, port in use at the third address): error %v, want %v", err, syscall.EADDRINUSE)
	}
	for _, socket := range processSockets(t) {
		if socket.listening && socket.address.Port() == port && socket.address.Addr() != placerIP(2) {
			t.Errorf("after listenForPlacers failed: a socket listens on %s, want none on port %d but the test's", socket.address, port)
		}
	}
}

// The addresses of placers must not include the address of filler connections, so Start limits the number of placers.
func TestStartFailsWithMorePlacersThanAddresses(t *testing.T) {
	if last := placerIP(maxPlacers - 1); !last.Less(fillerIP) {
		t.Errorf("placerIP(maxPlacers-1) = %s, want an address below %s", last, fillerIP)
	}
	cfg := testConfig()
	cfg.Placers = maxPlacers + 1
	if s, err := Start(cfg); err == nil {
		s.Stop()
		t.Errorf("Start with %d placers succeeded, want an error", cfg.Placers)
	}
}
