package platform

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
)

const (
	maxQueuedJobs = 10_000          // on the event loop, before readers wait
	dialTimeout   = 2 * time.Second // of connections to placers
)

// Server is an Emulator on sockets. Its methods are safe for concurrent use; they wait for its event loop.
type Server struct {
	loop       *eventloop.Loop
	clock      *clock.Clock
	goroutines sync.WaitGroup // of listeners, connections and dials
	stopOnce   sync.Once

	numberOfPlacers int // each has a socket of each listener

	// Of the event loop's goroutine.
	emulator  *platformmodel.Emulator
	inputs    []platformmodel.Input // for the next step
	listeners map[platformmodel.ListenerID]*listener
	conns     map[platformmodel.ConnID]*connection
	placers   map[int]string // addresses
	stopped   bool
	err       error
}

// Start starts an emulator whose listeners are open. It returns an error for a configuration that contradicts itself, or if
// it cannot listen. AddressFor of the configuration is the server's own.
func Start(cfg platformmodel.Config) (*Server, error) {
	if cfg.Placers > maxPlacers {
		return nil, fmt.Errorf("start the emulators: %d placers; at most %d have an address", cfg.Placers, maxPlacers)
	}
	s := &Server{
		clock: clock.New(), listeners: map[platformmodel.ListenerID]*listener{}, conns: map[platformmodel.ConnID]*connection{},
		placers: map[int]string{}, numberOfPlacers: cfg.Placers,
	}
	cfg.AddressFor = addressFor
	var err error
	if s.emulator, err = platformmodel.New(cfg, s.clock.Now()); err != nil {
		return nil, fmt.Errorf("start the emulators: %w", err)
	}
	s.loop = eventloop.New(s.clock, maxQueuedJobs, s.step)
	s.loop.Start()
	s.loop.Call(func() { s.step(s.clock.Now()) })
	if err := s.Err(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Err returns the first error of a socket that could not be opened, which spoils the run.
func (s *Server) Err() (err error) {
	s.loop.Call(func() { err = s.err })
	return err
}

// fail notes an error that spoils the run. It is called on the event loop.
func (s *Server) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// InitialEvents returns the events of the endpoint list so far, which a placer is started with. Its addresses are those of
// the placer, where nothing listens for a placer that the configuration does not count.
func (s *Server) InitialEvents(placer int) (events []platform.WatchEvent) {
	s.loop.Call(func() { events = s.emulator.InitialEvents(placer) })
	return events
}

// WatchAddress returns the address of the endpoint log for a placer.
func (s *Server) WatchAddress(placer int) (address string) {
	s.loop.Call(func() { address = addressFor(placer, s.emulator.WatchAddress()) })
	return address
}

// Begin starts the run: times of requests and faults count from now.
func (s *Server) Begin() { s.loop.Call(func() { s.add(platformmodel.Begin{}) }) }

// PlacerStarted says that a placer accepts connections at an address.
func (s *Server) PlacerStarted(placer int, address string) {
	s.loop.Call(func() {
		s.placers[placer] = address
		s.add(platformmodel.PlacerStarted{Placer: placer})
	})
}

// PlacerStopped says that a placer has ended.
func (s *Server) PlacerStopped(placer int) {
	s.loop.Call(func() { s.add(platformmodel.PlacerStopped{Placer: placer}) })
}

// Done reports whether each request has its final outcome.
func (s *Server) Done() (done bool) {
	s.loop.Call(func() { done = s.emulator.Done() })
	return done
}

// Requests accounts for the requests of all owners, in the order of the configuration.
func (s *Server) Requests() (reports [][]platformmodel.RequestReport) {
	s.loop.Call(func() { reports = s.emulator.Requests() })
	return reports
}

// Journal returns what was recorded so far.
func (s *Server) Journal() (journal platformmodel.Journal) {
	s.loop.Call(func() {
		journal = *s.emulator.Journal()
		journal.Records = slices.Clone(journal.Records)
	})
	return journal
}

// Stop closes all sockets and waits for all goroutines.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.loop.Call(func() {
			s.stopped = true
			for _, l := range s.listeners {
				l.close()
			}
			for _, c := range s.conns {
				c.reset()
			}
		})
		s.loop.Stop()
		s.goroutines.Wait()
	})
}

// add queues an input for the next step.
func (s *Server) add(in platformmodel.Input) { s.inputs = append(s.inputs, in) }

// post queues an input from another goroutine, and waits while too much is queued.
func (s *Server) post(in platformmodel.Input) { s.loop.PostBlocking(func() { s.add(in) }) }

// step steps the Emulator until its outputs cause no further input. It is the event loop's Step.
func (s *Server) step(now time.Duration) (next time.Duration, ok bool) {
	if s.stopped {
		return 0, false
	}
	for first := true; first || len(s.inputs) > 0; first = false {
		in := s.inputs
		s.inputs = nil
		for _, o := range s.emulator.Step(now, in...) {
			s.execute(o)
		}
	}
	return s.emulator.Next(), true
}

// execute carries out an output of the Emulator.
func (s *Server) execute(output platformmodel.Output) {
	switch o := output.(type) {
	case platformmodel.OpenListener:
		s.openListener(o)
	case platformmodel.CloseListener:
		if l := s.listeners[o.Listener]; l != nil {
			l.close()
			delete(s.listeners, o.Listener)
		}
	case platformmodel.StopAccepting:
		if l := s.listeners[o.Listener]; l != nil {
			l.stopAccepting()
		}
	case platformmodel.ResumeAccepting:
		if l := s.listeners[o.Listener]; l != nil {
			l.resumeAccepting()
		}
	case platformmodel.Dial:
		s.dial(o)
	default:
		s.executeOnConnection(output)
	}
}

// executeOnConnection carries out an output on a connection, unless that has ended.
func (s *Server) executeOnConnection(output platformmodel.Output) {
	switch o := output.(type) {
	case platformmodel.Write:
		if c := s.conns[o.Conn]; c != nil {
			c.write(o.Bytes)
		}
	case platformmodel.CloseConnection:
		if c := s.takeConnection(o.Conn); c != nil {
			c.closeAfterFlush()
		}
	case platformmodel.ResetConnection:
		if c := s.takeConnection(o.Conn); c != nil {
			c.reset()
		}
	case platformmodel.StopReading:
		if c := s.conns[o.Conn]; c != nil {
			c.setReading(false)
		}
	case platformmodel.ResumeReading:
		if c := s.conns[o.Conn]; c != nil {
			c.setReading(true)
		}
	}
}

// takeConnection forgets a connection and returns it, or nil.
func (s *Server) takeConnection(id platformmodel.ConnID) *connection {
	c := s.conns[id]
	delete(s.conns, id)
	return c
}

// dial connects to a placer on a goroutine of its own.
func (s *Server) dial(o platformmodel.Dial) {
	address := s.placers[o.Placer]
	s.goroutines.Go(func() {
		socket, err := net.DialTimeout("tcp", address, dialTimeout)
		posted := s.loop.Post(func() {
			if err != nil {
				s.add(platformmodel.Disconnected{Conn: o.Conn})
				return
			}
			s.addConnection(o.Conn, socket)
			s.add(platformmodel.Connected{Conn: o.Conn})
		})
		if !posted && err == nil {
			_ = socket.Close() // the server stops; nobody waits for it
		}
	})
}

// addConnection serves a socket.
func (s *Server) addConnection(id platformmodel.ConnID, socket net.Conn) {
	c := newConnection(s, id, socket.(*net.TCPConn))
	if s.stopped {
		c.reset()
		return
	}
	s.conns[id] = c
	s.goroutines.Go(c.read)
	s.goroutines.Go(c.writeQueued)
}
