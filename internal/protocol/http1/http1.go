// Package http1 reads HTTP/1.1 requests from a stream, byte by byte if need be, and writes
// responses (RFC 9112). It holds no connection. It is strict: what RFC 9112 lets a server
// refuse, and what has been used to smuggle requests past it, is refused.
package http1

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Limits bound a request.
type Limits struct {
	Line    int // bytes of the request line
	Headers int // bytes of all fields, trailers included
	Fields  int // number of fields, trailers included
	Body    int // bytes of the body
}

// DefaultLimits are usual ones, with a body of so many bytes.
func DefaultLimits(body int) Limits {
	return Limits{Line: 8 << 10, Headers: 16 << 10, Fields: 64, Body: body}
}

// Field is a header field. Names are in lower case.
type Field struct{ Name, Value string }

// Request is a complete request.
type Request struct {
	Method  string
	Path    string // decoded
	Query   url.Values
	Fields  []Field
	Body    []byte
	Minor   int  // of the version: 0 or 1
	Close   bool // the connection ends after the response
	Chunked bool // its body came in chunks
}

// Get returns the value of the first field of that name, which is in lower case.
func (r *Request) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Error is a request that is refused. The connection is closed after the response.
type Error struct {
	Status int
	Detail string
}

// Error says why.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Detail) }

func refuse(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

type state uint8

const (
	atLine state = iota
	atFields
	atBody
	atChunk    // a chunk's size
	atChunkEnd // the CRLF behind a chunk
	atTrailers
	atDone
)

// Parser reads requests of one connection. After a complete request it takes no more until
// Next; what comes meanwhile is kept, up to MaxPipelinedBytes.
type Parser struct {
	lim    Limits
	state  state
	buf    []byte // not yet read
	req    *Request
	left   int // of the body or chunk
	fields int // bytes of fields so far
	blank  bool
	length bool // a Content-Length came
	err    *Error
	expect bool
}

// MaxPipelinedBytes is how many bytes a client may send ahead of the response.
const MaxPipelinedBytes = 64 << 10

// NewParser returns a parser with limits.
func NewParser(lim Limits) *Parser { return &Parser{lim: lim} }

// Feed takes bytes and returns a request once it is complete. It returns the same error ever
// after the first.
func (p *Parser) Feed(data []byte) (*Request, error) {
	if p.err != nil {
		return nil, p.err
	}
	p.buf = append(p.buf, data...)
	if p.state == atDone {
		if len(p.buf) > MaxPipelinedBytes {
			return nil, p.fail(refuse(400, "more than %d bytes ahead of the response", MaxPipelinedBytes))
		}
		return nil, nil
	}
	return p.run()
}

// Next goes on to the next request of the connection, which may be there already.
func (p *Parser) Next() (*Request, error) {
	if p.err != nil {
		return nil, p.err
	}
	p.state, p.req, p.blank, p.fields, p.length, p.expect = atLine, nil, false, 0, false, false
	return p.run()
}

// Idle says whether no part of a request has come.
func (p *Parser) Idle() bool { return p.state == atLine && len(p.buf) == 0 }

// Expects says, once, whether the client waits for 100 (Continue) before it sends the body.
func (p *Parser) Expects() bool {
	e := p.expect && (p.state == atBody || p.state == atChunk)
	p.expect = p.expect && !e
	return e
}

func (p *Parser) fail(e *Error) error {
	p.err, p.buf = e, nil
	return e
}

func (p *Parser) run() (*Request, error) {
	for {
		more, err := p.step()
		if err != nil {
			return nil, p.fail(err)
		}
		if p.state == atDone {
			if len(p.buf) > MaxPipelinedBytes {
				return nil, p.fail(refuse(400, "more than %d bytes ahead of the response", MaxPipelinedBytes))
			}
			return p.req, nil
		}
		if !more {
			return nil, nil
		}
	}
}

// line cuts a line off the buffer; most bounds it. ok is false until it is complete.
func (p *Parser) line(most, status int, what string) (line []byte, ok bool, err *Error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 {
		if len(p.buf) > most {
			return nil, false, refuse(status, "%s is longer than %d bytes", what, most)
		}
		if j := bytes.IndexByte(p.buf, '\r'); j >= 0 && j < len(p.buf)-1 {
			return nil, false, refuse(400, "a CR without its LF in %s", what)
		}
		return nil, false, nil
	}
	if i > most {
		return nil, false, refuse(status, "%s is longer than %d bytes", what, most)
	}
	if i == 0 || p.buf[i-1] != '\r' {
		return nil, false, refuse(400, "a LF without its CR in %s", what)
	}
	line = p.buf[:i-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, false, refuse(400, "a CR without its LF in %s", what)
	}
	p.buf = p.buf[i+1:]
	return line, true, nil
}

func (p *Parser) step() (more bool, err *Error) {
	switch p.state {
	case atLine:
		line, ok, err := p.line(p.lim.Line, 414, "the request line")
		if err != nil || !ok {
			return false, err
		}
		if len(line) == 0 {
			if p.blank { // RFC 9112, 2.2: one empty line before a request is passed over
				return false, refuse(400, "empty lines before the request line")
			}
			p.blank = true
			return true, nil
		}
		return true, p.requestLine(string(line))
	case atFields, atTrailers:
		line, ok, err := p.line(p.lim.Headers-p.fields, 431, "the header section")
		if err != nil || !ok {
			return false, err
		}
		p.fields += len(line) + 2
		if len(line) > 0 {
			return true, p.field(string(line))
		}
		if p.state == atTrailers {
			p.state = atDone
			return false, nil
		}
		return true, p.body()
	case atBody:
		n := min(p.left, len(p.buf))
		p.req.Body = append(p.req.Body, p.buf[:n]...)
		p.buf, p.left = p.buf[n:], p.left-n
		if p.left == 0 {
			p.state = atDone
		}
		return false, nil
	case atChunk:
		line, ok, err := p.line(256, 400, "a chunk's size line")
		if err != nil || !ok {
			return false, err
		}
		return true, p.chunk(string(line))
	case atChunkEnd:
		n := min(p.left, len(p.buf))
		p.req.Body = append(p.req.Body, p.buf[:n]...)
		p.buf, p.left = p.buf[n:], p.left-n
		if p.left > 0 || len(p.buf) < 2 {
			return false, nil
		}
		if p.buf[0] != '\r' || p.buf[1] != '\n' {
			return false, refuse(400, "a chunk does not end with CRLF")
		}
		p.buf = p.buf[2:]
		p.state = atChunk
		return true, nil
	}
	return false, nil
}

func (p *Parser) requestLine(line string) *Error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return refuse(400, "the request line is not METHOD TARGET VERSION")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !token(method) {
		return refuse(400, "the method is not a token")
	}
	r := &Request{Method: method}
	switch version {
	case "HTTP/1.1":
		r.Minor = 1
	case "HTTP/1.0":
		r.Close = true
	default:
		if strings.HasPrefix(version, "HTTP/") {
			return refuse(505, "version %q is not spoken here", version)
		}
		return refuse(400, "the request line has no version")
	}
	if !strings.HasPrefix(target, "/") {
		return refuse(400, "the target is not a path")
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return refuse(400, "the target has a character that it must not have")
		}
	}
	u, err := url.ParseRequestURI(target)
	if err != nil || strings.HasPrefix(target, "//") {
		return refuse(400, "the target cannot be read")
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return refuse(400, "the query cannot be read")
	}
	r.Path, r.Query = u.Path, query
	p.req, p.state = r, atFields
	return nil
}

const tokenMarks = "!#$%&'*+-.^_`|~"

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return s != ""
}

func (p *Parser) field(line string) *Error {
	if line[0] == ' ' || line[0] == '\t' {
		return refuse(400, "a header field is folded over lines")
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return refuse(400, "a header line has no colon")
	}
	if !token(name) {
		return refuse(400, "a header field's name is not a token")
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return refuse(400, "a header field's value has a control character")
		}
	}
	if len(p.req.Fields) >= p.lim.Fields {
		return refuse(431, "more than %d header fields", p.lim.Fields)
	}
	name = strings.ToLower(name)
	if p.state == atTrailers {
		return nil // read past, by RFC 9110, 6.5.1
	}
	p.req.Fields = append(p.req.Fields, Field{name, value})
	return nil
}

// body decides by the fields how the body is framed.
func (p *Parser) body() *Error {
	r := p.req
	hosts, length, coding := 0, "", ""
	for _, f := range r.Fields {
		switch f.Name {
		case "host":
			hosts++
			if strings.ContainsAny(f.Value, " \t/@?#,") {
				return refuse(400, "the Host field is not a host")
			}
		case "content-length":
			// Two lengths, even equal ones, are a way to smuggle a request past a proxy.
			if p.length {
				return refuse(400, "two Content-Length fields")
			}
			p.length, length = true, f.Value
		case "transfer-encoding":
			if coding != "" {
				return refuse(400, "two Transfer-Encoding fields")
			}
			if coding = f.Value; coding == "" {
				return refuse(400, "an empty Transfer-Encoding")
			}
		case "connection":
			for _, word := range strings.Split(f.Value, ",") {
				if strings.EqualFold(strings.TrimSpace(word), "close") {
					r.Close = true
				}
			}
		case "expect":
			if !strings.EqualFold(f.Value, "100-continue") {
				return refuse(417, "the expectation %q cannot be met", f.Value)
			}
			p.expect = r.Minor == 1
		}
	}
	if hosts > 1 || hosts == 0 && r.Minor == 1 {
		return refuse(400, "%d Host fields, where one belongs", hosts)
	}
	if coding != "" {
		switch {
		case p.length:
			return refuse(400, "both Content-Length and Transfer-Encoding")
		case r.Minor == 0:
			return refuse(400, "Transfer-Encoding in HTTP/1.0")
		case !strings.EqualFold(coding, "chunked"):
			return refuse(501, "transfer coding %q is not known here", coding)
		}
		r.Chunked = true
		p.state = atChunk
		return nil
	}
	if !p.length {
		p.state = atDone
		return nil
	}
	n, ok := digits(length, 10, 18)
	if !ok {
		return refuse(400, "Content-Length is %q", length)
	}
	if n > p.lim.Body {
		return refuse(413, "the body is longer than %d bytes", p.lim.Body)
	}
	p.left = n
	if p.state = atBody; n == 0 {
		p.state = atDone
	}
	return nil
}

// digits reads a number of plain digits: no sign, no space.
func digits(s string, base, most int) (int, bool) {
	if s == "" || len(s) > most {
		return 0, false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (base != 16 || c|0x20 < 'a' || c|0x20 > 'f') {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	return int(n), err == nil
}

func (p *Parser) chunk(line string) *Error {
	size, ext, _ := strings.Cut(line, ";")
	for i := range len(ext) {
		if c := ext[i]; c < ' ' && c != '\t' || c == 0x7f {
			return refuse(400, "a chunk extension has a control character")
		}
	}
	n, ok := digits(size, 16, 8) // no space behind it: a peer that reads on to the ";" would see another size
	if !ok {
		return refuse(400, "a chunk's size is %q", size)
	}
	if len(p.req.Body)+n > p.lim.Body {
		return refuse(413, "the body is longer than %d bytes", p.lim.Body)
	}
	p.left = n
	if p.state = atChunkEnd; n == 0 {
		p.state = atTrailers
	}
	return nil
}

// ---- Responses.

var statusText = map[int]string{
	100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 414: "URI Too Long", 415: "Unsupported Media Type",
	417: "Expectation Failed", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// StatusText names a status.
func StatusText(status int) string { return statusText[status] }

// AppendHead writes the head of a response. A length below 0 means that the body comes in chunks.
func AppendHead(dst []byte, status int, fields []Field, length int, closes bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText[status]...)
	dst = append(dst, "\r\n"...)
	for _, f := range fields {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	if length >= 0 {
		dst = append(dst, "content-length: "...)
		dst = strconv.AppendInt(dst, int64(length), 10)
		dst = append(dst, "\r\n"...)
	} else {
		dst = append(dst, "transfer-encoding: chunked\r\n"...)
	}
	if closes {
		dst = append(dst, "connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendChunk writes a chunk of a body; an empty one would end it and is not written.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// LastChunk ends a body that came in chunks.
const LastChunk = "0\r\n\r\n"
