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
	maxQueuedJobs = 10_000          // limit of jobs on the event loop; if it is reached, readers of connections block
	dialTimeout   = 2 * time.Second // timeout of connecting to a placer
)

// Server runs an Emulator on sockets. Its methods are safe for concurrent use. They are executed on its event loop and
// return when it has executed them.
type Server struct {
	loop       *eventloop.Loop
	clock      *clock.Clock
	goroutines sync.WaitGroup // goroutines of listeners, connections and dials
	stopOnce   sync.Once

	placerCount int // number of placers; each listener has a socket for each of them

	// The fields below are used only on the event loop.

	emulator  *platformmodel.Emulator
	inputs    []platformmodel.Input // inputs for the next step
	listeners map[platformmodel.ListenerID]*listener
	conns     map[platformmodel.ConnID]*connection
	placers   map[int]string // addresses of the started placers, by number
	stopped   bool
	err       error // the error that Err returns
}

// Start starts a server and opens the listeners of its emulator. It returns an error if the configuration is invalid or
// a listener cannot be opened. It replaces AddressFor of the configuration.
func Start(cfg platformmodel.Config) (*Server, error) {
	if cfg.Placers > maxPlacers {
		return nil, fmt.Errorf("start platform emulators: %d placers, at most %d have an address", cfg.Placers, maxPlacers)
	}
	s := &Server{
		clock: clock.New(), listeners: map[platformmodel.ListenerID]*listener{}, conns: map[platformmodel.ConnID]*connection{},
		placers: map[int]string{}, placerCount: cfg.Placers,
	}
	cfg.AddressFor = addressFor
	var err error
	if s.emulator, err = platformmodel.New(cfg, s.clock.Now()); err != nil {
		return nil, fmt.Errorf("start platform emulators: %w", err)
	}
	s.loop = eventloop.New(s.clock, eventloop.Limits{Jobs: maxQueuedJobs}, s.step)
	s.loop.Start()
	s.loop.Call(func() { s.step(s.clock.Now()) })
	if err := s.Err(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Err returns the first error of opening or changing a listening socket. After such an error, results of the run are
// not valid.
func (s *Server) Err() (err error) {
	s.loop.Call(func() { err = s.err })
	return err
}

// recordError records the error that Err returns, unless there is one. It must be called on the event loop.
func (s *Server) recordError(err error) {
	if s.err == nil {
		s.err = err
	}
}

// InitialEvents returns the watch events so far, with which a placer is started. They contain the addresses at which the
// placer connects to the hosts. Nothing listens at these addresses if the placer's number is not below Placers of the
// configuration.
func (s *Server) InitialEvents(placer int) (events []platform.WatchEvent) {
	s.loop.Call(func() { events = s.emulator.InitialEvents(placer) })
	return events
}

// WatchAddress returns the address at which a placer connects to the watch of the endpoint list.
func (s *Server) WatchAddress(placer int) (address string) {
	s.loop.Call(func() { address = addressFor(placer, s.emulator.WatchAddress()) })
	return address
}

// Begin starts the run. The times of requests and faults in the configuration count from now.
func (s *Server) Begin() { s.loop.Call(func() { s.addInput(platformmodel.Begin{}) }) }

// PlacerStarted tells the emulator that a placer accepts connections at an address.
func (s *Server) PlacerStarted(placer int, address string) {
	s.loop.Call(func() {
		s.placers[placer] = address
		s.addInput(platformmodel.PlacerStarted{Placer: placer})
	})
}

// Now returns the time of the journal.
func (s *Server) Now() time.Duration { return s.clock.Now() }

// PlacerStopped tells the emulator that a placer has stopped.
func (s *Server) PlacerStopped(placer int) {
	s.loop.Call(func() { s.addInput(platformmodel.PlacerStopped{Placer: placer}) })
}

// Done reports whether all requests have their final outcomes.
func (s *Server) Done() (done bool) {
	s.loop.Call(func() { done = s.emulator.Done() })
	return done
}

// Requests returns a report on each request, for each owner in the order of the configuration.
func (s *Server) Requests() (reports [][]platformmodel.RequestReport) {
	s.loop.Call(func() { reports = s.emulator.Requests() })
	return reports
}

// Journal returns a copy of the journal so far.
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

// addInput queues an input for the next step.
func (s *Server) addInput(in platformmodel.Input) { s.inputs = append(s.inputs, in) }

// postInput queues an input from another goroutine. It blocks while the event loop's queue is full.
func (s *Server) postInput(in platformmodel.Input) { s.loop.PostBlocking(func() { s.addInput(in) }) }

// step steps the Emulator until its outputs cause no further inputs, and returns the time of the next call. It is the
// Step function of the event loop.
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

// execute executes an output of the Emulator.
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

// executeOnConnection executes an output on a connection. It does nothing if the connection is closed.
func (s *Server) executeOnConnection(output platformmodel.Output) {
	switch o := output.(type) {
	case platformmodel.Write:
		if c := s.conns[o.Conn]; c != nil {
			c.write(o.Bytes)
		}
	case platformmodel.CloseConnection:
		if c := s.removeConnection(o.Conn); c != nil {
			c.closeAfterFlush()
		}
	case platformmodel.ResetConnection:
		if c := s.removeConnection(o.Conn); c != nil {
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

// removeConnection removes a connection by its ID and returns it, or nil if there is no such connection.
func (s *Server) removeConnection(id platformmodel.ConnID) *connection {
	c := s.conns[id]
	delete(s.conns, id)
	return c
}

// dial connects to a placer on a separate goroutine.
func (s *Server) dial(o platformmodel.Dial) {
	address := s.placers[o.Placer]
	s.goroutines.Go(func() {
		socket, err := net.DialTimeout("tcp", address, dialTimeout)
		posted := s.loop.Post(func() {
			if err != nil {
				s.addInput(platformmodel.Disconnected{Conn: o.Conn})
				return
			}
			s.addConnection(o.Conn, socket)
			s.addInput(platformmodel.Connected{Conn: o.Conn})
		})
		if !posted && err == nil {
			_ = socket.Close() // the server is stopped
		}
	})
}

// addConnection adds a connection with the given socket and starts its goroutines.
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
