package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
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

// Addresses of the loopback. Each placer reaches the listeners at one of its own, so that they know which placer has
// connected: placer 0 at the first, placer 1 at the next.
var (
	firstPlacerIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	lastPlacerIP  = netip.AddrFrom4([4]byte{127, 0, 255, 254})
	fillerIP      = netip.AddrFrom4([4]byte{127, 1, 0, 1}) // where connections come from that fill an accept queue
)

// placerIP returns the address at which a placer reaches all listeners.
func placerIP(placer int) netip.Addr {
	ip := firstPlacerIP.As4()
	number := binary.BigEndian.Uint32(ip[:]) + uint32(placer)
	binary.BigEndian.PutUint32(ip[:], number)
	return netip.AddrFrom4(ip)
}

// placerAt returns the placer that reaches listeners at an address; ok is false if none does.
func placerAt(ip netip.Addr) (placer int, ok bool) {
	if ip.Less(firstPlacerIP) || lastPlacerIP.Less(ip) {
		return 0, false
	}
	first, own := firstPlacerIP.As4(), ip.As4()
	return int(binary.BigEndian.Uint32(own[:]) - binary.BigEndian.Uint32(first[:])), true
}

// addressFor returns the address at which a placer reaches a listener.
func addressFor(placer int, address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(placerIP(placer).String(), port)
}

// loopbackAddress returns the address at which the first placer reaches a listener's socket.
func loopbackAddress(socket net.Addr) string {
	return netip.AddrPortFrom(firstPlacerIP, addrPort(socket).Port()).String()
}

// addrPort returns the address of a TCP socket.
func addrPort(address net.Addr) netip.AddrPort {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}

// listener accepts connections of placers, at all addresses of the loopback. One that is stopped neither accepts nor refuses them: its accept queue has room
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
	s.listenWithRetries(o, maxListenRetries)
}

func (s *Server) listenWithRetries(o platformmodel.OpenListener, retries int) {
	address := ":0"
	if o.Address != "" {
		address = o.Address[strings.LastIndexByte(o.Address, ':'):] // its port, at all addresses
	}
	socket, err := net.Listen("tcp4", address)
	switch {
	case err == nil:
		l := &listener{server: s, id: o.Listener, socket: socket.(*net.TCPListener)}
		l.changed = sync.NewCond(&l.mu)
		s.listeners[o.Listener] = l
		s.goroutines.Go(l.accept)
		s.add(platformmodel.ListenerOpened{Listener: o.Listener, Address: loopbackAddress(socket.Addr())})
	case retries > 0 && errors.Is(err, syscall.EADDRINUSE):
		time.Sleep(listenRetryAfter)
		s.listenWithRetries(o, retries-1)
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
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(fillerIP, 0))}
	conn, err := dialer.Dial("tcp4", loopbackAddress(l.socket.Addr()))
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
	return addrPort(socket.RemoteAddr()).Addr() == fillerIP
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
	placer, ok := placerAt(addrPort(socket.LocalAddr()).Addr())
	if !ok || !addrPort(socket.RemoteAddr()).Addr().IsLoopback() { // from outside this machine
		_ = socket.Close()
		return
	}
	posted := l.server.loop.PostBlocking(func() {
		id := l.server.emulator.NewConnID()
		l.server.addConnection(id, socket)
		l.server.add(platformmodel.Accepted{Listener: l.id, Conn: id, Placer: placer})
	})
	if !posted {
		_ = socket.Close()
	}
}
