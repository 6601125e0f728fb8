package placer

import (
	"net"
	"slices"
	"testing"
	"time"

	"forkhead/internal/parse/settings"
)

// listenUDP opens a loopback socket that is closed at the end of the test.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// newGossipSocket returns the socket of placer 0, whose only peer is placer 1. The parameter drop is as in
// Config.DropGossip.
func newGossipSocket(t *testing.T, peer net.PacketConn, drop func(from int) bool) *gossipSocket {
	t.Helper()
	set := &settings.Settings{Placers: []settings.Placer{{GossipAddress: "127.0.0.1:0"}, {GossipAddress: peer.LocalAddr().String()}}}
	g, err := listenGossip(set, drop)
	if err != nil {
		t.Fatalf("listenGossip: got error %v, want nil", err)
	}
	t.Cleanup(g.close)
	return g
}

// A socket delivers no message that is empty, too long, dropped by the test, or not from the address of another placer
// in the settings.
func TestGossipSocketDeliversMessagesOfPeersOnly(t *testing.T) {
	peer, stranger := listenUDP(t), listenUDP(t)
	drops := 0
	g := newGossipSocket(t, peer, func(from int) bool {
		drops++
		return from == 1 && drops == 1
	})
	datagram := func(from byte, message string) []byte { return append([]byte{from, 0}, message...) }
	for _, d := range []struct {
		from net.PacketConn
		data []byte
	}{
		{peer, datagram(1, "dropped by the test")},
		{peer, datagram(1, "first")},
		{peer, datagram(1, "")},
		{peer, datagram(1, string(make([]byte, maxDatagramSize)))},
		{peer, datagram(0, "as placer 0 itself")},
		{peer, datagram(2, "as a placer that is not in the settings")},
		{stranger, datagram(1, "from another address")},
		{peer, datagram(1, "last")},
	} {
		if _, err := d.from.WriteTo(d.data, g.socket.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	received := make(chan struct{})
	go func() {
		defer close(received)
		g.receive(func(from int, message []byte) {
			if from != 1 {
				t.Errorf("receive delivered a message from placer %d, want only from placer 1", from)
			}
			got = append(got, string(message))
			if string(message) == "last" {
				g.close()
			}
		})
	}()
	select {
	case <-received:
	case <-time.After(10 * time.Second):
		t.Fatal("got no message \"last\" from receive within 10s, want one")
	}
	if want := []string{"first", "last"}; !slices.Equal(got, want) {
		t.Errorf("receive delivered %q, want %q", got, want)
	}
}

// A socket sends no message that is too long or addressed to its own placer. It puts its placer's number in front of
// each message that it sends.
func TestGossipSocketSendsOnlyValidMessages(t *testing.T) {
	peer := listenUDP(t)
	g := newGossipSocket(t, peer, nil)
	g.send(1, make([]byte, maxDatagramSize-gossipHeaderSize+1))
	g.send(0, []byte("to itself"))
	g.send(1, []byte("message"))
	if err := peer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 2*maxDatagramSize)
	n, _, err := peer.ReadFrom(buffer)
	if err != nil {
		t.Fatalf("read the first datagram of the socket: got error %v, want nil", err)
	}
	if got, want := string(buffer[:n]), "\x00\x00message"; got != want {
		t.Errorf("first datagram = %q, want %q", got, want)
	}
}
