// Package host puts a stand-in host on sockets: it carries frames and time to package standin,
// registers with the catalogue, records the traffic, and does to connections what a script says.
package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/recorder"
)

// Config is where a host lives.
type Config struct {
	Host                 hostmodel.Config
	Listen               string // ADDRESS:PORT; port 0: any
	CatalogAddress       string // "": it registers nowhere
	Service              string
	RegistrationInterval time.Duration // between registrations
	Seed                 uint64
	WarmingUp            bool // its first life has just begun, too
	Clock                *clock.Clock
	Engine               *netio.Engine
	Recorder             *recorder.Recorder
}

const (
	mostUnwritten = 4 << 20
	mostJobs      = 10_000
)

// Server is a host with its lives.
type Server struct {
	cfg    Config
	rng    *rand.Rand
	client *http.Client

	loop *eventloop.Loop
	life *hostmodel.Host // nil: down
	num  uint64
	ln   net.Listener
	addr string // stays the same over lives
	deaf bool   // silent: nothing is read or written, connections stay
	mute map[*conn]bool
	out  time.Duration // frames leave this much later
	torn bool          // the next frame that leaves is cut in the middle

	conns map[hostmodel.ConnID]*conn
	next  hostmodel.ConnID
	reg   time.Duration // next registration

	stopped  sync.Once
	register chan core.HostEntry
	ended    chan struct{}
	wait     sync.WaitGroup
}

type conn struct {
	s      *Server
	id     hostmodel.ConnID
	life   *hostmodel.Host // in which it was opened
	c      *netio.Conn
	dec    hostproto.Decoder
	buf    []byte
	placer int
	epoch  uint64
}

// Start brings a host up.
func Start(cfg Config) (*Server, error) {
	if cfg.RegistrationInterval <= 0 {
		cfg.RegistrationInterval = 500 * time.Millisecond
	}
	s := &Server{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), conns: map[hostmodel.ConnID]*conn{}, mute: map[*conn]bool{},
		client: &http.Client{Timeout: 2 * time.Second}, addr: cfg.Listen,
		register: make(chan core.HostEntry, 1), ended: make(chan struct{}),
	}
	s.loop = eventloop.New(cfg.Clock, mostJobs, s.step)
	s.loop.Start()
	var err error
	s.loop.Call(func() { err = s.up(cfg.WarmingUp) })
	if err != nil {
		s.loop.Stop()
		return nil, err
	}
	s.wait.Add(1)
	go s.registrar()
	return s, nil
}

// Address is where the host listens.
func (s *Server) Address() (addr string) {
	s.loop.Call(func() { addr = s.addr })
	return addr
}

// Name is the host's name.
func (s *Server) Name() string { return s.cfg.Host.Name }

// Stop takes the host down for good.
func (s *Server) Stop() {
	s.stopped.Do(func() {
		s.loop.Call(func() { s.down(false) })
		s.loop.Stop()
		close(s.ended)
		s.wait.Wait()
		s.client.CloseIdleConnections()
	})
}

// With runs f on the host's goroutine with its present life, or nil, and carries out what f
// returns.
func (s *Server) With(f func(h *hostmodel.Host, now time.Duration) []hostmodel.Output) {
	s.loop.Call(func() {
		now := s.cfg.Clock.Now()
		if s.life != nil {
			s.carry(f(s.life, now))
		}
	})
}

// Status returns how the host stands.
func (s *Server) Status() (up, fell bool, running int) {
	s.loop.Call(func() {
		if s.life != nil {
			up, fell, running = true, s.life.Overloaded(), s.life.BoundCount()
		}
	})
	return up, fell, running
}

// Kill ends the host's life with resets, as when its process is killed.
func (s *Server) Kill() { s.loop.Call(func() { s.down(true) }) }

// Vanish ends the host's life without a word: connections stay open, nothing answers.
func (s *Server) Vanish() {
	s.loop.Call(func() {
		if s.life == nil {
			return
		}
		s.ends()
		s.deaf = true
	})
}

// Restart begins a new life.
func (s *Server) Restart(cold bool) error {
	var err error
	s.loop.Call(func() {
		if s.life != nil {
			return
		}
		s.down(true)
		err = s.up(cold)
	})
	return err
}

// ResetConnections resets the connections of a placer, or of all placers for -1.
func (s *Server) ResetConnections(placer int) {
	s.eachConnection(placer, func(c *conn) { c.c.Reset() })
}

// MuteConnections leaves the connections of a placer, or of all placers for -1, open and half-dead: frames on them are
// neither read nor written from then on.
func (s *Server) MuteConnections(placer int) {
	s.eachConnection(placer, func(c *conn) { s.mute[c] = true })
}

// eachConnection calls do on the event loop for each connection of a placer, or of all placers for -1.
func (s *Server) eachConnection(placer int, do func(c *conn)) {
	s.loop.Call(func() {
		for _, c := range s.conns {
			if placer < 0 || c.placer == placer {
				do(c)
			}
		}
	})
}

// DelayFrames makes frames leave so much later.
func (s *Server) DelayFrames(d time.Duration) { s.loop.Call(func() { s.out = d }) }

// TruncateNextFrame cuts the next frame that leaves in the middle and closes its connection.
func (s *Server) TruncateNextFrame() { s.loop.Call(func() { s.torn = true }) }

// up begins a life.
func (s *Server) up(cold bool) error {
	s.num++
	now := s.cfg.Clock.Now()
	var ln net.Listener
	var err error
	for try := 0; ; try++ { // the port may still be held by what is closing
		ln, err = s.cfg.Engine.Listen(s.addr, mostUnwritten, s.accept)
		if err == nil || try == 50 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("host %s: %w", s.cfg.Host.Name, err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	// Epochs grow over restarts of this process too: they hold the time.
	s.life = hostmodel.New(s.cfg.Host, uint64(now.Microseconds())+s.num, s.cfg.Seed+s.num, now, cold)
	s.deaf, s.reg = false, now
	s.log(capture.Event{Type: capture.HostUp, WarmingUp: cold, Zone: s.cfg.Host.Zone, Rack: s.cfg.Host.Rack})
	return nil
}

// ends notes the end of the life in hand.
func (s *Server) ends() {
	if s.life == nil {
		return
	}
	if s.life.Overloaded() {
		s.log(capture.Event{Type: capture.Overloaded})
	}
	s.log(capture.Event{Type: capture.HostDown})
	s.life = nil
}

func (s *Server) down(reset bool) {
	s.ends()
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
	for _, c := range s.conns {
		if reset {
			c.c.Reset()
		} else {
			c.c.Close()
		}
	}
}

func (s *Server) log(e capture.Event) {
	if s.cfg.Recorder == nil {
		return
	}
	e.At, e.Host = s.cfg.Clock.Now(), s.cfg.Host.Name
	if s.life != nil {
		e.Epoch = s.life.Epoch()
	}
	s.cfg.Recorder.Add(e)
}

// ---- Connections.

func (s *Server) accept(c *netio.Conn) netio.Handler {
	h := &conn{s: s, c: c, placer: -1}
	if !s.loop.Post(func() {
		s.next++
		h.id = s.next
		s.conns[h.id] = h
		h.life = s.life
		if s.life != nil && !s.deaf {
			s.carry(s.life.ConnectionOpened(s.cfg.Clock.Now(), h.id))
		}
	}) {
		return nil
	}
	return h
}

// Data takes bytes from a placer.
func (h *conn) Data(_ *netio.Conn, p []byte) {
	var frames []hostproto.Frame
	err := h.dec.Feed(p, func(f hostproto.Frame) error {
		frames = append(frames, f)
		return nil
	})
	at := h.s.cfg.Clock.Now()
	h.s.loop.PostBlocking(func() {
		for _, f := range frames {
			h.s.frame(h, f, at)
		}
		if err != nil && h.s.life != nil {
			h.s.carry(h.s.life.ReceiveMalformed(h.s.cfg.Clock.Now(), h.id, err.Error()))
		}
	})
}

// Closed takes the end of a connection.
func (h *conn) Closed(*netio.Conn, error) {
	h.s.loop.Post(func() {
		s := h.s
		if s.conns[h.id] != h {
			return
		}
		delete(s.conns, h.id)
		delete(s.mute, h)
		if h.placer >= 0 {
			s.log(capture.Event{Type: capture.Disconnected, Placer: h.placer, PlacerEpoch: h.epoch, Conn: uint64(h.id)})
		}
		if s.life != nil {
			s.carry(s.life.ConnectionClosed(s.cfg.Clock.Now(), h.id))
		}
	})
}

// frame takes a frame that was read at a time.
func (s *Server) frame(h *conn, f hostproto.Frame, at time.Duration) {
	// h.life guards against a frame that was read before its host died and comes to its turn in the
	// next life: neither that life nor the record may take it for one of its own.
	if s.life == nil || s.deaf || s.mute[h] || s.conns[h.id] != h || h.life != s.life {
		return
	}
	if hello, ok := f.(hostproto.Hello); ok {
		h.placer, h.epoch = int(hello.Placer), hello.Epoch
	}
	s.note(h, f, at)
	s.carry(s.life.ReceiveFrame(s.cfg.Clock.Now(), h.id, f))
}

// note records a frame that came to the host or leaves it.
func (s *Server) note(h *conn, f hostproto.Frame, at time.Duration) {
	if s.cfg.Recorder == nil {
		return
	}
	e := capture.Event{At: at, Host: s.cfg.Host.Name, Placer: h.placer, PlacerEpoch: h.epoch, Conn: uint64(h.id)}
	if s.life != nil {
		e.Epoch = s.life.Epoch()
	}
	for _, e := range capture.FrameEvents(e, f) {
		s.cfg.Recorder.Add(e)
	}
}

// ---- Time.

// step moves the host's life on and writes what is to be written.
func (s *Server) step(now time.Duration) (time.Duration, bool) {
	if s.life == nil {
		return 0, false
	}
	s.carry(s.life.Step(now))
	if s.life == nil {
		return 0, false
	}
	if now >= s.reg {
		s.reg = now + time.Duration(float64(s.cfg.RegistrationInterval)*(0.8+0.4*s.rng.Float64()))
		s.announce()
	}
	next := s.reg
	if at, ok := s.life.Next(); ok {
		next = min(next, at)
	}
	return next, true
}

// carry writes what the host does, one write a connection.
func (s *Server) carry(out []hostmodel.Output) {
	var touched []*conn
	for _, o := range out {
		h := s.conns[o.Conn]
		if h == nil || s.deaf || s.mute[h] {
			continue
		}
		if o.Frame == nil {
			s.flush(h)
			h.c.Close()
			continue
		}
		s.note(h, o.Frame, s.cfg.Clock.Now())
		if len(h.buf) == 0 {
			touched = append(touched, h)
		}
		h.buf = hostproto.Append(h.buf, o.Frame)
	}
	for _, h := range touched {
		s.flush(h)
	}
	if s.life != nil && s.life.Dead() {
		s.down(true)
	}
}

func (s *Server) flush(h *conn) {
	if len(h.buf) == 0 {
		return
	}
	if s.torn {
		s.torn = false
		_ = h.c.Write(h.buf[:len(h.buf)/2])
		h.buf = h.buf[:0]
		h.c.Close()
		return
	}
	if s.out > 0 {
		late := append([]byte(nil), h.buf...)
		time.AfterFunc(s.out, func() { _ = h.c.Write(late) })
	} else {
		_ = h.c.Write(h.buf) // a failed write closes the connection, which is heard of by Closed
	}
	h.buf = h.buf[:0]
}

// ---- The catalogue.

// entry is the host as it registers.
func (s *Server) entry() core.HostEntry {
	cfg := &s.cfg.Host
	e := core.HostEntry{
		Name: cfg.Name, Address: s.addr, Kind: cfg.MachineType, Zone: cfg.Zone, Rack: cfg.Rack, Started: s.life.Started(),
		Attributes: map[servicespec.Attribute]string{},
	}
	for k, v := range cfg.Labels {
		e.Attributes[servicespec.Attribute("label."+k)] = v
	}
	e.FreeCores, e.FreeMemory = s.life.Available()
	return e
}

// announce hands the registrar the newest entry; one that it has not sent yet is replaced.
func (s *Server) announce() {
	if s.cfg.CatalogAddress == "" {
		return
	}
	select {
	case <-s.register:
	default:
	}
	select {
	case s.register <- s.entry():
	default:
	}
}

func (s *Server) registrar() {
	defer s.wait.Done()
	for {
		select {
		case <-s.ended:
			return
		case e := <-s.register:
			// A registration that fails is made again by the next refresh.
			_ = s.put(&e)
		}
	}
}

func (s *Server) put(e *core.HostEntry) error {
	reg, err := consul.NewRegistration(e, s.cfg.Service)
	if err != nil {
		return err
	}
	body, err := json.Marshal(reg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.cfg.CatalogAddress+"/v1/catalog/register", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	return nil
}
