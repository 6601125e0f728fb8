package netio

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Bounds of awaitPollers.
const (
	maxPollerProbes    = 64
	pollerProbeTimeout = 5 * time.Second // limit of the wait for one probe
)

// awaitPollers waits until every poller has delivered data, so that nbio can be stopped. It works around a race in nbio
// 1.6.8: readWriteLoop sets shutdown to false when it begins. A poller that is stopped before its goroutine has reached
// that line misses the stop and spins, and nbio's Stop waits for it forever.
//
// Stop calls awaitPollers, rather than New, since by then only pollers that have not delivered data need a probe. The
// platform that a placer runs on may not provide the Unix sockets that a probe uses.
func (e *Engine) awaitPollers() error {
	var opened []func()
	defer func() {
		for _, release := range opened {
			release()
		}
	}()
	for probe := 0; !e.allDelivered(); probe++ {
		if probe == maxPollerProbes {
			return fmt.Errorf("netio: a poller has no data after %d probes", maxPollerProbes)
		}
		out, in, err := e.socketPair()
		if err != nil {
			return fmt.Errorf("netio: open a socket pair: %w", err)
		}
		opened = append(opened, func() { _ = out.Close() })
		// A socket's descriptor number selects the socket's poller. One more open descriptor shifts the numbers of the
		// next sockets, so that they reach other pollers.
		if probe%2 == 1 {
			if descriptor, err := syscall.Dup(0); err == nil {
				opened = append(opened, func() { _ = syscall.Close(descriptor) })
			}
		}
		if err := e.probePoller(out, in); err != nil {
			return err
		}
	}
	return nil
}

// allDelivered reports whether every poller has delivered data.
func (e *Engine) allDelivered() bool {
	for i := range e.delivered {
		if !e.delivered[i].Load() {
			return false
		}
	}
	return true
}

// probePoller adds one end of a socket pair, the parameter in, to its poller. It writes a byte to the other end, the
// parameter out, and waits until the poller delivers the byte.
func (e *Engine) probePoller(out, in net.Conn) error {
	raw, err := nbio.NBConn(in)
	if err != nil {
		return fmt.Errorf("netio: wrap a socket of a pair: %w", err)
	}
	probe := pollerProbe{received: make(chan struct{}, 1)}
	raw.SetSession(&Conn{raw: raw, attached: true, handler: probe})
	e.fence.Add(1)
	if _, err := e.poller.AddConn(raw); err != nil {
		return fmt.Errorf("netio: add a socket of a pair to its poller: %w", err)
	}
	if _, err := out.Write([]byte{1}); err != nil {
		return fmt.Errorf("netio: write to a socket pair: %w", err)
	}
	select {
	case <-probe.received:
		return nil
	case <-time.After(pollerProbeTimeout):
		return fmt.Errorf("netio: a poller did not deliver data within %v", pollerProbeTimeout)
	}
}

// pollerProbe is a Handler that reports its first data and closes the connection.
type pollerProbe struct {
	received chan struct{} // gets one report; buffered, so that Data does not wait
}

// Data reports that data was received and closes the connection.
func (p pollerProbe) Data(c *Conn, _ []byte) {
	p.received <- struct{}{}
	c.Close()
}

// Closed does nothing.
func (pollerProbe) Closed(*Conn, error) {}

// socketPair returns the two ends of a stream. The ends are Unix sockets, since a TCP pair would need a listener, and a
// placer may only listen at its configured address.
func socketPair() (net.Conn, net.Conn, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		ends[i], err = net.FileConn(f) // duplicates the descriptor
		_ = f.Close()
		if err != nil {
			return nil, nil, err
		}
	}
	return ends[0], ends[1], nil
}
