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

// How long a client may take. A slow one holds its connection and nothing else.
const (
	firstRequestTimeout = 10 * time.Second // from the opening of the connection to the end of its first request
	nextRequestTimeout  = 60 * time.Second // from a response to the end of the next request
	bodyTimeout         = 30 * time.Second // for a body after 100 (Continue), in place of the two above
	flushTimeout        = 10 * time.Second // to read the last response of a connection
)

const (
	// writeBufferReserve is what a connection may hold unwritten beside the outcomes that Limits.BufferBytes bounds: response
	// heads, problems and one line more than the bound, in bytes.
	writeBufferReserve = 1 << 20
	// rejectedRetryAfter is sent to clients that are to try again later.
	rejectedRetryAfter = time.Second
	// idlePollInterval is how often waitUntilIdle looks.
	idlePollInterval = 10 * time.Millisecond
)

// httpServer serves the placer's HTTP API.
type httpServer struct {
	placer      *Server
	listener    *netio.Listener // set before Start returns
	connections atomic.Int64    // open ones, without those over the limit
	feasibility *feasibilityChecker

	// The rest belongs to the loop.
	lastRequest uint64
	pending     map[uint64]*pendingRequest         // requests that the core has not answered, by their number
	streams     map[string]map[*outcomeStream]bool // unfinished responses, by submission
}

// pendingRequest is a request that the core is to answer with Accepted or Rejected.
type pendingRequest struct {
	conn       *httpConn
	closeAfter bool // the connection, once it is answered
	removal    bool // of a project; else a submission, whose outcomes are the answer
}

func newHTTPServer(s *Server) *httpServer {
	return &httpServer{
		placer: s, feasibility: newFeasibilityChecker(s.settings),
		pending: map[uint64]*pendingRequest{}, streams: map[string]map[*outcomeStream]bool{},
	}
}

// listen opens the listener.
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
	return &httpConn{server: h, conn: c, parser: http1.NewParser(http1.DefaultLimits(h.placer.settings.Limits.BodyBytes))}
}

// stopping reports whether nothing new is taken any more.
func (h *httpServer) stopping() bool { return h.placer.accepting.Err() != nil }

// waitUntilIdle returns when no request waits for the core and no stream of outcomes is unfinished, or ctx is done.
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

// rejectedConn is the handler of a connection over the limit: it answers the first bytes and closes.
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

// httpConn is one connection of a client. Its requests are answered one after another; those that are sent ahead wait in
// the parser, within its bound.
type httpConn struct {
	server *httpServer
	conn   *netio.Conn

	mu     sync.Mutex // held by whoever uses the parser: a poller, or a goroutine of resume
	parser *http1.Parser
	busy   bool // a request is being answered

	// The rest belongs to the loop.
	closed bool
	stream *outcomeStream // being written; nil: none
}

// Opened implements netio.Opener: the time for the first request begins.
func (c *httpConn) Opened(conn *netio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		conn.SetReadTimeout(firstRequestTimeout)
	}
}

// Data implements netio.Handler.
func (c *httpConn) Data(_ *netio.Conn, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, err := c.parser.Feed(data)
	c.handleParsed(request, err)
}

// Drained implements netio.Drainer: a stream of outcomes that waited for its reader goes on.
func (c *httpConn) Drained(*netio.Conn) {
	c.server.placer.loop.Post(func() {
		if c.stream != nil {
			c.server.writeOutcomes(c.stream)
		}
	})
}

// Closed implements netio.Handler: the client's requests are dropped, what it has submitted goes on.
func (c *httpConn) Closed(*netio.Conn, error) {
	h := c.server
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

// handleParsed acts on what the parser returned: a request, an error, or neither as more bytes are needed. c.mu is held.
func (c *httpConn) handleParsed(request *http1.Request, err error) {
	var invalid *http1.Error
	switch {
	case errors.As(err, &invalid):
		if c.busy { // the answer would come between others
			c.conn.CloseWith(err)
			return
		}
		p := Problem{Title: http1.StatusText(invalid.Status), Status: invalid.Status, Detail: invalid.Detail}
		c.respond(problemResponse{Problem: p}.encode(true), true)
	case request != nil:
		c.busy = true
		c.conn.SetReadTimeout(0)
		c.serve(request)
	case c.parser.Expects():
		_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		c.conn.SetReadTimeout(bodyTimeout)
	case !c.busy && c.parser.Idle():
		c.conn.SetReadTimeout(nextRequestTimeout)
	}
}

// respond writes a complete response and goes on. c.mu is held.
func (c *httpConn) respond(response []byte, closeAfter bool) {
	_ = c.conn.Write(response) // a failed write closes the connection, which Closed reports
	c.proceed(closeAfter)
}

// respondProblem answers a request with a problem and goes on. c.mu is held.
func (c *httpConn) respondProblem(request *http1.Request, p problemResponse) {
	c.respond(p.encode(request.Close), request.Close)
}

// proceed closes the connection once all is written, or goes on to the next request, which may have been sent ahead. c.mu
// is held.
func (c *httpConn) proceed(closeAfter bool) {
	if closeAfter {
		c.conn.SetReadTimeout(0)
		c.conn.CloseAfterFlush(flushTimeout)
		return
	}
	c.busy = false
	c.conn.SetReadTimeout(nextRequestTimeout)
	request, err := c.parser.Next()
	c.handleParsed(request, err)
}

// resume is proceed for the loop. The loop must not wait for c.mu, whose holder may wait for space in the loop's queue.
func (c *httpConn) resume(closeAfter bool) {
	c.server.placer.spawn(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.proceed(closeAfter)
	})
}

// respondFromLoop is respond for the loop.
func (c *httpConn) respondFromLoop(response []byte, closeAfter bool) {
	if c.closed {
		return
	}
	_ = c.conn.Write(response)
	c.resume(closeAfter)
}

// route is a method of a resource. A path that ends with a slash matches all paths below it; handle gets the rest.
type route struct {
	path   string
	method string
	handle func(c *httpConn, request *http1.Request, name string)
}

// findRoute returns the route of a path and what follows the route's path.
func findRoute(path string) (r route, name string, ok bool) {
	for _, r := range []route{
		{"/v1/submissions", http.MethodPost, (*httpConn).submit},
		{"/v1/submissions/", http.MethodGet, (*httpConn).readOutcomes},
		{"/v1/projects/", http.MethodDelete, (*httpConn).removeProject},
		{"/v1/status", http.MethodGet, (*httpConn).readStatus},
	} {
		name, found := strings.CutPrefix(path, r.path)
		if found && (name == "" || strings.HasSuffix(r.path, "/")) {
			return r, name, true
		}
	}
	return route{}, "", false
}

// serve answers a request or hands it to the core. c.mu is held.
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

// removeProject hands the removal of a project to the core.
func (c *httpConn) removeProject(request *http1.Request, name string) {
	h := c.server
	h.placer.loop.PostBlocking(func() {
		number := h.addPending(&pendingRequest{conn: c, closeAfter: request.Close, removal: true})
		h.placer.addInput(core.RemoveProject{Request: number, Project: name})
	})
}

// readStatus answers with the core's counts.
func (c *httpConn) readStatus(request *http1.Request, _ string) {
	s := c.server.placer
	s.loop.PostBlocking(func() {
		header := []http1.Field{{Name: "content-type", Value: "application/json"}}
		c.respondFromLoop(jsonResponse(http.StatusOK, header, s.core.Status(), request.Close), request.Close)
	})
}

// addPending numbers a request that is to be handed to the core. It runs on the loop.
func (h *httpServer) addPending(request *pendingRequest) uint64 {
	h.lastRequest++
	h.pending[h.lastRequest] = request
	return h.lastRequest
}

// takePending returns a request that the core has answered, or nil if its client has left. It runs on the loop.
func (h *httpServer) takePending(number uint64) *pendingRequest {
	request := h.pending[number]
	delete(h.pending, number)
	return request
}

// requestAccepted answers a request that the core has taken. It runs on the loop.
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

// requestRejected answers a request that the core has rejected. It runs on the loop.
func (h *httpServer) requestRejected(o core.Rejected) {
	request := h.takePending(o.Request)
	if request == nil {
		return
	}
	p := problemResponse{Problem: Problem{Title: o.Title, Status: o.Status, Detail: o.Detail}, retryAfter: o.RetryAfter}
	request.conn.respondFromLoop(p.encode(request.closeAfter), request.closeAfter)
}
