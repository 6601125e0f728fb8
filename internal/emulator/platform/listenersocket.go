package platform

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

const (
	listenBacklog = 1024
	acceptBackoff = 20 * time.Millisecond
	fillTimeout   = 2 * time.Second // timeout of the connection that fills the accept queue
)

// listenerSocket accepts the connections of one placer. After stopAccepting it neither accepts nor refuses them: its
// accept queue has room for one connection, which the filler connection occupies, so that the kernel drops further
// connection attempts. If a connection of the placer occupies the queue before the filler does, the placer's connection
// is open, but nothing is received on it.
type listenerSocket struct {
	server *Server
	id     platformmodel.ListenerID
	placer int
	socket *net.TCPListener

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond // uses mu; signaled by close and resumeAccepting
	stopped bool       // after stopAccepting, until resumeAccepting
	closed  bool
	filler  net.Conn // the connection that fills the accept queue; nil: none
}

// newListenerSocket returns a listenerSocket and starts to accept connections.
func newListenerSocket(s *Server, id platformmodel.ListenerID, placer int, socket *net.TCPListener) *listenerSocket {
	l := &listenerSocket{server: s, id: id, placer: placer, socket: socket}
	l.changed = sync.NewCond(&l.mu)
	s.goroutines.Go(l.accept)
	return l
}

// close closes the socket, so that connection attempts are refused.
func (l *listenerSocket) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.socket.Close()
	l.closeFillerLocked()
	l.changed.Broadcast()
}

// stopAccepting makes the socket ignore connection attempts: they are neither accepted nor refused.
func (l *listenerSocket) stopAccepting() {
	l.mu.Lock()
	l.stopped = true
	_ = l.socket.SetDeadline(time.Now()) // interrupts a blocked Accept
	l.mu.Unlock()
	l.setBacklog(0)
	l.server.goroutines.Go(l.fillAcceptQueue)
}

// fillAcceptQueue occupies the only place in the accept queue with a connection from fillerIP.
func (l *listenerSocket) fillAcceptQueue() {
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(fillerIP, 0))}
	conn, err := dialer.Dial("tcp4", l.socket.Addr().String())
	if err != nil {
		return // a connection of the placer already fills the queue
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeFillerLocked()
	l.filler = conn
	if !l.stopped || l.closed {
		l.closeFillerLocked()
	}
}

// closeFillerLocked closes the filler connection, if there is one. mu must be held.
func (l *listenerSocket) closeFillerLocked() {
	if l.filler != nil {
		_ = l.filler.Close()
		l.filler = nil
	}
}

// resumeAccepting makes the socket accept connections again.
func (l *listenerSocket) resumeAccepting() {
	l.setBacklog(listenBacklog)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = false
	l.closeFillerLocked()
	_ = l.socket.SetDeadline(time.Time{})
	l.changed.Broadcast()
}

// setBacklog changes the length of the accept queue. With 0, it has room for one connection.
func (l *listenerSocket) setBacklog(connections int) {
	raw, err := l.socket.SyscallConn()
	if err == nil {
		var listenErr error
		err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
		err = errors.Join(err, listenErr)
	}
	if err != nil {
		l.server.recordError(fmt.Errorf("set accept queue of %s to %d: %w", l.socket.Addr(), connections, err))
	}
}

// waitToAccept blocks while the socket is stopped. It returns false if the socket is closed.
func (l *listenerSocket) waitToAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stopped && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}

// isFiller reports whether a connection is the filler of an accept queue.
func isFiller(socket net.Conn) bool {
	return addrPort(socket.RemoteAddr()).Addr() == fillerIP
}

// accept accepts connections until the socket is closed.
func (l *listenerSocket) accept() {
	for l.waitToAccept() {
		socket, err := l.socket.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptBackoff) // the process may have run out of file descriptors
		case isFiller(socket):
			_ = socket.Close()
		default:
			l.postAccepted(socket)
		}
	}
}

// postAccepted passes an accepted connection to the Emulator.
func (l *listenerSocket) postAccepted(socket net.Conn) {
	posted := l.server.loop.PostBlocking(func() {
		id := l.server.emulator.NewConnID()
		l.server.addConnection(id, socket)
		l.server.addInput(platformmodel.Accepted{Listener: l.id, Conn: id, Placer: l.placer})
	})
	if !posted {
		_ = socket.Close()
	}
}
