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
	maxSends           = 40 // attempts to send one submission
	resendBackoff      = 250 * time.Millisecond
	slowReaderDelay    = 2 * time.Second // time until a slow reader reads anything
	disconnectingBytes = 400             // bytes that a client reads before its stream breaks
)

// submission is the submission of a project to a placer and the stream of its outcomes. Its methods, except dial, are
// called on one goroutine.
type submission struct {
	run     *runner
	project project
	start   time.Duration // by the cluster's clock
	timeout time.Duration // placement timeout of the tasks' class
	id      string        // ID from the placer; "" until a placer has accepted the submission

	slowReader bool
	disconnect bool // the submission's next streams of outcomes break
}

// submit submits a project and reads its outcomes. After a lost reply it sends the project again under the same
// idempotency key. The parameter generation is 0 for the first submission of a project and 1 for a submission after a
// deletion; the two have different keys.
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

// placementTimeout returns the placement timeout of a class.
func (r *runner) placementTimeout(class string) time.Duration {
	i, _ := r.scenario.Settings.ClassIndex(class) // scenario.Read has checked that the class exists
	return r.scenario.Settings.Classes[i].PlacementTimeout
}

// httpClient returns a client that opens a connection for each request. Depending on the faults that are being
// injected, the client may read late, lose its connection or read a second outcome of a task.
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

// accepted records that a placer has accepted the submission. The ID may differ from that of an earlier reply, because
// the placer may have restarted.
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

// outcomeRead records an outcome each time the client reads it. If the client has read the outcome on an earlier
// stream, it is recorded again, since each incarnation of a placer reports its own outcomes.
func (s *submission) outcomeRead(o core.Outcome) {
	s.run.recorder.Add(capture.Event{
		At: s.run.cluster.Clock.Now(), Type: capture.Outcome, Placer: s.project.placer, Submission: s.id,
		Name: fmt.Sprintf("%s/%d", o.Service, o.Replica), Result: string(o.Outcome), Took: time.Duration(o.TookMS) * time.Millisecond,
	})
}

// recordLatency records the latency of a task that was placed. It is called with the first outcome of each task.
func (s *submission) recordLatency(o core.Outcome) {
	if o.Outcome == core.OutcomePlaced {
		s.run.latencies.add(s.run.cluster.Clock.Now() - s.start)
	}
}

// slowReadConn is the connection of a client that reads nothing before a given time.
type slowReadConn struct {
	net.Conn
	until time.Time
}

// Read waits until c.until before it reads.
func (c *slowReadConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.Conn.Read(b)
}

// disconnectingConn is a connection that breaks after a given number of bytes have been read.
type disconnectingConn struct {
	net.Conn
	remaining int // bytes until the connection breaks
}

var errDisconnected = errors.New("connection broken by the scenario")

// Read fails with errDisconnected once no bytes remain.
func (c *disconnectingConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		_ = c.Close() // an error of Close is ignored: Read returns errDisconnected
		return 0, errDisconnected
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
