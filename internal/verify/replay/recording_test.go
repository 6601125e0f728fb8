package replay_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/replay"
	"forkhead/internal/verify/scenario"
)

const day = `(badday (hosts 1 (kind std-28) (zone north)))`

// kept plays a little with a core and keeps it. change may alter what is kept of a step.
func kept(t *testing.T, most int, change func(n int, s *replay.Step)) ([]byte, error) {
	t.Helper()
	s, err := scenario.Read("day", []byte(day))
	if err != nil {
		t.Fatal(err)
	}
	c, err := core.New(core.Config{Settings: s.Settings.For(0), Seed: 5, Epoch: 9})
	if err != nil {
		t.Fatal(err)
	}
	w := replay.NewWriter(replay.Head{File: "day", Script: []byte(day), Seed: 5, Epoch: 9}, most)
	now := time.Hour
	for n, in := range [][]core.Input{
		nil,
		{core.HostListReceived{Hosts: []core.HostEntry{{Name: "h", Address: "h:1", Kind: "std-28", Zone: "north", Rack: "r"}}}},
		{core.HostConnected{Host: "h", Conn: 1}},
		{core.FrameReceived{Host: "h", Conn: 1, Frame: hostproto.Welcome{Version: hostproto.Version, Host: "h", Epoch: 3}}},
		{core.HostDisconnected{Host: "h", Conn: 1, Reason: "cut"}},
		nil,
	} {
		now += 10 * time.Millisecond
		step := replay.Step{Now: now, In: in, Out: replay.FormatOutputs(c.Step(now, in...))}
		if change != nil {
			change(n, &step)
		}
		if err := w.Add(&step); err != nil {
			break
		}
	}
	return w.Bytes()
}

func TestReplay(t *testing.T) {
	text, err := kept(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	p, err := replay.Play(bytes.NewReader(text), nil)
	if err != nil || p.Steps != 6 || p.Divergence != nil || p.Truncated {
		t.Fatalf("%+v, %v", p, err)
	}
	if len(p.Events) == 0 {
		t.Fatal("nothing crossed the placer's sockets")
	}
	// Another word at one step is found there.
	text, err = kept(t, 1<<20, func(n int, s *replay.Step) {
		if n == 2 {
			s.Out = []string{"Close {}"}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if p, err = replay.Play(bytes.NewReader(text), nil); err != nil || p.Divergence == nil || p.Divergence.Step != 2 || p.Divergence.Want != "Close {}" {
		t.Fatalf("%+v, %v", p, err)
	}
}

// A tape that is cut short anywhere is played as far as it goes, or turned away; never in part of a step.
func TestTornTape(t *testing.T) {
	text, err := kept(t, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		p, err := replay.Play(bytes.NewReader(text[:n]), nil)
		if err == nil && (!p.Truncated || p.Divergence != nil) {
			t.Fatalf("of %d bytes %d: %+v", len(text), n, p)
		}
	}
	if _, err := replay.Play(bytes.NewReader([]byte("no tape")), nil); err == nil {
		t.Fatal("what is no tape was played")
	}
}

func TestFullTape(t *testing.T) {
	if _, err := kept(t, 1, nil); !errors.Is(err, replay.ErrFull) {
		t.Fatalf("%v", err)
	}
}
