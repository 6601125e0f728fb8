package host

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/recorder"
)

// startHost starts a host that is not registered in a catalog, and returns it with the recorder of its traffic.
func startHost(t *testing.T) (*Server, *recorder.Recorder) {
	t.Helper()
	engine, err := netio.New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	log := recorder.New(1000)
	s, err := Start(Config{
		Host: hostmodel.DefaultConfig("h", "k", "z", "r", 8, 8), Listen: "127.0.0.1:0", Clock: clock.New(), Engine: engine, Recorder: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(); engine.Stop() })
	return s, log
}

// exchange writes bytes to the host on a new connection. It returns the frames that the host sends until it closes the
// connection or the timeout is over, and whether it closed the connection.
func exchange(t *testing.T, s *Server, p []byte, timeout time.Duration) (frames []hostproto.Frame, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(p); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	var d hostproto.Decoder
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if derr := d.Feed(buf[:n], func(f hostproto.Frame) error { frames = append(frames, f); return nil }); derr != nil {
			t.Fatal(derr)
		}
		if err != nil {
			return frames, errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset")
		}
	}
}

// An offer that was read before its host crashed can still be queued on the event loop when the next incarnation
// starts. If it were captured as an offer to that incarnation, no later event would end the offer.
func TestServerIgnoresFrameOfEarlierIncarnation(t *testing.T) {
	s, log := startHost(t)
	c := &connection{server: s, id: 77, placer: 1, placerEpoch: 1}
	s.loop.Call(func() {
		c.model = s.model
		s.endIncarnation()
	})
	if err := s.Restart(false); err != nil {
		t.Fatal(err)
	}
	s.loop.Call(func() {
		s.connections[c.id] = c
		s.receive(c, hostproto.Offer{Ref: hostproto.Ref{Epoch: 1, Task: 1}, Wait: time.Second}, s.cfg.Clock.Now())
		delete(s.connections, c.id)
	})
	events, _ := log.Events()
	for _, e := range events {
		if e.Type == capture.Offer {
			t.Fatalf("receive of an offer from a connection of the earlier incarnation captured %+v, want no event", e)
		}
	}
}

// The host answers a stream that breaks the protocol with one Bye that contains the reason, closes the connection, and
// still serves other connections.
func TestServerClosesConnectionsWithInvalidStreams(t *testing.T) {
	s, _ := startHost(t)
	// Each Hello has a higher connection number than the Hello before. When a Hello arrives, the host may not know yet
	// that the connection before has ended, and would reject a Hello with the same number.
	lastConn := uint32(0)
	hello := func() []byte {
		lastConn++
		return hostproto.Append(nil, hostproto.Hello{Version: hostproto.Version, Epoch: 5, Conn: lastConn})
	}
	for name, c := range map[string]struct {
		stream []byte
		want   string
		hello  bool // a valid Hello is sent before the stream
	}{
		"oversized":        {stream: []byte{0xff, 0xff, 0xff, 0xff}, want: "longer than allowed"},
		"unknown code":     {stream: []byte{1, 0, 0, 0, 77}, want: "unknown code"},
		"truncated":        {stream: []byte{2, 0, 0, 0, 2, 1}, want: "ends before its fields"},
		"http":             {stream: []byte("GET / HTTP/1.1\r\n\r\n"), want: "longer than allowed"},
		"no hello":         {stream: hostproto.Append(nil, hostproto.Probe{ID: 1}), want: "a frame before Hello"},
		"other version":    {stream: hostproto.Append(nil, hostproto.Hello{Version: 9}), want: "speaks version 1"},
		"a host's frame":   {stream: hostproto.Append(nil, hostproto.Drain{On: true}), want: "only hosts send", hello: true},
		"foreign epoch":    {stream: hostproto.Append(nil, hostproto.Hello{Version: hostproto.Version, Epoch: 4, Conn: 9}), want: "a later life"},
		"good then broken": {stream: []byte{1, 0, 0, 0, 99}, want: "unknown code", hello: true},
	} {
		if name == "foreign epoch" {
			exchange(t, s, hello(), 50*time.Millisecond)
		}
		stream := c.stream
		if c.hello {
			stream = append(hello(), stream...)
		}
		frames, closed := exchange(t, s, stream, 2*time.Second)
		byes := 0 // number of Byes with the wanted reason
		for _, f := range frames {
			if b, ok := f.(hostproto.Bye); ok && strings.Contains(b.Text, c.want) {
				byes++
			}
		}
		if byes != 1 || !closed {
			t.Errorf("%s: answer to the stream = frames %+v, closed %v, want one Bye that contains %q, closed true", name, frames, closed, c.want)
		}
	}
	if frames, _ := exchange(t, s, hostproto.Append(nil, hostproto.Hello{Version: hostproto.Version, Epoch: 6, Conn: 1}), 100*time.Millisecond); len(frames) != 1 {
		t.Fatalf("answer to a valid Hello after the invalid streams = frames %+v, want one frame", frames)
	}
}

// A host that is killed and restarted listens on the same address, has a higher epoch, and tells placers that it has
// just started. A host that has crashed silently keeps connections open and does not answer.
func TestServerRestartHasSameAddressAndHigherEpoch(t *testing.T) {
	s, log := startHost(t)
	hello := hostproto.Append(nil, hostproto.Hello{Version: hostproto.Version, Epoch: 1, Conn: 1})
	first, _ := exchange(t, s, hello, 100*time.Millisecond)
	s.Kill()
	if c, err := net.Dial("tcp", s.Address()); err == nil {
		_ = c.Close()
		t.Fatal("connecting to a killed host succeeded, want an error")
	}
	if err := s.Restart(true); err != nil {
		t.Fatal(err)
	}
	second, _ := exchange(t, s, hello, 100*time.Millisecond)
	a, b := first[0].(hostproto.Welcome), second[0].(hostproto.Welcome)
	if b.Epoch <= a.Epoch || b.Started == 0 {
		t.Fatalf("Welcome after the restart = %+v, want Epoch above %d and Started not 0", b, a.Epoch)
	}
	s.CrashSilently()
	if frames, closed := exchange(t, s, hello, 100*time.Millisecond); len(frames) != 0 || closed {
		t.Fatalf("answer of a silently crashed host = frames %+v, closed %v, want none, closed false", frames, closed)
	}
	events, _ := log.Events()
	ups, downs := 0, 0
	for _, e := range events {
		switch e.Type {
		case capture.HostUp:
			ups++
		case capture.HostDown:
			downs++
		}
	}
	if ups != 2 || downs != 2 {
		t.Fatalf("captured %d HostUp and %d HostDown events, want 2 and 2", ups, downs)
	}
}
