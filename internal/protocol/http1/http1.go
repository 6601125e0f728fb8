// Package http1 reads HTTP/1.1 requests from a stream that may come in any pieces, and writes responses (RFC 9112). It
// holds no connection. It is strict: what RFC 9112 lets a server reject, and what has been used to smuggle requests past
// a server, is rejected.
//
//	parser.go    the state machine of a connection, and what it reads line by line
//	framing.go   how the header fields delimit the body
//	response.go  heads and chunks of responses
package http1

import (
	"fmt"
	"net/url"
)

// Limits bound a request.
type Limits struct {
	RequestLine int // bytes of the request line
	Headers     int // bytes of all fields, trailers included
	Fields      int // number of header fields
	Body        int // bytes of the body
}

// DefaultLimits returns usual limits, with a body of at most so many bytes.
func DefaultLimits(body int) Limits {
	return Limits{RequestLine: 8 << 10, Headers: 16 << 10, Fields: 64, Body: body}
}

// MaxPipelinedBytes is how many bytes a client may send ahead of the response.
const MaxPipelinedBytes = 64 << 10

// Field is a header field. A parsed field has its name in lower case.
type Field struct{ Name, Value string }

// Request is a complete request.
type Request struct {
	Method       string
	Path         string // decoded
	Query        url.Values
	Fields       []Field // without trailers
	Body         []byte
	MinorVersion int  // of the version: 0 or 1
	Close        bool // the connection ends after the response
	Chunked      bool // the body came in chunks
}

// Get returns the value of the first field of that name, which is in lower case, or "".
func (r *Request) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Error is the rejection of a request. The connection has to be closed after the response.
type Error struct {
	Status int // of the response
	Detail string
}

// Error returns the status and the detail.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Detail) }

func reject(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}
