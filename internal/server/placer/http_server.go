package placer

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"forkhead/internal/protocol/http1"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/netio"
)

// Timeouts of a client. Until they expire, a slow client occupies its connection, but no goroutine.
const (
	firstRequestTimeout = 10 * time.Second // from the opening of a connection until its first request is complete
	nextRequestTimeout  = 60 * time.Second // from a response until the next request is complete
	bodyTimeout         = 30 * time.Second // for the body after 100 Continue; replaces the two timeouts above
	flushTimeout        = 10 * time.Second // for the client to read the last response of a connection
)

const (
	// writeBufferReserve is the number of bytes by which a connection's write buffer is larger than Limits.BufferBytes,
	// the bound of the outcomes in it. The reserve is for response heads, problems and the one line of outcomes that
	// may exceed that bound.
	writeBufferReserve = 1 << 20
	// rejectedRetryAfter is the Retry-After of responses with which this package rejects a request or a connection.
	rejectedRetryAfter = time.Second
	// idlePollInterval is the time between two checks of waitUntilIdle.
	idlePollInterval = 10 * time.Millisecond
)

// httpServer serves the placer's HTTP API.
type httpServer struct {
	placer      *Server
	listener    *netio.Listener // set before Start returns
	connections atomic.Int64    // number of open connections, without those that were rejected
	unfinished  requestMemory   // requests that are not complete
	feasibility *feasibilityChecker

	// The remaining fields belong to the loop.
	lastRequest uint64                             // number of the request that was last added to pending
	pending     map[uint64]*pendingRequest         // requests without a result of the core, by request number
	streams     map[string]map[*outcomeStream]bool // unfinished outcome streams, by submission ID
}

// pendingRequest is a request for which the core has not yet emitted Accepted or Rejected.
type pendingRequest struct {
	conn       *httpConn
	closeAfter bool // whether to close the connection after the response
	removal    bool // true: the request removes a project; false: it is a submission, whose outcomes the response streams
}

// newHTTPServer returns a server that does not listen yet.
func newHTTPServer(s *Server) *httpServer {
	return &httpServer{
		placer: s, feasibility: newFeasibilityChecker(s.settings),
		pending: map[uint64]*pendingRequest{}, streams: map[string]map[*outcomeStream]bool{},
	}
}

// listen opens the listener and starts to accept connections.
func (h *httpServer) listen(address string) error {
	var err error
	h.listener, err = h.placer.engine.Listen(address, h.placer.settings.Limits.BufferBytes+writeBufferReserve, h.accept)
	return err
}

// accept returns the handler of a new connection. It runs on the listener's goroutine.
func (h *httpServer) accept(c *netio.Conn) netio.Handler {
	if h.connections.Add(1) > int64(h.placer.settings.Limits.Connections) || h.stopping() {
		h.connections.Add(-1)
		return rejectedConn{}
	}
	return &httpConn{server: h, conn: c, buffered: bufferedRequest{memory: &h.unfinished}, parser: http1.NewParser(http1.DefaultLimits(h.placer.settings.Limits.BodyBytes))}
}

// stopping reports whether the placer accepts no further connections and submissions.
func (h *httpServer) stopping() bool { return h.placer.accepting.Err() != nil }

// waitUntilIdle returns when no request is pending and no outcome stream is unfinished, or when ctx is done.
func (h *httpServer) waitUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		busy := false
		h.placer.loop.Call(func() { busy = len(h.pending) > 0 || len(h.streams) > 0 })
		if !busy {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// rejectedConn is the handler of a connection beyond the limit, or of one that is accepted while the placer stops. It
// responds to the first bytes with 503 and closes the connection.
type rejectedConn struct{}

// Data implements netio.Handler.
func (rejectedConn) Data(c *netio.Conn, _ []byte) {
	p := problemResponse{
		Problem:    Problem{Title: "Too many connections", Status: http.StatusServiceUnavailable},
		retryAfter: rejectedRetryAfter,
	}
	_ = c.Write(p.encode(true))
	c.Close()
}

// Closed implements netio.Handler.
func (rejectedConn) Closed(*netio.Conn, error) {}

// httpConn is one connection of a client. Its requests are answered one after another. Pipelined requests wait in the
// parser, within its limits.
type httpConn struct {
	server   *httpServer
	conn     *netio.Conn
	buffered bufferedRequest // bytes of the request that is not complete

	mu     sync.Mutex // held while the parser is used: by a poller, or by a goroutine that resume has started
	parser *http1.Parser
	busy   bool // whether a request is being answered

	// The remaining fields belong to the loop.
	closed bool
	stream *outcomeStream // outcome stream that is being written; nil: there is none
}

// Opened implements netio.Opener: it starts the timeout of the first request.
func (c *httpConn) Opened(conn *netio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		conn.SetReadTimeout(firstRequestTimeout)
	}
}

// Data implements netio.Handler: it feeds received bytes to the parser and handles a complete request.
func (c *httpConn) Data(_ *netio.Conn, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, err := c.parser.Feed(data)
	if request == nil && err == nil {
		c.buffered.set(c.conn, c.parser.BufferedBytes())
		if !c.busy && c.buffered.exceedsShare(c.server.connections.Load()) {
			c.buffered.release()
			c.parser = http1.NewParser(http1.Limits{}) // drops what was received; the connection is closed
			c.respond(busyProblem().encode(true), true)
			return
		}
	} else {
		c.buffered.release()
	}
	c.handleParsed(request, err)
}

// Drained implements netio.Drainer: it continues an outcome stream that waited for the client to read.
func (c *httpConn) Drained(*netio.Conn) {
	c.server.placer.loop.Post(func() {
		if c.stream != nil {
			c.server.writeOutcomes(c.stream)
		}
	})
}

// Closed implements netio.Handler: it drops the client's requests, but not the submissions that were passed to the
// core.
func (c *httpConn) Closed(*netio.Conn, error) {
	h := c.server
	c.buffered.release()
	h.connections.Add(-1)
	h.placer.loop.Post(func() {
		c.closed = true
		if c.stream != nil {
			h.endStream(c.stream)
		}
		for number, request := range h.pending {
			if request.conn == c {
				delete(h.pending, number)
			}
		}
	})
}

// handleParsed handles the result of the parser: a request, an error, or neither if it needs more bytes. c.mu is held.
func (c *httpConn) handleParsed(request *http1.Request, err error) {
	var invalid *http1.Error
	switch {
	case errors.As(err, &invalid):
		if c.busy { // an error response could be mixed up with the response that is being written
			c.conn.CloseWith(err)
			return
		}
		p := Problem{Title: http1.StatusText(invalid.Status), Status: invalid.Status, Detail: invalid.Detail}
		c.respond(problemResponse{Problem: p}.encode(true), true)
	case request != nil:
		c.busy = true
		c.conn.SetReadTimeout(0)
		c.serve(request)
	case c.parser.ShouldSendContinue():
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		c.conn.SetReadTimeout(bodyTimeout)
	case !c.busy && c.parser.Idle():
		c.conn.SetReadTimeout(nextRequestTimeout)
	}
}

// respond writes a complete response and calls proceed. c.mu is held.
func (c *httpConn) respond(response []byte, closeAfter bool) {
	_ = c.conn.Write(response) // a failed write closes the connection, and netio calls Closed
	c.proceed(closeAfter)
}

// respondProblem responds to a request with a problem and calls proceed. c.mu is held.
func (c *httpConn) respondProblem(request *http1.Request, p problemResponse) {
	c.respond(p.encode(request.Close), request.Close)
}

// proceed closes the connection once all responses are written, or starts with the next request, which may have been
// received already. c.mu is held.
func (c *httpConn) proceed(closeAfter bool) {
	if closeAfter {
		c.conn.SetReadTimeout(0)
		c.conn.CloseAfterFlush(flushTimeout)
		return
	}
	if c.conn.PeerClosed() { // the client has left: its further requests are not carried out
		c.conn.Close()
		return
	}
	c.busy = false
	c.conn.SetReadTimeout(nextRequestTimeout)
	request, err := c.parser.Next()
	c.handleParsed(request, err)
}

// resume calls proceed for the loop, on another goroutine. The loop itself must not wait for c.mu, as the holder of
// c.mu may be waiting for space in the loop's queue.
func (c *httpConn) resume(closeAfter bool) {
	c.server.placer.spawn(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.proceed(closeAfter)
	})
}

// respondFromLoop writes a complete response and calls resume. It runs on the loop.
func (c *httpConn) respondFromLoop(response []byte, closeAfter bool) {
	if c.closed {
		return
	}
	_ = c.conn.Write(response)
	c.resume(closeAfter)
}

// route is a method of a resource. A path that ends with a slash matches all paths below it. handle gets the rest of
// the path in its parameter called name.
type route struct {
	path   string
	method string
	handle func(c *httpConn, request *http1.Request, name string)
}

// findRoute returns the route that matches a path, and the part of the path after the route's path.
func findRoute(path string) (r route, name string, ok bool) {
	for _, r := range []route{
		{"/v1/submissions", http.MethodPost, (*httpConn).submit},
		{"/v1/submissions/", http.MethodGet, (*httpConn).getOutcomes},
		{"/v1/projects/", http.MethodDelete, (*httpConn).removeProject},
		{"/v1/status", http.MethodGet, (*httpConn).getStatus},
	} {
		name, found := strings.CutPrefix(path, r.path)
		if found && (name == "" || strings.HasSuffix(r.path, "/")) {
			return r, name, true
		}
	}
	return route{}, "", false
}

// serve responds to a request or passes it to the core. c.mu is held.
func (c *httpConn) serve(request *http1.Request) {
	route, name, ok := findRoute(request.Path)
	switch {
	case !ok:
		p := Problem{Title: "No such resource", Status: http.StatusNotFound, Detail: request.Path}
		c.respondProblem(request, problemResponse{Problem: p})
	case request.Method != route.method:
		p := Problem{Title: "Method not allowed", Status: http.StatusMethodNotAllowed, Detail: "want " + route.method}
		c.respondProblem(request, problemResponse{Problem: p, header: []http1.Field{{Name: "allow", Value: route.method}}})
	default:
		route.handle(c, request, name)
	}
}

// removeProject passes the removal of a project to the core. c.mu is held.
func (c *httpConn) removeProject(request *http1.Request, name string) {
	h := c.server
	h.placer.loop.PostBlocking(func() {
		number := h.addPending(&pendingRequest{conn: c, closeAfter: request.Close, removal: true})
		h.placer.addInput(core.RemoveProject{Request: number, Project: name})
	})
}

// getStatus responds with the core's status. c.mu is held.
func (c *httpConn) getStatus(request *http1.Request, _ string) {
	s := c.server.placer
	s.loop.PostBlocking(func() {
		header := []http1.Field{{Name: "content-type", Value: "application/json"}}
		c.respondFromLoop(jsonResponse(http.StatusOK, header, s.core.Status(), request.Close), request.Close)
	})
}

// addPending registers a request that is about to be passed to the core, and returns its number. It runs on the loop.
func (h *httpServer) addPending(request *pendingRequest) uint64 {
	h.lastRequest++
	h.pending[h.lastRequest] = request
	return h.lastRequest
}

// takePending removes and returns a pending request, or returns nil if its connection is closed. It runs on the loop.
func (h *httpServer) takePending(number uint64) *pendingRequest {
	request := h.pending[number]
	delete(h.pending, number)
	return request
}

// requestAccepted responds to a request that the core has accepted. It runs on the loop.
func (h *httpServer) requestAccepted(o core.Accepted) {
	request := h.takePending(o.Request)
	if request == nil {
		return
	}
	if request.removal {
		response := http1.AppendHead(nil, http.StatusAccepted, nil, 0, request.closeAfter)
		request.conn.respondFromLoop(response, request.closeAfter)
		return
	}
	h.streamOutcomes(request.conn, o.Submission, request.closeAfter)
}

// requestRejected responds to a request that the core has rejected. It runs on the loop.
func (h *httpServer) requestRejected(o core.Rejected) {
	request := h.takePending(o.Request)
	if request == nil {
		return
	}
	p := problemResponse{Problem: Problem{Title: o.Title, Status: o.Status, Detail: o.Detail}, retryAfter: o.RetryAfter}
	request.conn.respondFromLoop(p.encode(request.closeAfter), request.closeAfter)
}
