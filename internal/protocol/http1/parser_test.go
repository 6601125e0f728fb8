package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// chunksOf splits a stream into chunks of n bytes.
func chunksOf(stream string, n int) (out []string) {
	for len(stream) > n {
		out, stream = append(out, stream[:n]), stream[n:]
	}
	return append(out, stream)
}

// feed feeds the chunks of a stream to a parser. It returns all requests before the first malformed one, and the error
// of that one.
func feed(chunks []string) (out []*Request, err error) {
	p := NewParser(Limits{RequestLine: 200, Headers: 400, Fields: 6, Body: 100})
	take := func(r *Request, e error) {
		for r != nil && e == nil {
			out = append(out, r)
			r, e = p.Next()
		}
		err = e
	}
	for _, chunk := range chunks {
		if err == nil {
			take(p.Feed([]byte(chunk)))
		}
	}
	return out, err
}

const get = "GET /a?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"

const postHead = "POST /a HTTP/1.1\r\nHost: a\r\n"

// validStreams are streams with the requests that they contain, each as METHOD PATH BODY.
var validStreams = map[string]struct {
	stream string
	want   []string
}{
	"plain":       {get, []string{"GET /a "}},
	"pipelined":   {get + "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz" + get, []string{"GET /a ", "POST /b xyz", "GET /a "}},
	"chunked":     {"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX: y\r\n\r\n" + get, []string{"POST /c abc0123456789", "GET /a "}},
	"blank line":  {"\r\n" + get, []string{"GET /a "}},
	"1.0":         {"GET /o HTTP/1.0\r\n\r\n", []string{"GET /o "}},
	"no body":     {"POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get, []string{"POST /e ", "GET /a "}},
	"escaped":     {"GET /a%20b HTTP/1.1\r\nHost: a\r\n\r\n", []string{"GET /a b "}},
	"value space": {"GET /v HTTP/1.1\r\nHost: \t a \t\r\n\r\n", []string{"GET /v "}},
}

// invalidStreams are streams whose first request is rejected, each with the status of the rejection.
var invalidStreams = map[string]struct {
	stream string
	status int
}{
	"folded":             {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400},
	"two lengths":        {postHead + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
	"length list":        {postHead + "Content-Length: 1, 1\r\n\r\nx", 400},
	"length and chunked": {postHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"two codings":        {postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
	"signed length":      {postHead + "Content-Length: +1\r\n\r\nx", 400},
	"negative length":    {postHead + "Content-Length: -1\r\n\r\nx", 400},
	"huge length":        {postHead + "Content-Length: 99999999999999999999\r\n\r\n", 400},
	"length over limit":  {postHead + "Content-Length: 101\r\n\r\n", 413},
	"chunks over limit":  {postHead + "Transfer-Encoding: chunked\r\n\r\n50\r\n" + strings.Repeat("x", 80) + "\r\n50\r\n", 413},
	"chunk size":         {postHead + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n", 400},
	"chunk size space":   {postHead + "Transfer-Encoding: chunked\r\n\r\n 1\r\n", 400},
	"chunk size long":    {postHead + "Transfer-Encoding: chunked\r\n\r\n111111111\r\n", 400},
	"chunk end":          {postHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n", 400},
	"bare LF":            {"GET / HTTP/1.1\nHost: a\n\n", 400},
	"bare CR":            {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", 400},
	"bare CR, open":      {"GET / HTTP/1.1\r\nHost: a\rX", 400},
	"space before colon": {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
	"no colon":           {"GET / HTTP/1.1\r\nHost\r\n\r\n", 400},
	"NUL":                {"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", 400},
	"no host":            {"GET / HTTP/1.1\r\n\r\n", 400},
	"two hosts":          {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
	"tabs in line":       {"GET\t/ HTTP/1.1\r\n\r\n", 400},
	"two spaces":         {"GET  / HTTP/1.1\r\n\r\n", 400},
	"absolute":           {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	"double slash":       {"GET //a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	"version":            {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
	"no version":         {"GET /\r\n\r\n", 400},
	"long line":          {"GET /" + strings.Repeat("a", 300), 414},
	"huge headers":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 500), 431},
	"many fields":        {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: a\r\n", 8), 431},
	"many blank lines":   {"\r\n\r\n" + get, 400},
	"expectation":        {postHead + "Expect: tea\r\n\r\n", 417},
	"chunked in 1.0":     {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	"tls":                {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n", 400},
}

func TestParserAcceptsValidStreams(t *testing.T) {
	for name, c := range validStreams {
		for _, n := range []int{1, 2, 7, 1000} {
			got, err := feed(chunksOf(c.stream, n))
			if err != nil {
				t.Errorf("%s: feed(%q in chunks of %d bytes): got error %v, want nil", name, c.stream, n, err)
				continue
			}
			var requests []string
			for _, r := range got {
				requests = append(requests, r.Method+" "+r.Path+" "+string(r.Body))
			}
			if strings.Join(requests, "|") != strings.Join(c.want, "|") {
				t.Errorf("%s: feed(%q in chunks of %d bytes) = %q, want %q", name, c.stream, n, requests, c.want)
			}
		}
	}
}

func TestParserRejectsInvalidStreams(t *testing.T) {
	for name, c := range invalidStreams {
		for _, n := range []int{1, 1000} {
			got, err := feed(chunksOf(c.stream, n))
			var e *Error
			if !errors.As(err, &e) || e.Status != c.status || len(got) > 0 {
				t.Errorf("%s: feed(%q in chunks of %d bytes): got error %v and %d requests, want status %d and no request",
					name, c.stream, n, err, len(got), c.status)
			}
		}
	}
}

// The requests of a stream, and whether it is rejected, do not depend on how it is split into chunks.
func TestParserReadsSameRequestsFromAnyChunks(t *testing.T) {
	streams := map[string]string{}
	for name, c := range validStreams {
		streams[name] = c.stream
	}
	for name, c := range invalidStreams {
		streams[name] = c.stream
	}
	for name, stream := range streams {
		want, wantErr := feed([]string{stream})
		check := func(chunks []string) {
			got, err := feed(chunks)
			if diff := cmp.Diff(want, got); diff != "" || (err == nil) != (wantErr == nil) {
				t.Errorf("%s: feed(%q): got error %v, want %v as in one chunk; requests (-want +got):\n%s", name, chunks, err, wantErr, diff)
			}
		}
		check(chunksOf(stream, 1))
		for first := range stream {
			check([]string{stream[:first], stream[first:]})
			check([]string{stream[:first], stream[first : first+1], stream[first+1:]})
		}
	}
}

// A client that sends more than MaxPipelinedBytes before the response to its request is rejected, and the parser
// buffers no more bytes than that.
func TestParserBoundsPipelinedBytes(t *testing.T) {
	p := NewParser(DefaultLimits(100))
	if r, err := p.Feed([]byte(get)); r == nil || err != nil {
		t.Fatalf("Feed(%q) = %v, %v, want a request", get, r, err)
	}
	var err error
	for range 1000 {
		if _, err = p.Feed(make([]byte, 1000)); err != nil {
			break
		}
	}
	if err == nil || len(p.unread) > MaxPipelinedBytes {
		t.Fatalf("Feed of up to 1000000 bytes before the response: got error %v, %d bytes buffered; want an error, at most %d bytes",
			err, len(p.unread), MaxPipelinedBytes)
	}
}

// A chunk size with a space is rejected: a peer that reads the size up to the space and one that reads further would
// see different chunks.
func TestParserRejectsSpaceInChunkSize(t *testing.T) {
	for _, size := range []string{"3 ", "3\t;a=b", "3 ;a=b", " 3"} {
		requests, err := feed(chunksOf("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+size+"\r\nabc\r\n0\r\n\r\n", 13))
		if len(requests) > 0 || err == nil {
			t.Errorf("feed of a chunk size of %q: got %d requests, error %v; want none, an error", size, len(requests), err)
		}
	}
}

// Every request that the parser accepts is read in the same way by net/http, so that no request can be smuggled between
// the two.
func FuzzAgainstNetHTTP(f *testing.F) {
	f.Add(get)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n")
	f.Add("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz" + get)
	f.Add("POST /b HTTP/1.0\r\nContent-Length: 3\r\nConnection: close, x\r\n\r\nxyz")
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0   ;00\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		requests, _ := feed(chunksOf(stream, 13))
		reader := bufio.NewReader(strings.NewReader(stream))
		for _, got := range requests {
			if start, _ := reader.Peek(2); string(start) == "\r\n" {
				_, _ = reader.Discard(2) // one empty line before a request is ignored (RFC 9112, 2.2)
			}
			want, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("feed(%q): got %s %s accepted, want an error as from net/http: %v", stream, got.Method, got.Path, err)
			}
			body, err := io.ReadAll(want.Body)
			if err != nil {
				t.Fatalf("feed(%q): got the body of %s %s accepted, want an error as from net/http: %v", stream, got.Method, got.Path, err)
			}
			if want.Method != got.Method || want.URL.Path != got.Path || !bytes.Equal(body, got.Body) {
				t.Fatalf("feed(%q): got %s %s %q, want %s %s %q as net/http", stream, got.Method, got.Path, got.Body, want.Method, want.URL.Path, body)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	p := NewParser(DefaultLimits(1 << 20))
	req := []byte("POST /v1/submissions HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nIdempotency-Key: x\r\n\r\n0123456789")
	b.ReportAllocs()
	for b.Loop() {
		if r, err := p.Feed(req); r == nil || err != nil {
			b.Fatalf("Feed(%q) = %v, %v, want a request", req, r, err)
		}
		if _, err := p.Next(); err != nil {
			b.Fatalf("Next after %q: got error %v, want nil", req, err)
		}
	}
}
