package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// How long awaitPollers goes on.
const (
	maxPollerProbes  = 64
	pollerProbeLimit = 5 * time.Second // for one probe
)

// awaitPollers waits until every poller has carried data. It guards against nbio's own race: a poller that is stopped
// before its goroutine has reached its loop loses the stop, spins, and Stop waits for it for good (nbio 1.6.8:
// readWriteLoop sets shutdown to false). It comes at the end, as only an engine that has carried nothing needs it: where
// a placer serves there may be none of the sockets that it takes.
func (e *Engine) awaitPollers() error {
	var opened []func()
	defer func() {
		for _, release := range opened {
			release()
		}
	}()
	for probe := 0; !e.allServed(); probe++ {
		if probe == maxPollerProbes {
			return errors.New("netio: the pollers do not take events")
		}
		out, in, err := e.socketPair()
		if err != nil {
			return fmt.Errorf("netio: open a pair of sockets: %w", err)
		}
		opened = append(opened, func() { _ = out.Close() })
		if probe%2 == 1 { // a poller takes descriptors by their number: open ones make the numbers differ
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

// allServed reports whether every poller has carried data.
func (e *Engine) allServed() bool {
	for i := range e.served {
		if !e.served[i].Load() {
			return false
		}
	}
	return true
}

// probePoller gives one end of a stream to its poller and waits until a byte from the other end has come.
func (e *Engine) probePoller(out, in net.Conn) error {
	raw, err := nbio.NBConn(in)
	if err != nil {
		return fmt.Errorf("netio: take a socket of a pair: %w", err)
	}
	probe := pollerProbe{served: make(chan struct{}, 1)}
	raw.SetSession(&Conn{raw: raw, attached: true, handler: probe})
	e.fence.Add(1)
	if _, err := e.poller.AddConn(raw); err != nil {
		return fmt.Errorf("netio: hand a socket to its poller: %w", err)
	}
	if _, err := out.Write([]byte{1}); err != nil {
		return fmt.Errorf("netio: write to a pair of sockets: %w", err)
	}
	select {
	case <-probe.served:
		return nil
	case <-time.After(pollerProbeLimit):
		return errors.New("netio: a poller does not take events")
	}
}

// pollerProbe is a Handler that reports its first data and closes.
type pollerProbe struct {
	served chan struct{} // with a buffer for one
}

// Data reports and closes.
func (p pollerProbe) Data(c *Conn, _ []byte) {
	p.served <- struct{}{}
	c.Close()
}

// Closed does nothing.
func (pollerProbe) Closed(*Conn, error) {}

// socketPair opens two ends of a stream without a listener: where a placer may listen is not ours to choose.
func socketPair() (net.Conn, net.Conn, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		ends[i], err = net.FileConn(f) // takes a copy
		_ = f.Close()
		if err != nil {
			return nil, nil, err
		}
	}
	return ends[0], ends[1], nil
}
