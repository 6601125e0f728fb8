package chaos

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"forkhead/internal/client"
	"forkhead/internal/parse/compose"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

const (
	maxSends           = 40 // of one submission
	resendBackoff      = 250 * time.Millisecond
	slowReaderDelay    = 2 * time.Second // before a slow reader reads anything
	disconnectingBytes = 400             // that a client reads before its stream breaks
)

// submission is a project on its way to a placer, and the outcomes on their way back. Its methods are called on one
// goroutine, but for dial.
type submission struct {
	run     *runner
	project project
	start   time.Duration // by the cluster's clock
	timeout time.Duration // of the tasks' class, until each has an outcome
	id      string        // "" until a placer has accepted it

	slowReader bool
	disconnect bool // the next streams break
}

// submit submits a project and reads its outcomes. After a lost reply it is sent again under its idempotency key, which
// each generation of a project has of its own.
func (r *runner) submit(p project, generation int) {
	r.submissions.Add(1)
	s := &submission{
		run: r, project: p, start: r.cluster.Clock.Now(), timeout: r.placementTimeout(p.load.Class),
		slowReader: r.slowReaders.Load(), disconnect: r.disconnectClients.Load(),
	}
	ctx, cancel := context.WithTimeout(r.ctx, 2*s.timeout+r.scenario.Settle)
	defer cancel()
	c := client.Client{
		Address:        r.cluster.Settings.Placers[p.placer].HTTPAddress,
		HTTPClient:     s.httpClient(),
		IdempotencyKey: fmt.Sprintf("%s-%d", p.name, generation),
		MaxSends:       maxSends,
		Backoff:        resendBackoff,
		OnAccepted:     s.accepted,
		OnOutcome:      s.outcomeRead,
		OnBrokenStream: s.streamBroken,
	}
	envelope := &placer.Envelope{Project: p.name, Files: []compose.File{{Name: p.name + ".yaml", Text: p.compose}}}
	if err := c.Submit(ctx, envelope, s.recordLatency); err != nil && s.id == "" {
		r.rejectedSubmissions.Add(1)
		return
	}
	r.projects.add(p)
	time.AfterFunc(p.load.TaskDuration[0], func() { r.projects.remove(p.name) })
}

// placementTimeout returns how long a task of a class is requested.
func (r *runner) placementTimeout(class string) time.Duration {
	i, _ := r.scenario.Settings.ClassIndex(class) // the scenario has been checked
	return r.scenario.Settings.Classes[i].PlacementTimeout
}

// httpClient returns a client that opens a connection for each request and misbehaves as the current faults require.
func (s *submission) httpClient() *http.Client {
	var transport http.RoundTripper = &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: s.dial}
	if s.run.duplicateOutcomes.Load() {
		transport = duplicatingTransport{transport}
	}
	return &http.Client{Transport: transport}
}

func (s *submission) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if s.slowReader {
		conn = &slowReadConn{Conn: conn, until: time.Now().Add(slowReaderDelay)}
	}
	if s.disconnect {
		conn = &disconnectingConn{Conn: conn, remaining: disconnectingBytes}
	}
	return conn, nil
}

// accepted takes the beginning of a reply. The ID of a resubmission may be another one: the placer may have restarted.
func (s *submission) accepted(id string) {
	if s.id != "" {
		s.run.resentSubmissions.Add(1)
	}
	s.id = id
	s.run.recorder.Add(capture.Event{
		At: s.run.cluster.Clock.Now(), Type: capture.Submit, Placer: s.project.placer, Submission: id,
		Count: s.project.tasks, Within: s.timeout,
	})
}

func (s *submission) streamBroken(id string) {
	s.disconnect = false
	s.run.recorder.Add(capture.Event{At: s.run.cluster.Clock.Now(), Type: capture.ClientDisconnected, Submission: id})
}

// outcomeRead takes every outcome that was read, also those that came before: each incarnation of a placer reports
// outcomes of its own.
func (s *submission) outcomeRead(o core.Outcome) {
	s.run.recorder.Add(capture.Event{
		At: s.run.cluster.Clock.Now(), Type: capture.Outcome, Placer: s.project.placer, Submission: s.id,
		Name: fmt.Sprintf("%s/%d", o.Service, o.Replica), Result: string(o.Outcome), Took: time.Duration(o.TookMS) * time.Millisecond,
	})
}

// recordLatency takes each task's first outcome.
func (s *submission) recordLatency(o core.Outcome) {
	if o.Outcome == core.OutcomePlaced {
		s.run.latencies.add(s.run.cluster.Clock.Now() - s.start)
	}
}

// slowReadConn is the connection of a client that reads nothing for a while.
type slowReadConn struct {
	net.Conn
	until time.Time
}

// Read waits first.
func (c *slowReadConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Read(b)
}

// disconnectingConn is a connection that breaks once a number of bytes were read.
type disconnectingConn struct {
	net.Conn
	remaining int // bytes
}

var errDisconnected = errors.New("cut by the script")

// Read fails with errDisconnected once nothing remains.
func (c *disconnectingConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		_ = c.Close() // errDisconnected says enough
		return 0, errDisconnected
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
