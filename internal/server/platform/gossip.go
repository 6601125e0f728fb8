package platform

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// gossipSocket exchanges datagrams with other placers. Its fields do not change after openGossip. The methods of a nil
// gossipSocket do nothing.
type gossipSocket struct {
	socket    *net.UDPConn
	self      int              // this placer's number
	peers     []netip.AddrPort // gossip addresses by placer number, this placer's included
	broadcast netip.AddrPort   // address that reaches all placers; the zero value if there is none
	inputs    *inputQueue
	receiver  sync.WaitGroup // waits for the goroutine that runs receive
}

// openGossip opens the socket at the configuration's gossip address, or returns nil if the configuration names none.
// The caller calls start once the event loop runs.
func openGossip(cfg *platform.Config, self int, inputs *inputQueue) (*gossipSocket, error) {
	if cfg.PeerListen == "" {
		return nil, nil
	}
	peers, err := parsePeers(cfg.Peers)
	if err != nil {
		return nil, ConfigError{err}
	}
	g := &gossipSocket{self: self, peers: peers, inputs: inputs}
	if cfg.PeersBroadcast != "" {
		if g.broadcast, err = netip.ParseAddrPort(cfg.PeersBroadcast); err != nil {
			return nil, ConfigError{fmt.Errorf("peers_all: %w", err)}
		}
	}
	socket, err := net.ListenPacket("udp", cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	g.socket = socket.(*net.UDPConn)
	return g, nil
}

// start receives datagrams on a goroutine that close waits for.
func (g *gossipSocket) start() {
	if g == nil {
		return
	}
	g.receiver.Add(1)
	go func() {
		defer g.receiver.Done()
		g.receive()
	}()
}

// close closes the socket and waits for the receiving goroutine. The event loop must have been stopped before, as that
// goroutine may wait for space in the loop's queue.
func (g *gossipSocket) close() {
	if g == nil {
		return
	}
	_ = g.socket.Close()
	g.receiver.Wait()
}

// send sends a message to one placer or to all of them. The message may be lost.
func (g *gossipSocket) send(o platformcore.SendGossip) {
	if g == nil {
		return
	}
	to := g.broadcast
	if o.To != forkhead.AllPlacers {
		if o.To < 0 || o.To >= len(g.peers) {
			return
		}
		to = g.peers[o.To]
	}
	if to.IsValid() {
		_, _ = g.socket.WriteToUDPAddrPort(o.Data, to)
	}
}

// receive posts the datagrams of other placers to the core until the socket is closed. It drops datagrams of all other
// senders, and datagrams of more than platform.MaxDatagramSize bytes. The buffer is one byte larger than that limit, so
// that receive detects longer datagrams.
func (g *gossipSocket) receive() {
	buf := make([]byte, platform.MaxDatagramSize+1)
	for {
		n, sender, err := g.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > platform.MaxDatagramSize {
			continue
		}
		if from, ok := g.peerNumber(sender); ok {
			g.inputs.postBlocking(platformcore.GossipReceived{From: from, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}

// peerNumber returns the number of the other placer that has the sender's address. ok is false if no other placer has
// that address.
func (g *gossipSocket) peerNumber(sender netip.AddrPort) (number int, ok bool) {
	sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
	for i, peer := range g.peers {
		if i != g.self && peer == sender {
			return i, true
		}
	}
	return 0, false
}
