// Package placer puts a placer's core on sockets: connections to hosts, the HTTP front, the
// watch on the catalogue and datagrams between placers. It carries and decides nothing.
package placer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/listwatch"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/store"
)

// Config is what a placer runs with.
type Config struct {
	Settings *settings.Settings // by For
	Clock    *clock.Clock
	Log      zerolog.Logger
	Seed     uint64
	Epoch    uint64 // 0: by the clock
	// OnStep is shown each step of the core: its time, when it had asked for it by itself (0: not), its
	// inputs in the order in which they came and its outputs in the order in which they go out. It
	// must keep none of them. nil: nobody looks.
	OnStep func(now, due time.Duration, in []core.Input, out []core.Output)
	// Store keeps what must not be forgotten, and Kept is what an earlier life left in it; nil: nothing is kept. The
	// caller closes the store when the placer has stopped.
	Store      *store.Store
	SavedState *durable.Snapshot
	// DropGossip loses a message from another placer, for tests; nil: none.
	DropGossip func(from int) bool
	// Decide stands in the module's place, for tests of the guard and the checker.
	Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
}

const (
	mostJobs      = 20_000
	mostUnwritten = 8 << 20 // bytes waiting for one host
	mostDatagram  = 512
)

// Server is a running placer.
type Server struct {
	cfg    Config
	set    *settings.Settings
	log    zerolog.Logger
	clock  *clock.Clock
	engine *netio.Engine
	loop   *eventloop.Loop
	core   *core.Core

	inputs []core.Input         // of the batch in hand
	lazyBy time.Duration        // when what nothing waits for is written at the latest; 0: nothing is
	failed chan error           // takes the store's error
	due    time.Duration        // when the core asked to be stepped; 0: not
	links  map[string]*hostConn // by host
	dirty  []*hostConn
	watch  *listwatch.Watch

	front   net.Listener
	conns   atomic.Int64
	follows map[string]map[*stream]bool // by submission
	await   map[uint64]*exchange        // requests that the core has not answered
	request uint64
	fleet   atomic.Pointer[[]plan.Host] // of the last list, for judging what is submitted
	judging chan struct{}               // bounds how many are judged at once

	tell     net.PacketConn
	peers    []net.Addr
	wait     sync.WaitGroup
	stopping atomic.Bool
	stopOnce sync.Once
}

// Start begins to serve. The front and the datagram socket are open when it returns.
func Start(cfg Config) (*Server, error) {
	set := cfg.Settings
	self := set.Module.Self
	if cfg.Clock == nil {
		cfg.Clock = clock.New()
	}
	if cfg.Epoch == 0 {
		cfg.Epoch = uint64(cfg.Clock.Now().Microseconds())
	}
	if cfg.SavedState != nil {
		// Guards against a clock that was set back: hosts refuse an earlier life.
		cfg.Epoch = max(cfg.Epoch, cfg.SavedState.Epoch+1)
	}
	c, err := core.New(core.Config{Settings: set, Seed: cfg.Seed, Epoch: cfg.Epoch, Decide: cfg.Decide, Durable: cfg.Store != nil})
	if err != nil {
		return nil, err
	}
	engine, err := netio.New(fmt.Sprintf("placer-%d", self), 2)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, set: set, log: cfg.Log.With().Int("placer", self).Logger(), clock: cfg.Clock, engine: engine, core: c,
		failed: make(chan error, 1), judging: make(chan struct{}, mostJudged), links: map[string]*hostConn{}, follows: map[string]map[*stream]bool{}, await: map[uint64]*exchange{},
	}
	if err := s.listen(self); err != nil {
		engine.Stop()
		return nil, err
	}
	if cfg.SavedState != nil {
		s.put(core.Restore{Snapshot: cfg.SavedState})
	}
	s.loop = eventloop.New(cfg.Clock, mostJobs, s.step)
	s.loop.Start()
	s.wait.Add(1)
	go s.hear()
	s.front, err = engine.Listen(set.Placers[self].HTTP, set.Limits.Buffer+(1<<20), s.accept)
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("front: %w", err)
	}
	return s, nil
}

func (s *Server) listen(self int) error {
	var err error
	if s.tell, err = net.ListenPacket("udp", s.set.Placers[self].Tell); err != nil {
		return fmt.Errorf("messages between placers: %w", err)
	}
	for _, p := range s.set.Placers {
		addr, err := net.ResolveUDPAddr("udp", p.Tell)
		if err != nil {
			_ = s.tell.Close()
			return fmt.Errorf("messages between placers: %w", err)
		}
		s.peers = append(s.peers, addr)
	}
	return nil
}

// Epoch is the number of this life.
func (s *Server) Epoch() uint64 { return s.cfg.Epoch }

// Address is where the front listens.
func (s *Server) Address() string { return s.front.Addr().String() }

// Status counts what the placer holds and has done.
func (s *Server) Status() (st core.Status) {
	s.loop.Call(func() { st = s.core.Status() })
	return st
}

// InjectStall makes the placer stand still for a while, as a long collection or a stopped process would.
func (s *Server) InjectStall(d time.Duration) { s.loop.Post(func() { time.Sleep(d) }) }

// Shutdown ends the placer: the front takes nothing new, and all connections are closed once what is under way has been
// answered, or ctx is done. Tasks run on.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopping.Store(true)
	if s.front != nil {
		_ = s.front.Close()
	}
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		busy := false
		if !s.loop.Call(func() { busy = len(s.await) > 0 || len(s.follows) > 0 }) || !busy {
			break
		}
	}
	s.Close()
}

// Close ends the placer at once, as when its process is killed: what it held is forgotten.
func (s *Server) Close() {
	s.stopping.Store(true)
	s.stopOnce.Do(func() {
		s.loop.Stop()
		if s.watch != nil {
			s.watch.Stop()
		}
		_ = s.tell.Close()
		s.engine.Stop()
		s.wait.Wait()
	})
}

// put brings an input on the loop.
func (s *Server) put(in core.Input) { s.inputs = append(s.inputs, in) }

// step gives the core the inputs of a batch and carries out what it says.
func (s *Server) step(now time.Duration) (time.Duration, bool) {
	in := s.inputs
	s.inputs = s.inputs[:0]
	out := s.core.Step(now, in...)
	if s.cfg.OnStep != nil {
		s.cfg.OnStep(now, s.due, in, out)
	}
	if !s.keep(now, out) {
		return 0, false
	}
	for _, o := range out {
		s.carry(o)
	}
	clear(in)
	for _, h := range s.dirty {
		if h.conn != nil && len(h.buf) > 0 {
			_ = h.conn.Write(h.buf) // a failed write closes the connection, which is heard of by Closed
		}
		h.buf, h.dirty = h.buf[:0], false
	}
	s.dirty = s.dirty[:0]
	next, ok := s.core.Next()
	s.due = 0
	if ok {
		s.due = next
	}
	if s.lazyBy > 0 && (!ok || s.lazyBy < next) {
		return s.lazyBy, true
	}
	return next, ok
}

// lazily is how long a note that nothing waits for may stay in memory.
const lazily = 50 * time.Millisecond

// keep makes a step's notes durable, with one fsync, before anything of the step leaves. Where the disk fails, nothing
// leaves any more: what this life has said and what the next begins with must not part. The placer ends.
func (s *Server) keep(now time.Duration, out []core.Output) bool {
	st := s.cfg.Store
	if st == nil {
		return true
	}
	select {
	case err := <-s.failed:
		s.failed <- err
		return false
	default:
	}
	var notes []durable.Record
	for _, o := range out {
		if k, ok := o.(core.Persist); ok {
			notes = append(notes, k.Record)
		}
	}
	var err error
	if len(notes) > 0 {
		err = st.Commit(notes)
	}
	if err == nil && s.lazyBy > 0 && now >= s.lazyBy {
		err = st.Flush()
	}
	if err != nil {
		s.log.Error().Err(err).Msg("what must not be forgotten cannot be kept; this placer ends")
		s.failed <- err
		s.stopping.Store(true)
		return false
	}
	if !st.HasPending() {
		s.lazyBy = 0
	} else if s.lazyBy == 0 {
		s.lazyBy = now + lazily
	}
	return true
}

// Failed gives the store's error that has ended this placer. Kill it then.
func (s *Server) Failed() <-chan error { return s.failed }

func (s *Server) carry(o core.Output) {
	switch o := o.(type) {
	case core.SendToHost:
		h := s.links[o.Host]
		if h == nil || h.num != o.Conn || h.conn == nil {
			return
		}
		if !h.dirty {
			h.dirty = true
			s.dirty = append(s.dirty, h)
		}
		h.buf = hostproto.Append(h.buf, o.Frame)
	case core.DialHost:
		s.dial(o)
	case core.CloseHostConnection:
		if h := s.links[o.Host]; h != nil && h.num == o.Conn {
			delete(s.links, o.Host)
			if h.conn != nil {
				h.conn.Close()
			}
		}
	case core.Subscribe:
		s.subscribe()
	case core.SendGossip:
		s.send(o)
	case core.Accepted:
		s.taken(o)
	case core.Rejected:
		s.rejected(o)
	case core.OutcomesAdded:
		for st := range s.follows[o.Submission] {
			s.pump(st)
		}
	case core.Persist: // by keep
	case core.Log:
		if o.Defect {
			s.log.Error().Msg(o.Text)
		} else {
			s.log.Info().Msg(o.Text)
		}
	}
}

// ---- Hosts.

// hostConn is one connection to a host.
type hostConn struct {
	s     *Server
	host  string
	num   uint32
	conn  *netio.Conn // nil: being made
	dec   hostproto.Decoder
	buf   []byte
	dirty bool
}

func (s *Server) dial(o core.DialHost) {
	h := &hostConn{s: s, host: o.Host, num: o.Conn}
	s.links[o.Host] = h
	s.engine.Dial(o.Address, s.set.Links.Connect, mostUnwritten, h, func(c *netio.Conn, err error) {
		s.loop.Post(func() {
			switch {
			case s.links[o.Host] != h:
				if c != nil {
					c.Close()
				}
			case err != nil || c.IsClosed():
				delete(s.links, o.Host)
				s.put(core.HostDisconnected{Host: h.host, Conn: h.num})
			default:
				h.conn = c
				s.put(core.HostConnected{Host: h.host, Conn: h.num})
			}
		})
	})
}

// Data takes bytes from a host.
func (h *hostConn) Data(c *netio.Conn, p []byte) {
	var frames []hostproto.Frame
	err := h.dec.Feed(p, func(f hostproto.Frame) error {
		frames = append(frames, f)
		return nil
	})
	h.s.loop.PostBlocking(func() {
		if h.s.links[h.host] != h {
			return
		}
		for _, f := range frames {
			h.s.put(core.FrameReceived{Host: h.host, Conn: h.num, Frame: f})
		}
		if err != nil {
			h.s.log.Warn().Str("host", h.host).Err(err).Msg("unreadable frame; the connection is closed")
			_ = c.Write(hostproto.Append(nil, hostproto.Bye{Text: err.Error()}))
			c.CloseWith(err)
		}
	})
}

// Closed takes the end of the connection.
func (h *hostConn) Closed(_ *netio.Conn, err error) {
	h.s.loop.Post(func() {
		if h.s.links[h.host] != h {
			return // the core closed it
		}
		delete(h.s.links, h.host)
		why := "closed"
		if err != nil {
			why = err.Error()
		}
		h.s.put(core.HostDisconnected{Host: h.host, Conn: h.num, Reason: why})
	})
}

// ---- The list.

func (s *Server) subscribe() {
	if s.watch != nil {
		return // it runs: its next answer is on its way
	}
	cat := s.set.Catalogue
	cfg := listwatch.Config{
		Address: cat.Address, Service: cat.Service, MaxWait: cat.Wait, Timeout: cat.Timeout, MinInterval: cat.Pace,
		UserAgent: fmt.Sprintf("forkhead-placer/%d", s.set.Module.Self),
	}
	var w *listwatch.Watch
	w = listwatch.Start(cfg, func(hosts []core.HostEntry, skipped []string) {
		s.loop.PostBlocking(func() {
			if s.watch == w {
				if len(skipped) > 0 {
					s.log.Warn().Strs("entries", skipped).Msg("the catalogue lists hosts that cannot be used")
				}
				s.put(core.HostListReceived{Mode: forkhead.ListSnapshot, Hosts: hosts})
				s.remember(hosts)
			}
		})
	}, func(err error) {
		s.loop.Post(func() {
			if s.watch == w {
				s.watch = nil
				s.log.Debug().Err(err).Msg("asking the catalogue failed")
				s.put(core.HostListReceived{Mode: forkhead.ListFailed})
			}
		})
	})
	s.watch = w
}

// ---- Other placers.

func (s *Server) send(o core.SendGossip) {
	if len(o.Data) > mostDatagram-2 {
		return
	}
	self := s.set.Module.Self
	p := append([]byte{byte(self), byte(self >> 8)}, o.Data...)
	for i, addr := range s.peers {
		if i != self && (o.To == forkhead.AllPlacers || o.To == i) {
			_, _ = s.tell.WriteTo(p, addr) // a message may be lost
		}
	}
}

func (s *Server) hear() {
	defer s.wait.Done()
	buf := make([]byte, mostDatagram+1)
	for {
		n, from, err := s.tell.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 3 || n > mostDatagram {
			continue
		}
		placer := int(buf[0]) | int(buf[1])<<8
		if placer >= len(s.peers) || placer == s.set.Module.Self || from.String() != s.peers[placer].String() {
			continue // not from a placer of the settings
		}
		if s.cfg.DropGossip != nil && s.cfg.DropGossip(placer) {
			continue
		}
		data := append([]byte(nil), buf[2:n]...)
		s.loop.PostBlocking(func() { s.put(core.GossipReceived{From: placer, Data: data}) })
	}
}
