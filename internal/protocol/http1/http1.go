// Package http1 parses HTTP/1.1 requests from a stream that may arrive in arbitrary chunks, and encodes responses
// (RFC 9112). It has no connections. The parser is strict: it rejects all that RFC 9112 allows a server to reject, and
// all constructs that are known from request smuggling.
//
//	parser.go    state machine that parses the requests of a connection
//	framing.go   header fields that delimit the body
//	response.go  heads and chunks of responses
package http1

import (
	"fmt"
	"net/url"
)

// Limits are the limits of a request.
type Limits struct {
	RequestLine int // bytes of the request line
	Headers     int // bytes of all header and trailer fields
	Fields      int // number of header fields
	Body        int // bytes of the body
}

// DefaultLimits returns common limits, with a body of at most the given number of bytes.
func DefaultLimits(body int) Limits {
	return Limits{RequestLine: 8 << 10, Headers: 16 << 10, Fields: 64, Body: body}
}

// MaxPipelinedBytes is the maximum number of bytes that a client may send before it gets the response to its current
// request.
const MaxPipelinedBytes = 64 << 10

// Field is a header field. The name of a parsed field is in lower case.
type Field struct{ Name, Value string }

// Request is a complete request.
type Request struct {
	Method       string
	Path         string // percent-decoded
	Query        url.Values
	Fields       []Field // header fields; trailer fields are dropped
	Body         []byte
	MinorVersion int  // 0 for HTTP/1.0, 1 for HTTP/1.1
	Close        bool // the connection is to be closed after the response
	Chunked      bool // the body was sent in chunks
}

// Get returns the value of the first field with the given name, in lower case, or "" if there is none.
func (r *Request) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Error is the reason for which a request is rejected. The connection has to be closed after the response.
type Error struct {
	Status int // status code of the response
	Detail string
}

// Error returns the status and the detail.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Detail) }

func reject(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}
