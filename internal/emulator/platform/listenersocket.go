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
	listenBacklog    = 1024
	acceptRetryAfter = 20 * time.Millisecond
	fillTimeout      = 2 * time.Second // of the connection that fills the accept queue
)

// listenerSocket accepts connections of one placer. One that is stopped neither accepts nor refuses them: its accept queue
// has room for one connection, which is taken by one of its own, so that the kernel drops what would make another. A placer
// whose connection gets ahead of that one has an open connection on which nothing comes.
type listenerSocket struct {
	server *Server
	id     platformmodel.ListenerID
	placer int
	socket *net.TCPListener

	mu      sync.Mutex // guards what follows
	changed *sync.Cond // on mu
	stopped bool
	closed  bool
	filler  net.Conn // fills the accept queue; nil: none does
}

// newListenerSocket accepts connections at a socket from now on.
func newListenerSocket(s *Server, id platformmodel.ListenerID, placer int, socket *net.TCPListener) *listenerSocket {
	l := &listenerSocket{server: s, id: id, placer: placer, socket: socket}
	l.changed = sync.NewCond(&l.mu)
	s.goroutines.Go(l.accept)
	return l
}

// close refuses further connections.
func (l *listenerSocket) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.socket.Close()
	l.dropFiller()
	l.changed.Broadcast()
}

// stopAccepting lets connections neither be made nor be refused.
func (l *listenerSocket) stopAccepting() {
	l.mu.Lock()
	l.stopped = true
	_ = l.socket.SetDeadline(time.Now()) // ends the accept that waits
	l.mu.Unlock()
	l.setBacklog(0)
	l.server.goroutines.Go(l.fill)
}

// fill takes the only place in the accept queue.
func (l *listenerSocket) fill() {
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(fillerIP, 0))}
	conn, err := dialer.Dial("tcp4", l.socket.Addr().String())
	if err != nil {
		return // a connection of a placer has taken it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropFiller()
	l.filler = conn
	if !l.stopped || l.closed {
		l.dropFiller()
	}
}

// dropFiller is called with mu held.
func (l *listenerSocket) dropFiller() {
	if l.filler != nil {
		_ = l.filler.Close()
		l.filler = nil
	}
}

// resumeAccepting accepts connections again.
func (l *listenerSocket) resumeAccepting() {
	l.setBacklog(listenBacklog)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = false
	l.dropFiller()
	_ = l.socket.SetDeadline(time.Time{})
	l.changed.Broadcast()
}

// setBacklog changes how many connections wait to be accepted: with 0, one.
func (l *listenerSocket) setBacklog(connections int) {
	raw, err := l.socket.SyscallConn()
	if err == nil {
		var listenErr error
		err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
		err = errors.Join(err, listenErr)
	}
	if err != nil {
		l.server.fail(fmt.Errorf("change an accept queue: %w", err))
	}
}

// mayAccept waits while the socket is stopped. It returns false when it is closed.
func (l *listenerSocket) mayAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stopped && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}

// isFiller reports whether a connection is one that fills an accept queue.
func isFiller(socket net.Conn) bool {
	return addrPort(socket.RemoteAddr()).Addr() == fillerIP
}

// accept accepts connections until the socket is closed.
func (l *listenerSocket) accept() {
	for l.mayAccept() {
		socket, err := l.socket.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryAfter) // descriptors may have run out
		case isFiller(socket):
			_ = socket.Close()
		default:
			l.accepted(socket)
		}
	}
}

// accepted hands a connection to the Emulator.
func (l *listenerSocket) accepted(socket net.Conn) {
	posted := l.server.loop.PostBlocking(func() {
		id := l.server.emulator.NewConnID()
		l.server.addConnection(id, socket)
		l.server.add(platformmodel.Accepted{Listener: l.id, Conn: id, Placer: l.placer})
	})
	if !posted {
		_ = socket.Close()
	}
}
