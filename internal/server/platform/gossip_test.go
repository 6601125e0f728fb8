package platform

import (
	"bytes"
	"net"
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
)

// startGossip starts the socket of one of two placers, whose addresses are peers, and returns what it receives.
func startGossip(t *testing.T, cfg platform.Config, self int) (*gossipSocket, chan platformcore.GossipReceived) {
	t.Helper()
	received := make(chan platformcore.GossipReceived, 100)
	inputs := &inputQueue{}
	loop := eventloop.New(clock.New(), maxQueuedJobs, func(time.Duration) (time.Duration, bool) {
		for _, in := range inputs.take() {
			received <- in.(platformcore.GossipReceived)
		}
		return 0, false
	})
	inputs.loop = loop
	cfg.PeerListen = cfg.Peers[self]
	g, err := openGossip(&cfg, self, inputs)
	if err != nil {
		t.Fatal(err)
	}
	loop.Start()
	g.start()
	t.Cleanup(func() { loop.Stop(); g.close() })
	return g, received
}

// unusedUDPAddress returns a loopback address on which nothing listens.
func unusedUDPAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String()
}

// Messages reach the placer that they are sent to, with the sender's number; those of strangers, of itself and of too many
// bytes are dropped.
func TestGossipSocketExchangesMessages(t *testing.T) {
	cfg := platform.Config{Peers: []string{unusedUDPAddress(t), unusedUDPAddress(t)}}
	cfg.PeersBroadcast = cfg.Peers[1]
	first, receivedByFirst := startGossip(t, cfg, 0)
	second, receivedBySecond := startGossip(t, cfg, 1)
	stranger, err := net.Dial("udp", cfg.Peers[1])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stranger.Close() })

	send(stranger, "stranger")
	second.send(platformcore.SendGossip{To: 1, Data: []byte("to itself")})
	first.send(platformcore.SendGossip{To: 2, Data: []byte("to no placer")})
	first.send(platformcore.SendGossip{To: 1, Data: bytes.Repeat([]byte("x"), platform.MaxDatagramSize+1)})
	largest := bytes.Repeat([]byte("x"), platform.MaxDatagramSize)
	first.send(platformcore.SendGossip{To: 1, Data: largest})
	first.send(platformcore.SendGossip{To: forkhead.AllPlacers, Data: []byte("to all")})
	second.send(platformcore.SendGossip{To: 0, Data: []byte("back")})

	expectGossip(t, receivedBySecond, 0, largest)
	expectGossip(t, receivedBySecond, 0, []byte("to all"))
	expectGossip(t, receivedByFirst, 1, []byte("back"))
	if n := len(receivedByFirst) + len(receivedBySecond); n > 0 {
		t.Errorf("%d more messages came", n)
	}
}

// expectGossip checks the next message.
func expectGossip(t *testing.T, received chan platformcore.GossipReceived, from int, data []byte) {
	t.Helper()
	select {
	case got := <-received:
		if got.From != from || !slices.Equal(got.Data, data) {
			t.Fatalf("received %q of %d, want %q of %d", got.Data, got.From, data, from)
		}
	case <-time.After(eventuallyTimeout):
		t.Fatalf("%q is not received", data)
	}
}

// A placer without a gossip address sends and receives nothing.
func TestGossipSocketNone(t *testing.T) {
	g, err := openGossip(&platform.Config{}, 0, &inputQueue{})
	if g != nil || err != nil {
		t.Fatalf("opened %v, %v", g, err)
	}
	g.start()
	g.send(platformcore.SendGossip{To: forkhead.AllPlacers, Data: []byte("x")})
	g.close()
}
