package chaos

import (
	"fmt"
	"io"
	"net"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/verify/testcluster"
)

const (
	misbehavingPlacerNumber = 4000 // no built-in scenario has so many placers
	misbehavingPlacerEpoch  = 1
	misbehavingDialTimeout  = time.Second
)

// misbehavingPlacer sends frames to hosts without a module and without invariant checks, so that it can break rules.
type misbehavingPlacer struct {
	lastTask    uint32
	connections map[string]net.Conn // by host name
}

// offeredTask identifies a task: offers with the same key and service are attempts of one task.
type offeredTask struct{ key, service uint64 }

// plus returns the n-th task after t, of the same service.
func (t offeredTask) plus(n int) offeredTask {
	return offeredTask{key: t.key + uint64(n), service: t.service}
}

func newMisbehavingPlacer() *misbehavingPlacer {
	return &misbehavingPlacer{connections: map[string]net.Conn{}}
}

// connect returns the connection to a host. If there is none, it opens one, sends a Hello frame, and discards all
// frames that the host sends.
func (p *misbehavingPlacer) connect(h *testcluster.Host) (net.Conn, error) {
	if c := p.connections[h.Name()]; c != nil {
		return c, nil
	}
	c, err := net.DialTimeout("tcp", h.Address(), misbehavingDialTimeout)
	if err != nil {
		return nil, err
	}
	p.connections[h.Name()] = c
	go func() { _, _ = io.Copy(io.Discard, c) }()
	_, err = c.Write(hostproto.Append(nil, hostproto.Hello{
		Version: hostproto.Version, Placer: misbehavingPlacerNumber, Epoch: misbehavingPlacerEpoch, Conn: 1,
	}))
	return c, err
}

// offer sends a host an offer of a small task of a class.
func (p *misbehavingPlacer) offer(h *testcluster.Host, class string, task offeredTask) error {
	c, err := p.connect(h)
	if err != nil {
		return err
	}
	p.lastTask++
	_, err = c.Write(hostproto.Append(nil, hostproto.Offer{
		Ref:  hostproto.Ref{Epoch: misbehavingPlacerEpoch, Task: p.lastTask},
		Wait: 5 * time.Second,
		Spec: hostproto.Spec{
			Key: task.key, Service: task.service, Name: fmt.Sprintf("rogue/%s/%d", class, p.lastTask), Class: class,
			Cores: 10, Memory: 10, Life: 10 * time.Second,
		},
	}))
	return err
}

func (p *misbehavingPlacer) close() {
	for _, c := range p.connections {
		_ = c.Close() // the connection is no longer used, so an error has no consequence
	}
}
