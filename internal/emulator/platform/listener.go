package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

const (
	listenBacklog    = 1024
	maxListenRetries = 50
	listenRetryAfter = 20 * time.Millisecond
	fillTimeout      = 2 * time.Second // of the connection that fills the accept queue
)

// fillerIP is where connections come from that fill an accept queue: an address of the loopback that nobody else uses.
var fillerIP = net.IPv4(127, 0, 0, 113)

// listener accepts connections of placers. One that is stopped neither accepts nor refuses them: its accept queue has room
// for one connection, which is taken by one of its own, so that the kernel drops what would make another. A placer whose
// connection gets ahead of that one has an open connection on which nothing comes.
type listener struct {
	server *Server
	id     platformmodel.ListenerID
	socket *net.TCPListener

	mu      sync.Mutex // guards what follows
	changed *sync.Cond // on mu
	stopped bool
	closed  bool
	filler  net.Conn // fills the accept queue; nil: none does
}

// openListener listens at an address. That of a listener that was closed may be taken for a while.
func (s *Server) openListener(o platformmodel.OpenListener) {
	s.tryListen(o, maxListenRetries)
}

func (s *Server) tryListen(o platformmodel.OpenListener, retries int) {
	address := o.Address
	if address == "" {
		address = anyAddress
	}
	socket, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		l := &listener{server: s, id: o.Listener, socket: socket.(*net.TCPListener)}
		l.changed = sync.NewCond(&l.mu)
		s.listeners[o.Listener] = l
		s.goroutines.Go(l.accept)
		s.add(platformmodel.ListenerOpened{Listener: o.Listener, Address: socket.Addr().String()})
	case retries > 0 && errors.Is(err, syscall.EADDRINUSE):
		time.Sleep(listenRetryAfter)
		s.tryListen(o, retries-1)
	default:
		s.fail(fmt.Errorf("listen for an emulator: %w", err))
	}
}

// fail notes an error that spoils the run.
func (s *Server) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// close refuses further connections.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.socket.Close()
	l.dropFiller()
	l.changed.Broadcast()
}

// stopAccepting lets connections neither be made nor be refused.
func (l *listener) stopAccepting() {
	l.mu.Lock()
	l.stopped = true
	_ = l.socket.SetDeadline(time.Now()) // ends the accept that waits
	l.mu.Unlock()
	l.setBacklog(0)
	l.server.goroutines.Go(l.fill)
}

// fill takes the only place in the accept queue.
func (l *listener) fill() {
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: &net.TCPAddr{IP: fillerIP}}
	conn, err := dialer.Dial("tcp", l.socket.Addr().String())
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
func (l *listener) dropFiller() {
	if l.filler != nil {
		_ = l.filler.Close()
		l.filler = nil
	}
}

// resumeAccepting accepts connections again.
func (l *listener) resumeAccepting() {
	l.setBacklog(listenBacklog)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = false
	l.dropFiller()
	_ = l.socket.SetDeadline(time.Time{})
	l.changed.Broadcast()
}

// setBacklog changes how many connections wait to be accepted: with 0, one.
func (l *listener) setBacklog(connections int) {
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

// mayAccept waits while the listener is stopped. It returns false when it is closed.
func (l *listener) mayAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stopped && !l.closed {
		l.changed.Wait()
	}
	return !l.closed
}

// isFiller reports whether a connection is a listener's own.
func isFiller(socket net.Conn) bool {
	remote, ok := socket.RemoteAddr().(*net.TCPAddr)
	return ok && remote.IP.Equal(fillerIP)
}

// accept accepts connections until the listener is closed.
func (l *listener) accept() {
	for l.mayAccept() {
		socket, err := l.socket.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(listenRetryAfter) // descriptors may have run out
		case isFiller(socket):
			_ = socket.Close()
		default:
			l.accepted(socket)
		}
	}
}

// accepted hands a connection to the Emulator.
func (l *listener) accepted(socket net.Conn) {
	remote, _, _ := net.SplitHostPort(socket.RemoteAddr().String())
	posted := l.server.loop.PostBlocking(func() {
		id := l.server.emulator.NewConnID()
		l.server.addConnection(id, socket)
		l.server.add(platformmodel.Accepted{Listener: l.id, Conn: id, Remote: remote})
	})
	if !posted {
		_ = socket.Close()
	}
}
