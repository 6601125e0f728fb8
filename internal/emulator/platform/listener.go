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
	listenRetryAfter = 20 * time.Millisecond
)

// listener is a listener of the Emulator: a socket for each placer, at that placer's address. All have the same port.
type listener struct {
	sockets []*listenerSocket // by placer
}

// openListener listens at an address, or at any that is free. The address of a listener that was closed may be taken for a
// while.
func (s *Server) openListener(o platformmodel.OpenListener) {
	sockets, err := listenForPlacers(s.numberOfPlacers, o.Address)
	for retries := 0; retries < maxListenRetries && errors.Is(err, syscall.EADDRINUSE); retries++ {
		time.Sleep(listenRetryAfter)
		sockets, err = listenForPlacers(s.numberOfPlacers, o.Address)
	}
	if err != nil {
		s.fail(fmt.Errorf("listen for an emulator: %w", err))
		return
	}
	l := &listener{}
	for placer, socket := range sockets {
		l.sockets = append(l.sockets, newListenerSocket(s, o.Listener, placer, socket))
	}
	s.listeners[o.Listener] = l
	s.add(platformmodel.ListenerOpened{Listener: o.Listener, Address: sockets[0].Addr().String()})
}

// listenForPlacers opens a socket for each placer at the port of an address; "": at one that the kernel chooses, another one
// each time. The error is syscall.EADDRINUSE if the port is taken at the address of a placer; no socket is left open then.
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

// close refuses further connections.
func (l *listener) close() {
	for _, socket := range l.sockets {
		socket.close()
	}
}

// stopAccepting lets connections neither be made nor be refused.
func (l *listener) stopAccepting() {
	for _, socket := range l.sockets {
		socket.stopAccepting()
	}
}

// resumeAccepting accepts connections again.
func (l *listener) resumeAccepting() {
	for _, socket := range l.sockets {
		socket.resumeAccepting()
	}
}
