package placer

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"mime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"forkhead/internal/parse/compose"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/protocol/http1"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/netio"
)

// Times that a client has. Slow senders hold a connection and nothing else.
const (
	headTime = 10 * time.Second // for a request's head, from the first byte or the opening
	bodyTime = 30 * time.Second // for its body
	idleTime = 60 * time.Second // between requests
	mostKey  = 200              // bytes of an Idempotency-Key
)

// EnvelopeMediaType is the media type of a submission of several files with variables.
const EnvelopeMediaType = "application/vnd.forkhead.files+json"

// Envelope is such a submission.
type Envelope struct {
	Files     []compose.File    `json:"files"`
	Others    []compose.File    `json:"others,omitempty"`
	Variables map[string]string `json:"variables,omitempty"`
	Profiles  []string          `json:"profiles,omitempty"`
	Services  []string          `json:"services,omitempty"`
	Project   string            `json:"project,omitempty"`
}

// Problem is an error by RFC 9457.
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Errors []SpecError `json:"errors,omitempty"`

	Conflict []string `json:"conflict,omitempty"` // what cannot be met together
}

// SpecError is one error of a description, where it is.
type SpecError struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Detail string `json:"detail"`
	Want   string `json:"want,omitempty"`
}

// client is one connection to the front. Requests of a connection are answered one after
// another; those sent ahead wait, within the parser's bound.
type client struct {
	s      *Server
	c      *netio.Conn
	mu     sync.Mutex // held over the parser
	p      *http1.Parser
	busy   bool
	ending atomic.Bool // to be closed once all is written
	gone   bool
	st     *stream // being written; on the loop
}

// exchange is a request that waits for the core, or a stream that goes on.
type exchange struct {
	cl     *client
	closes bool
	remove bool
}

// stream writes a submission's outcomes to a client.
type stream struct {
	cl     *client
	sub    string
	sent   int
	closes bool
	buf    []byte
}

func (s *Server) accept(c *netio.Conn) netio.Handler {
	if s.conns.Add(1) > int64(s.set.Limits.Connections) || s.stopping.Load() {
		s.conns.Add(-1)
		return &turnedAway{c: c}
	}
	return &client{s: s, c: c, p: http1.NewParser(http1.DefaultLimits(s.set.Limits.Body))}
}

// turnedAway answers the first bytes of a connection over the limit and closes it.
type turnedAway struct{ c *netio.Conn }

// Data refuses.
func (t *turnedAway) Data(c *netio.Conn, _ []byte) {
	_ = c.Write(problem(nil, Problem{Title: "Too many connections", Status: 503}, time.Second, true))
	c.Close()
}

// Closed does nothing.
func (t *turnedAway) Closed(*netio.Conn, error) {}

// Opened gives a client its time for a first request.
func (cl *client) Opened(c *netio.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !cl.busy {
		c.SetReadTimeout(headTime)
	}
}

// Data takes bytes from a client.
func (cl *client) Data(c *netio.Conn, data []byte) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	r, err := cl.p.Feed(data)
	cl.took(r, err)
}

// took handles what the parser says. cl.mu is held.
func (cl *client) took(r *http1.Request, err error) {
	var e *http1.Error
	switch {
	case errors.As(err, &e):
		if !cl.busy {
			cl.respond(problem(nil, Problem{Title: http1.StatusText(e.Status), Status: e.Status, Detail: e.Detail}, 0, true), true)
		} else {
			cl.c.CloseWith(err)
		}
	case r != nil:
		cl.busy = true
		cl.c.SetReadTimeout(0)
		cl.serve(r)
	case cl.p.Expects():
		_ = cl.c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		cl.c.SetReadTimeout(bodyTime)
	case !cl.busy && cl.p.Idle():
		cl.c.SetReadTimeout(idleTime)
	}
}

// respond writes a whole response and goes on to the next request.
func (cl *client) respond(p []byte, closes bool) {
	_ = cl.c.Write(p)
	if closes {
		cl.finish()
		return
	}
	cl.busy = false
	cl.c.SetReadTimeout(idleTime)
}

// finish closes a connection once what was written has gone out, or a while has passed.
func (cl *client) finish() {
	cl.ending.Store(true)
	if cl.c.PendingBytes() == 0 {
		cl.c.Close()
		return
	}
	cl.c.SetReadTimeout(headTime) // a reader that does not read has so long
}

// next goes on to a request that was sent ahead. It runs outside the loop.
func (cl *client) next(closes bool) {
	go func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if closes {
			cl.finish()
			return
		}
		cl.busy = false
		cl.c.SetReadTimeout(idleTime)
		r, err := cl.p.Next()
		cl.took(r, err)
	}()
}

// again goes on after a response that was written at once. cl.mu is held.
func (cl *client) again(r *http1.Request, p []byte) {
	cl.respond(p, r.Close)
	if !r.Close {
		nr, err := cl.p.Next()
		cl.took(nr, err)
	}
}

// Drained goes on with a stream that had to wait for its reader.
func (cl *client) Drained(c *netio.Conn) {
	if cl.ending.Load() {
		go c.Close()
		return
	}
	cl.s.loop.Post(func() {
		if cl.st != nil {
			cl.s.pump(cl.st)
		}
	})
}

// Closed forgets the client. What it submitted goes on.
func (cl *client) Closed(*netio.Conn, error) {
	cl.s.conns.Add(-1)
	cl.s.loop.Post(func() {
		cl.gone = true
		if cl.st != nil {
			cl.s.unfollow(cl.st)
		}
		for id, x := range cl.s.await {
			if x.cl == cl {
				delete(cl.s.await, id)
			}
		}
	})
}

// serve answers a request, or hands it to the core. cl.mu is held.
func (cl *client) serve(r *http1.Request) {
	s := cl.s
	switch {
	case r.Path == "/v1/submissions" && r.Method == "POST":
		cl.submit(r)
	case strings.HasPrefix(r.Path, "/v1/submissions/") && r.Method == "GET":
		id := strings.TrimPrefix(r.Path, "/v1/submissions/")
		s.loop.PostBlocking(func() {
			if _, _, known := s.core.Outcomes(id, 0); !known {
				s.reply(cl, r.Close, problem(nil, Problem{Title: "No such submission", Status: 404, Detail: "it never was, or was complete long ago"}, 0, r.Close))
				return
			}
			s.follow(cl, id, r.Close)
		})
	case strings.HasPrefix(r.Path, "/v1/projects/") && r.Method == "DELETE":
		name := strings.TrimPrefix(r.Path, "/v1/projects/")
		s.loop.PostBlocking(func() {
			s.request++
			s.await[s.request] = &exchange{cl: cl, closes: r.Close, remove: true}
			s.put(core.RemoveProject{Request: s.request, Project: name})
		})
	case r.Path == "/v1/status" && r.Method == "GET":
		s.loop.PostBlocking(func() {
			body, _ := json.Marshal(s.core.Status())
			body = append(body, '\n')
			fields := []http1.Field{{Name: "content-type", Value: "application/json"}}
			s.reply(cl, r.Close, append(http1.AppendHead(nil, 200, fields, len(body), r.Close), body...))
		})
	case r.Path == "/v1/submissions" || r.Path == "/v1/status" || strings.HasPrefix(r.Path, "/v1/submissions/") || strings.HasPrefix(r.Path, "/v1/projects/"):
		allow := "GET"
		if r.Path == "/v1/submissions" {
			allow = "POST"
		} else if strings.HasPrefix(r.Path, "/v1/projects/") {
			allow = "DELETE"
		}
		cl.again(r, problem([]http1.Field{{Name: "allow", Value: allow}}, Problem{Title: "Method not allowed", Status: 405, Detail: "want " + allow}, 0, r.Close))
	default:
		cl.again(r, problem(nil, Problem{Title: "No such resource", Status: 404, Detail: r.Path}, 0, r.Close))
	}
}

func (cl *client) submit(r *http1.Request) {
	s := cl.s
	if s.stopping.Load() {
		cl.again(r, problem(nil, Problem{Title: "Stopping", Status: 503, Detail: "this placer is being stopped"}, time.Second, r.Close))
		return
	}
	key := r.Get("idempotency-key")
	if len(key) > mostKey {
		cl.again(r, problem(nil, Problem{Title: "Bad Idempotency-Key", Status: 400, Detail: fmt.Sprintf("it has %d bytes, at most %d", len(key), mostKey)}, 0, r.Close))
		return
	}
	in, bad := s.readSubmission(r)
	if bad != nil {
		cl.again(r, problem(nil, *bad, 0, r.Close))
		return
	}
	d, err := compose.Parse(in)
	if err != nil {
		cl.again(r, problem(nil, InvalidSpecProblem(err), 0, r.Close))
		return
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Get("content-type") + "\n" + r.Query.Encode() + "\n"))
	_, _ = h.Write(r.Body)
	take := core.Submit{IdempotencyKey: key, BodyHash: h.Sum64(), Description: d}
	if d.Whole {
		select {
		case s.judging <- struct{}{}:
			go func() {
				defer func() { <-s.judging }()
				if conflict := s.judge(d); conflict != nil {
					s.loop.Post(func() { s.reply(cl, r.Close, problem(nil, impossible(conflict), 0, r.Close)) })
					return
				}
				s.take(cl, r.Close, take)
			}()
			return
		default: // all judges are busy: the module will tell
		}
	}
	s.take(cl, r.Close, take)
}

// take hands a submission to the core.
func (s *Server) take(cl *client, closes bool, in core.Submit) {
	s.loop.PostBlocking(func() {
		s.request++
		in.Request = s.request
		s.await[s.request] = &exchange{cl: cl, closes: closes}
		s.put(in)
	})
}

// readSubmission makes the parser's input of a request.
func (s *Server) readSubmission(r *http1.Request) (*compose.Input, *Problem) {
	in := &compose.Input{Tenants: s.set.Tenants, Variables: map[string]string{}}
	for _, c := range s.set.Classes {
		in.Classes = append(in.Classes, c.Name)
	}
	media := "application/yaml"
	if t := r.Get("content-type"); t != "" {
		m, _, err := mime.ParseMediaType(t)
		if err != nil {
			return nil, &Problem{Title: "Bad Content-Type", Status: 415, Detail: err.Error()}
		}
		media = m
	}
	switch media {
	case "application/yaml", "application/x-yaml", "text/yaml", "text/x-yaml", "text/plain", "application/x-www-form-urlencoded":
		// The last is what curl says of --data-binary if it is told nothing.
		name := r.Query.Get("file")
		if name == "" {
			name = "compose.yaml"
		}
		in.Files = []compose.File{{Name: name, Text: string(r.Body)}}
		in.Profiles, in.Services, in.Project = r.Query["profile"], r.Query["service"], r.Query.Get("project")
		for k, v := range r.Query {
			if name, ok := strings.CutPrefix(k, "var."); ok {
				in.Variables[name] = v[0]
			}
		}
	case EnvelopeMediaType:
		var e Envelope
		dec := json.NewDecoder(strings.NewReader(string(r.Body)))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			return nil, &Problem{Title: "Unreadable envelope", Status: 400, Detail: err.Error()}
		}
		in.Files, in.Others, in.Profiles, in.Services, in.Project = e.Files, e.Others, e.Profiles, e.Services, e.Project
		if e.Variables != nil {
			in.Variables = e.Variables
		}
	default:
		return nil, &Problem{Title: "Unknown Content-Type", Status: 415, Detail: "want application/yaml or " + EnvelopeMediaType}
	}
	return in, nil
}

// InvalidSpecProblem makes a Problem of a parser's error.
func InvalidSpecProblem(err error) Problem {
	p := Problem{Type: "urn:forkhead:bad-description", Title: "The description cannot be used", Status: 422, Detail: err.Error()}
	var walk func(err error)
	walk = func(err error) {
		if many, ok := err.(interface{ Unwrap() []error }); ok {
			for _, e := range many.Unwrap() {
				walk(e)
			}
			return
		}
		if e := diagnostic.First(err); e != nil {
			p.Errors = append(p.Errors, SpecError{File: e.Pos.File, Line: e.Pos.Line, Column: e.Pos.Col, Detail: e.What, Want: e.Want})
		}
	}
	walk(err)
	return p
}

// problem writes a whole response with a Problem as its body.
func problem(fields []http1.Field, p Problem, retryAfter time.Duration, closes bool) []byte {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	body, _ := json.Marshal(p)
	body = append(body, '\n')
	fields = append(fields, http1.Field{Name: "content-type", Value: "application/problem+json"})
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		fields = append(fields, http1.Field{Name: "retry-after", Value: strconv.FormatInt(seconds, 10)})
	}
	return append(http1.AppendHead(nil, p.Status, fields, len(body), closes), body...)
}

// ---- On the loop.

// reply writes a whole response and lets the client go on.
func (s *Server) reply(cl *client, closes bool, p []byte) {
	if cl.gone {
		return
	}
	_ = cl.c.Write(p)
	cl.next(closes)
}

func (s *Server) taken(o core.Accepted) {
	x := s.await[o.Request]
	if x == nil {
		return
	}
	delete(s.await, o.Request)
	if x.remove {
		s.reply(x.cl, x.closes, http1.AppendHead(nil, 202, nil, 0, x.closes))
		return
	}
	s.follow(x.cl, o.Submission, x.closes)
}

func (s *Server) rejected(o core.Rejected) {
	x := s.await[o.Request]
	if x == nil {
		return
	}
	delete(s.await, o.Request)
	s.reply(x.cl, x.closes, problem(nil, Problem{Title: o.Title, Status: o.Status, Detail: o.Detail}, o.RetryAfter, x.closes))
}

// follow streams a submission's outcomes to a client until it is complete.
func (s *Server) follow(cl *client, id string, closes bool) {
	if cl.gone {
		return
	}
	st := &stream{cl: cl, sub: id, closes: closes}
	cl.st = st
	if s.follows[id] == nil {
		s.follows[id] = map[*stream]bool{}
	}
	s.follows[id][st] = true
	fields := []http1.Field{
		{Name: "content-type", Value: "application/x-ndjson"}, {Name: "location", Value: "/v1/submissions/" + id},
		{Name: "cache-control", Value: "no-store"},
	}
	_ = cl.c.Write(http1.AppendHead(nil, 200, fields, -1, closes))
	s.pump(st)
}

func (s *Server) unfollow(st *stream) {
	st.cl.st = nil
	delete(s.follows[st.sub], st)
	if len(s.follows[st.sub]) == 0 {
		delete(s.follows, st.sub)
	}
}

// pump writes as many outcomes as the reader has room for. A reader that does not read holds
// Buffer bytes and no more: the rest stays with the submission until it reads on.
func (s *Server) pump(st *stream) {
	list, complete, known := s.core.Outcomes(st.sub, st.sent)
	room := s.set.Limits.Buffer - st.cl.c.PendingBytes()
	lines := st.buf[:0]
	n := 0
	for ; n < len(list) && len(lines) < room; n++ {
		line, err := json.Marshal(&list[n])
		if err != nil {
			continue
		}
		lines = append(append(lines, line...), '\n')
	}
	st.sent += n
	st.buf = lines
	var out []byte
	out = http1.AppendChunk(out, lines)
	end := !known || complete && n == len(list)
	if end {
		out = append(out, http1.LastChunk...)
	}
	if len(out) > 0 {
		_ = st.cl.c.Write(out)
	}
	if end {
		s.unfollow(st)
		st.cl.next(st.closes)
	}
}
