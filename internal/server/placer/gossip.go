package placer

import (
	"encoding/binary"
	"errors"
	"net"

	"forkhead"
	"forkhead/internal/parse/settings"
)

// A datagram consists of the sender's number, as a little-endian 16-bit integer, and the message.
const (
	gossipHeaderSize = 2   // bytes
	maxDatagramSize  = 512 // bytes, including the header
)

// gossipSocket exchanges datagrams with the other placers. Any message may be lost. The loop sends and a goroutine of
// the Server receives; both may use the fields, which do not change after listenGossip.
type gossipSocket struct {
	self   int // number of this placer
	socket net.PacketConn
	peers  []net.Addr          // addresses of all placers, by number
	drop   func(from int) bool // reports whether to drop a message, for tests; nil: none is dropped
}

// listenGossip opens the socket of placer set.Module.Self and resolves the addresses of all placers.
func listenGossip(set *settings.Settings, drop func(from int) bool) (*gossipSocket, error) {
	g := &gossipSocket{self: set.Module.Self, drop: drop}
	for _, p := range set.Placers {
		addr, err := net.ResolveUDPAddr("udp", p.GossipAddress)
		if err != nil {
			return nil, err
		}
		g.peers = append(g.peers, addr)
	}
	var err error
	g.socket, err = net.ListenPacket("udp", set.Placers[g.self].GossipAddress)
	return g, err
}

// send sends a message to the placer with number to, or to all others for forkhead.AllPlacers. A message that does not
// fit into maxDatagramSize is not sent.
func (g *gossipSocket) send(to int, message []byte) {
	if gossipHeaderSize+len(message) > maxDatagramSize {
		return
	}
	datagram := binary.LittleEndian.AppendUint16(nil, uint16(g.self))
	datagram = append(datagram, message...)
	for number, addr := range g.peers {
		if number != g.self && (to == forkhead.AllPlacers || to == number) {
			_, _ = g.socket.WriteTo(datagram, addr) // an error is ignored, since any message may be lost
		}
	}
}

// receive calls deliver with each message from another placer until the socket is closed. deliver may keep the message.
func (g *gossipSocket) receive(deliver func(from int, message []byte)) {
	buffer := make([]byte, maxDatagramSize+1) // one byte more than the limit, to detect longer datagrams
	for {
		n, sender, err := g.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n <= gossipHeaderSize || n > maxDatagramSize {
			continue
		}
		from := int(binary.LittleEndian.Uint16(buffer))
		if !g.isPeer(from, sender) || g.drop != nil && g.drop(from) {
			continue
		}
		deliver(from, append([]byte(nil), buffer[gossipHeaderSize:n]...))
	}
}

// isPeer reports whether another placer has the given number and the address sender in the settings.
func (g *gossipSocket) isPeer(number int, sender net.Addr) bool {
	return number < len(g.peers) && number != g.self && sender.String() == g.peers[number].String()
}

// close closes the socket, which ends receive.
func (g *gossipSocket) close() { _ = g.socket.Close() }
