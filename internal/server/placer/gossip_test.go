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

// newGossipSocket returns placer 0's socket. Placer 1 is the peer; drop is as in Config.DropGossip.
func newGossipSocket(t *testing.T, peer net.PacketConn, drop func(from int) bool) *gossipSocket {
	t.Helper()
	set := &settings.Settings{Placers: []settings.Placer{{GossipAddress: "127.0.0.1:0"}, {GossipAddress: peer.LocalAddr().String()}}}
	g, err := listenGossip(set, drop)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.close)
	return g
}

// Messages that are not from a placer of the settings, or are of a wrong size, are not delivered.
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
				t.Errorf("a message of placer %d", from)
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
		t.Fatal("the last message is not delivered")
	}
	if want := []string{"first", "last"}; !slices.Equal(got, want) {
		t.Errorf("delivered %q; want %q", got, want)
	}
}

// A message over the limit is not sent; others have the sender's number in front.
func TestGossipSocketSend(t *testing.T) {
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
		t.Fatal(err)
	}
	if got, want := string(buffer[:n]), "\x00\x00message"; got != want {
		t.Errorf("sent %q; want %q", got, want)
	}
}
