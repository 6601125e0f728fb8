package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// feed gives a stream to a parser in pieces of n bytes and returns all requests.
func feed(stream string, n int) (out []*Request, err error) {
	p := NewParser(Limits{Line: 200, Headers: 400, Fields: 6, Body: 100})
	take := func(r *Request, e error) {
		for r != nil && e == nil {
			out = append(out, r)
			r, e = p.Next()
		}
		err = e
	}
	for len(stream) > 0 && err == nil {
		k := min(n, len(stream))
		take(p.Feed([]byte(stream[:k])))
		stream = stream[k:]
	}
	return out, err
}

const get = "GET /a?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"

func TestGood(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		want   []string // METHOD PATH BODY
	}{
		"plain":       {get, []string{"GET /a "}},
		"pipelined":   {get + "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz" + get, []string{"GET /a ", "POST /b xyz", "GET /a "}},
		"chunked":     {"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX: y\r\n\r\n" + get, []string{"POST /c abc0123456789", "GET /a "}},
		"blank line":  {"\r\n" + get, []string{"GET /a "}},
		"1.0":         {"GET /o HTTP/1.0\r\n\r\n", []string{"GET /o "}},
		"no body":     {"POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get, []string{"POST /e ", "GET /a "}},
		"escaped":     {"GET /a%20b HTTP/1.1\r\nHost: a\r\n\r\n", []string{"GET /a b "}},
		"value space": {"GET /v HTTP/1.1\r\nHost: \t a \t\r\n\r\n", []string{"GET /v "}},
	} {
		for _, n := range []int{1, 2, 7, 1000} {
			got, err := feed(c.stream, n)
			if err != nil {
				t.Errorf("%s by %d: %v", name, n, err)
				continue
			}
			var lines []string
			for _, r := range got {
				lines = append(lines, r.Method+" "+r.Path+" "+string(r.Body))
			}
			if strings.Join(lines, "|") != strings.Join(c.want, "|") {
				t.Errorf("%s by %d: %q, want %q", name, n, lines, c.want)
			}
		}
	}
}

func TestRefused(t *testing.T) {
	head := "POST /a HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		stream string
		status int
	}{
		"folded":             {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400},
		"two lengths":        {head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
		"length list":        {head + "Content-Length: 1, 1\r\n\r\nx", 400},
		"length and chunked": {head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two codings":        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"signed length":      {head + "Content-Length: +1\r\n\r\nx", 400},
		"negative length":    {head + "Content-Length: -1\r\n\r\nx", 400},
		"huge length":        {head + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"length over limit":  {head + "Content-Length: 101\r\n\r\n", 413},
		"chunks over limit":  {head + "Transfer-Encoding: chunked\r\n\r\n50\r\n" + strings.Repeat("x", 80) + "\r\n50\r\n", 413},
		"chunk size":         {head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n", 400},
		"chunk size space":   {head + "Transfer-Encoding: chunked\r\n\r\n 1\r\n", 400},
		"chunk size long":    {head + "Transfer-Encoding: chunked\r\n\r\n111111111\r\n", 400},
		"chunk end":          {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n", 400},
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
		"expectation":        {head + "Expect: tea\r\n\r\n", 417},
		"chunked in 1.0":     {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"tls":                {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n", 400},
	} {
		for _, n := range []int{1, 1000} {
			got, err := feed(c.stream, n)
			var e *Error
			if !errors.As(err, &e) || e.Status != c.status || len(got) > 0 {
				t.Errorf("%s by %d: %v and %d requests, want status %d", name, n, err, len(got), c.status)
			}
		}
	}
}

// What is sent ahead of the response is bounded.
func TestAhead(t *testing.T) {
	p := NewParser(DefaultLimits(100))
	if r, err := p.Feed([]byte(get)); r == nil || err != nil {
		t.Fatal(err)
	}
	var err error
	for range 1000 {
		if _, err = p.Feed(make([]byte, 1000)); err != nil {
			break
		}
	}
	if err == nil || len(p.buf) > MaxPipelinedBytes {
		t.Fatalf("%d bytes kept, %v", len(p.buf), err)
	}
}

// Whatever is accepted here, net/http reads the same way: nothing can be smuggled between them.
// A peer that reads a size up to its first space sees another chunk than one that reads on.
func TestSpaceBehindChunkSize(t *testing.T) {
	for _, size := range []string{"3 ", "3\t;a=b", "3 ;a=b", " 3"} {
		ours, err := feed("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+size+"\r\nabc\r\n0\r\n\r\n", 13)
		if len(ours) > 0 || err == nil {
			t.Errorf("a chunk's size of %q: %d requests, %v", size, len(ours), err)
		}
	}
}

func FuzzAgainstNetHTTP(f *testing.F) {
	f.Add(get)
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n")
	f.Add("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz" + get)
	f.Add("POST /b HTTP/1.0\r\nContent-Length: 3\r\nConnection: close, x\r\n\r\nxyz")
	f.Add("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0   ;00\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		ours, _ := feed(stream, 13)
		theirs := bufio.NewReader(strings.NewReader(stream))
		for _, r := range ours {
			if lead, _ := theirs.Peek(2); string(lead) == "\r\n" {
				_, _ = theirs.Discard(2) // one empty line is passed over, by RFC 9112, 2.2
			}
			q, err := http.ReadRequest(theirs)
			if err != nil {
				t.Fatalf("accepted here, %v there", err)
			}
			body, err := io.ReadAll(q.Body)
			if err != nil {
				t.Fatalf("body accepted here, %v there", err)
			}
			if q.Method != r.Method || q.URL.Path != r.Path || !bytes.Equal(body, r.Body) {
				t.Fatalf("%s %s %q here, %s %s %q there", r.Method, r.Path, r.Body, q.Method, q.URL.Path, body)
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
			b.Fatal(err)
		}
		if _, err := p.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
