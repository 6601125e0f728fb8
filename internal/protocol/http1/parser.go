package http1

import (
	"bytes"
	"net/url"
	"strings"
)

// state is the part of a request that the parser reads next.
type state uint8

const (
	stateRequestLine state = iota
	stateHeader            // a header field, or the empty line that ends the header
	stateBody              // the rest of a body with a Content-Length
	stateChunkSize         // the line with a chunk's size
	stateChunkData         // the rest of a chunk
	stateChunkEnd          // the CRLF that ends a chunk
	stateTrailer           // a trailer field, or the empty line that ends the request
	stateComplete          // the request is complete, and nothing is read until Next is called
)

// maxChunkLine bounds the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 256

// Maximum number of digits in a number. Numbers within these limits cannot overflow.
const (
	maxLengthDigits    = 18 // decimal digits of a Content-Length
	maxChunkSizeDigits = 8  // hexadecimal digits of a chunk's size
)

// Parser parses the requests of one connection. After a complete request it parses nothing until Next is called; up to
// MaxPipelinedBytes that arrive in the meantime are buffered. A Parser is not safe for concurrent use.
type Parser struct {
	limits Limits
	state  state
	unread []byte
	err    *Error // the first error, after which nothing is parsed

	// The fields below are the state of the current request.
	request         *Request
	sawEmptyLine    bool // an empty line preceded the request line
	headerBytes     int  // bytes of the header and trailer fields read so far
	remaining       int  // bytes of the body or of the chunk that have not been read
	expectsContinue bool
}

// NewParser returns a parser for a new connection.
func NewParser(limits Limits) *Parser { return &Parser{limits: limits} }

// Feed parses the next bytes of the stream. It returns the request once it is complete, and nil before. After the first
// error, an *Error, it returns that error from then on. It does not retain data.
func (p *Parser) Feed(data []byte) (*Request, error) {
	if p.err != nil {
		return nil, p.err
	}
	p.unread = append(p.unread, data...)
	if p.state == stateComplete {
		return nil, p.checkPipelined()
	}
	return p.run()
}

// Next starts to parse the next request of the connection, and returns it if it is already complete.
func (p *Parser) Next() (*Request, error) {
	if p.err != nil {
		return nil, p.err
	}
	*p = Parser{limits: p.limits, unread: p.unread}
	return p.run()
}

// Idle reports whether the parser is between requests: no byte of the next request has been received.
func (p *Parser) Idle() bool { return p.state == stateRequestLine && len(p.unread) == 0 }

// BufferedBytes returns the number of bytes that the parser holds of requests that are not complete.
func (p *Parser) BufferedBytes() int {
	bytes := len(p.unread) + p.headerBytes
	if p.request != nil {
		bytes += len(p.request.Body)
	}
	return bytes
}

// ShouldSendContinue reports whether the client waits for 100 (Continue) before it sends the body. It returns true at
// most once for each request.
func (p *Parser) ShouldSendContinue() bool {
	waits := p.expectsContinue && (p.state == stateBody || p.state == stateChunkSize)
	if waits {
		p.expectsContinue = false
	}
	return waits
}

func (p *Parser) fail(err *Error) error {
	p.err, p.unread = err, nil
	return err
}

func (p *Parser) checkPipelined() error {
	if len(p.unread) > MaxPipelinedBytes {
		return p.fail(reject(400, "more than %d bytes ahead of the response", MaxPipelinedBytes))
	}
	return nil
}

// run parses until the request is complete or more bytes are needed.
func (p *Parser) run() (*Request, error) {
	for {
		progressed, err := p.step()
		if err != nil {
			return nil, p.fail(err)
		}
		if p.state == stateComplete {
			if err := p.checkPipelined(); err != nil {
				return nil, err
			}
			return p.request, nil
		}
		if !progressed {
			return nil, nil
		}
	}
}

// step reads the part of the request that the state names and moves to the next state. It returns false if more bytes
// are needed.
func (p *Parser) step() (bool, *Error) {
	switch p.state {
	case stateRequestLine:
		return p.readRequestLine()
	case stateHeader:
		return p.readHeaderLine()
	case stateBody:
		return p.readBody(stateComplete), nil
	case stateChunkSize:
		return p.readChunkSize()
	case stateChunkData:
		return p.readBody(stateChunkEnd), nil
	case stateChunkEnd:
		return p.readChunkEnd()
	case stateTrailer:
		return p.readTrailerLine()
	}
	return false, nil
}

// takeLine returns the next line without its CRLF. ok is false if the line is incomplete. A line of more than maxBytes
// is rejected with the status; lineName is the name of the line in errors.
func (p *Parser) takeLine(maxBytes, status int, lineName string) (line []byte, ok bool, err *Error) {
	end := bytes.IndexByte(p.unread, '\n')
	if end > maxBytes || end < 0 && len(p.unread) > maxBytes {
		return nil, false, reject(status, "%s is longer than %d bytes", lineName, maxBytes)
	}
	if end < 0 {
		if cr := bytes.IndexByte(p.unread, '\r'); cr >= 0 && cr < len(p.unread)-1 {
			return nil, false, reject(400, "a CR without its LF in %s", lineName)
		}
		return nil, false, nil
	}
	if end == 0 || p.unread[end-1] != '\r' {
		return nil, false, reject(400, "a LF without its CR in %s", lineName)
	}
	line = p.unread[:end-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, false, reject(400, "a CR without its LF in %s", lineName)
	}
	p.unread = p.unread[end+1:]
	return line, true, nil
}

func (p *Parser) readRequestLine() (bool, *Error) {
	line, ok, err := p.takeLine(p.limits.RequestLine, 414, "the request line")
	if err != nil || !ok {
		return false, err
	}
	if len(line) == 0 {
		if p.sawEmptyLine { // one empty line before a request is ignored (RFC 9112, 2.2)
			return false, reject(400, "empty lines before the request line")
		}
		p.sawEmptyLine = true
		return true, nil
	}
	request, err := parseRequestLine(string(line))
	if err != nil {
		return false, err
	}
	p.request, p.state = request, stateHeader
	return true, nil
}

func parseRequestLine(line string) (*Request, *Error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return nil, reject(400, "the request line is not METHOD TARGET VERSION")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !isToken(method) {
		return nil, reject(400, "the method is not a token")
	}
	request := &Request{Method: method}
	switch version {
	case "HTTP/1.1":
		request.MinorVersion = 1
	case "HTTP/1.0":
		request.Close = true
	default:
		if strings.HasPrefix(version, "HTTP/") {
			return nil, reject(505, "version %q is not spoken here", version)
		}
		return nil, reject(400, "the request line has no version")
	}
	if err := request.parseTarget(target); err != nil {
		return nil, err
	}
	return request, nil
}

// parseTarget sets the path and the query.
func (r *Request) parseTarget(target string) *Error {
	if !strings.HasPrefix(target, "/") {
		return reject(400, "the target is not a path")
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return reject(400, "the target has a character that it must not have")
		}
	}
	u, err := url.ParseRequestURI(target)
	if err != nil || strings.HasPrefix(target, "//") {
		return reject(400, "the target cannot be read")
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return reject(400, "the query cannot be read")
	}
	r.Path, r.Query = u.Path, query
	return nil
}

// takeFieldLine returns the next line of the header or trailer section, as takeLine does.
func (p *Parser) takeFieldLine() (line []byte, ok bool, err *Error) {
	line, ok, err = p.takeLine(p.limits.Headers-p.headerBytes, 431, "the header section")
	if ok {
		p.headerBytes += len(line) + len("\r\n")
	}
	return line, ok, err
}

func (p *Parser) readHeaderLine() (bool, *Error) {
	line, ok, err := p.takeFieldLine()
	if err != nil || !ok {
		return false, err
	}
	if len(line) == 0 {
		return true, p.endHeader()
	}
	field, err := p.parseField(string(line))
	if err != nil {
		return false, err
	}
	p.request.Fields = append(p.request.Fields, field)
	return true, nil
}

// readTrailerLine checks a trailer field and drops it (RFC 9110, 6.5.1).
func (p *Parser) readTrailerLine() (bool, *Error) {
	line, ok, err := p.takeFieldLine()
	if err != nil || !ok {
		return false, err
	}
	if len(line) == 0 {
		p.state = stateComplete
		return true, nil
	}
	_, err = p.parseField(string(line))
	return true, err
}

// parseField parses the line of a field. The line must not be empty.
func (p *Parser) parseField(line string) (Field, *Error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, reject(400, "a header field is folded over lines")
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return Field{}, reject(400, "a header line has no colon")
	}
	if !isToken(name) {
		return Field{}, reject(400, "a header field's name is not a token")
	}
	value = strings.Trim(value, " \t")
	if hasControlCharacter(value) {
		return Field{}, reject(400, "a header field's value has a control character")
	}
	if len(p.request.Fields) >= p.limits.Fields {
		return Field{}, reject(431, "more than %d header fields", p.limits.Fields)
	}
	return Field{Name: strings.ToLower(name), Value: value}, nil
}

// endHeader determines from the header fields how the body is read.
func (p *Parser) endHeader() *Error {
	framing, err := readFraming(p.request.Fields)
	if err != nil {
		return err
	}
	if err := framing.check(p.request.MinorVersion); err != nil {
		return err
	}
	p.request.Close = p.request.Close || framing.closes
	p.expectsContinue = framing.expectsContinue && p.request.MinorVersion == 1
	switch {
	case framing.transferCoding != "":
		p.request.Chunked = true
		p.state = stateChunkSize
		return nil
	case framing.hasContentLength:
		return p.beginBody(framing.contentLength)
	}
	p.state = stateComplete
	return nil
}

// beginBody begins a body with a Content-Length.
func (p *Parser) beginBody(contentLength string) *Error {
	length, ok := parseDigits(contentLength, 10, maxLengthDigits)
	if !ok {
		return reject(400, "Content-Length is %q", contentLength)
	}
	if length > p.limits.Body {
		return reject(413, "the body is longer than %d bytes", p.limits.Body)
	}
	p.remaining, p.state = length, stateBody
	if length == 0 {
		p.state = stateComplete
	}
	return nil
}

// readBody reads the rest of the body or of a chunk, and moves to the next state once it is complete.
func (p *Parser) readBody(next state) bool {
	n := min(p.remaining, len(p.unread))
	p.request.Body = append(p.request.Body, p.unread[:n]...)
	p.unread, p.remaining = p.unread[n:], p.remaining-n
	if p.remaining > 0 {
		return false
	}
	p.state = next
	return true
}

func (p *Parser) readChunkSize() (bool, *Error) {
	line, ok, err := p.takeLine(maxChunkLine, 400, "a chunk's size line")
	if err != nil || !ok {
		return false, err
	}
	digits, extensions, _ := strings.Cut(string(line), ";")
	if hasControlCharacter(extensions) {
		return false, reject(400, "a chunk extension has a control character")
	}
	// No space is allowed after the size: a peer that reads up to the ";" would see a different size.
	size, ok := parseDigits(digits, 16, maxChunkSizeDigits)
	if !ok {
		return false, reject(400, "a chunk's size is %q", digits)
	}
	if len(p.request.Body)+size > p.limits.Body {
		return false, reject(413, "the body is longer than %d bytes", p.limits.Body)
	}
	p.remaining, p.state = size, stateChunkData
	if size == 0 {
		p.state = stateTrailer
	}
	return true, nil
}

func (p *Parser) readChunkEnd() (bool, *Error) {
	if len(p.unread) < len("\r\n") {
		return false, nil
	}
	if p.unread[0] != '\r' || p.unread[1] != '\n' {
		return false, reject(400, "a chunk does not end with CRLF")
	}
	p.unread = p.unread[len("\r\n"):]
	p.state = stateChunkSize
	return true, nil
}

// tokenMarks are the characters that a token may contain besides letters and digits (RFC 9110, 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return s != ""
}

// hasControlCharacter reports whether s contains a control character other than a tab.
func hasControlCharacter(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
