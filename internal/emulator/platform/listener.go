package platform

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

const (
	maxListenRetries = 50
	listenBackoff    = 20 * time.Millisecond
)

// listener is a listener of the Emulator. It has a socket for each placer, at that placer's address. All sockets have
// the same port.
type listener struct {
	sockets []*listenerSocket // indexed by placer
}

// openListener opens a listener at an address, or at a free port if the address is empty. It retries for a while,
// because the address of a closed listener may remain in use.
func (s *Server) openListener(o platformmodel.OpenListener) {
	sockets, err := listenForPlacers(s.placerCount, o.Address)
	for retries := 0; retries < maxListenRetries && errors.Is(err, syscall.EADDRINUSE); retries++ {
		time.Sleep(listenBackoff)
		sockets, err = listenForPlacers(s.placerCount, o.Address)
	}
	if err != nil {
		s.recordError(fmt.Errorf("open emulator listener %q: %w", o.Address, err))
		return
	}
	l := &listener{}
	for placer, socket := range sockets {
		l.sockets = append(l.sockets, newListenerSocket(s, o.Listener, placer, socket))
	}
	s.listeners[o.Listener] = l
	s.addInput(platformmodel.ListenerOpened{Listener: o.Listener, Address: sockets[0].Addr().String()})
}

// listenForPlacers opens a socket for each placer at the port of an address. If the address is empty, the kernel chooses
// a new port at each call. The error is syscall.EADDRINUSE if the port is in use at the address of a placer. After an
// error, no socket is left open.
func listenForPlacers(placers int, address string) ([]*net.TCPListener, error) {
	var port uint16
	if address != "" {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		port = parsed.Port()
	}
	var sockets []*net.TCPListener
	for placer := range placers {
		socket, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(placerIP(placer), port)))
		if err != nil {
			for _, open := range sockets {
				_ = open.Close()
			}
			return nil, err
		}
		sockets = append(sockets, socket)
		port = addrPort(socket.Addr()).Port()
	}
	return sockets, nil
}

// close closes the sockets, so that connection attempts are refused.
func (l *listener) close() {
	for _, socket := range l.sockets {
		socket.close()
	}
}

// stopAccepting makes the sockets ignore connection attempts: they are neither accepted nor refused.
func (l *listener) stopAccepting() {
	for _, socket := range l.sockets {
		socket.stopAccepting()
	}
}

// resumeAccepting makes the sockets accept connections again.
func (l *listener) resumeAccepting() {
	for _, socket := range l.sockets {
		socket.resumeAccepting()
	}
}
