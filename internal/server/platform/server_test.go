package platform

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
)

// standHost is a scripted host: it answers set-ups, some of them badly, and notes what it was sent.
type standHost struct {
	ln    net.Listener
	bad   float64 // share of answers that are spoilt, and of requests that are reset
	mu    sync.Mutex
	rng   *rand.Rand
	news  map[string]int // set-ups, by ref
	out   map[string]bool
	late  []time.Time // when set-ups came
	conns map[net.Conn]bool
}

func newHost(t *testing.T, bad float64, seed uint64) *standHost {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &standHost{ln: ln, bad: bad, rng: rand.New(rand.NewPCG(seed, 1)), news: map[string]int{}, out: map[string]bool{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	t.Cleanup(h.die)
	return h
}

// die closes the listener and resets all connections, as a process that dies does.
func (h *standHost) die() {
	_ = h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (h *standHost) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		m, err := platform.Decode(line[:len(line)-1])
		if err != nil {
			return
		}
		h.mu.Lock()
		roll := h.rng.Float64()
		fault := h.rng.IntN(5)
		if m.Type == platform.TypeRequest {
			h.news[m.Ref]++
			h.late = append(h.late, time.Now())
		}
		h.mu.Unlock()
		up := string(platform.Append(nil, platform.TypeBound, m.Ref, platform.NoCause, []byte(`"of the host"`)))
		switch {
		case m.Type == platform.TypeProbe:
			fmt.Fprintf(c, `{"t":"hb_ok","ref":"%s","f":{"load":"x0:4;x1:9"},"c":1}`+"\n", m.Ref)
		case m.Type == platform.TypeRelease:
			fmt.Fprintf(c, `{"t":"down","ref":"%s","f":{},"c":31}`+"\n", m.Ref)
		case m.Type != platform.TypeRequest:
		case roll >= h.bad:
			fmt.Fprintf(c, `%s{"t":"tell","ref":"%s","f":{"note":"running"}}`+"\n", up, m.Ref)
		case fault == 0:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case fault == 1:
			fmt.Fprint(c, "\x00\xff not a message\n")
		case fault == 2:
			fmt.Fprint(c, up[:len(up)/2]) // and no more
		case fault == 3:
			fmt.Fprint(c, strings.Repeat("x", 2*platform.MaxLineSize))
		case fault == 4:
			fmt.Fprint(c, `{"t":"up","ref":"00000000000000ff","f":{},"d":"whose?"}`+"\n"+up+up)
		}
	}
}

// standLog is a scripted change log.
type standLog struct {
	mu     sync.Mutex
	events []string
	froms  []string // Last-Event-ID of each call
	cut    chan struct{}
}

func (l *standLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.froms = append(l.froms, r.Header.Get("Last-Event-ID"))
	cut := l.cut
	l.mu.Unlock()
	sent := 0
	fmt.Sscan(r.Header.Get("Last-Event-ID"), &sent)
	for {
		l.mu.Lock()
		for ; sent < len(l.events); sent++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent+1, l.events[sent])
		}
		l.mu.Unlock()
		fmt.Fprint(w, ":\n\n")
		w.(http.Flusher).Flush()
		select {
		case <-cut:
			fmt.Fprint(w, "id: 99\ndata: {\"se") // in the middle of an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (l *standLog) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: l}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func entry(n int, h *standHost, state string) string {
	return fmt.Sprintf(`{"host":"s-%08x","dial":"%s","site":"z","class":"std","block":%d,"health":"%s","born_ms":0,"free":[400,400]}`,
		n, h.ln.Addr(), n, state)
}

func change(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"fleet":{"seq":%d,"whole":%v,"hosts":[%s]}}`, seq, seq, whole, strings.Join(entries, ","))
}

//go:embed testdata/settings.json
var testSettings string

func start(t *testing.T, log *standLog) (*Server, *platform.Config) {
	t.Helper()
	var first platform.WatchEvent
	if err := json.Unmarshal([]byte(log.events[0]), &first); err != nil {
		t.Fatal(err)
	}
	cfg := &platform.Config{Listen: "127.0.0.1:0", Seed: "1", WatchAddress: log.serve(t), Settings: json.RawMessage(testSettings)}
	cfg.Initial.Seq, cfg.Initial.Events = 1, []platform.WatchEvent{first}
	cfg.Limits.Sockets = 256
	s, err := Start(Options{Config: cfg, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, cfg
}

// standOwner is a connection of an owner; it counts the answers to each set-up.
type standOwner struct {
	c       net.Conn
	mu      sync.Mutex
	answers map[string][]platform.Message
	done    chan struct{}
}

func newOwner(t *testing.T, address string) *standOwner {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	o := &standOwner{c: c, answers: map[string][]platform.Message{}, done: make(chan struct{})}
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		defer close(o.done)
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadBytes('\n')
			if err != nil {
				return
			}
			if m, err := platform.Decode(line[:len(line)-1]); err == nil {
				o.mu.Lock()
				o.answers[m.Ref] = append(o.answers[m.Ref], m)
				o.mu.Unlock()
			}
		}
	}()
	return o
}

func (o *standOwner) ask(ref string, left int) {
	fmt.Fprintf(o.c, `{"t":"new","ref":"%s","f":{"class":"keyed","left":"%d","tenant":"acme","key":"%s","idem":"%s","extras":"cores:1;memory:1;service:%s"},"d":"of the owner"}`+"\n",
		ref, left, ref, ref, ref)
}

func (o *standOwner) got(ref string) []platform.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]platform.Message(nil), o.answers[ref]...)
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come about", what)
		}
	}
}

// Each set-up gets exactly one answer, whatever hosts do, and what is served is a host's own answer.
func TestOneAnswerEach(t *testing.T) {
	good, bad := newHost(t, 0, 1), newHost(t, 0.5, 2)
	log := &standLog{cut: make(chan struct{}), events: []string{change(1, true, entry(1, good, "in_service"), entry(2, bad, "in_service"))}}
	s, _ := start(t, log)
	o := newOwner(t, s.Address())
	const n = 120
	ref := func(i int) string { return fmt.Sprintf("%016x", 0xabc000+i) }
	for i := range n {
		o.ask(ref(i), 6000)
		time.Sleep(2 * time.Millisecond)
	}
	served := 0
	until(t, "an answer to each", func() bool {
		for i := range n {
			if len(o.got(ref(i))) == 0 {
				return false
			}
		}
		return true
	})
	for i := range n {
		got := o.got(ref(i))
		if len(got) > 1 && got[0].Type != platform.TypeBound {
			t.Errorf("%s has %d answers", ref(i), len(got))
		}
		ups := 0
		for _, m := range got {
			if m.Type == platform.TypeBound {
				ups++
				if string(m.Description) != `"of the host"` {
					t.Errorf("served with %s", m.Description)
				}
			}
		}
		if ups > 1 {
			t.Errorf("%s is served %d times", ref(i), ups)
		}
		served += ups
	}
	if served < n*9/10 {
		t.Errorf("%d of %d are served", served, n)
	}
}

// The change log is followed over breaks, and at the address of a new configuration, with the number of the last event;
// nothing new goes to a host later than the grace after it was told to drain.
func TestChangeLogIsFollowed(t *testing.T) {
	a, b := newHost(t, 0, 1), newHost(t, 0, 2)
	first := change(1, true, entry(1, a, "in_service"))
	log := &standLog{cut: make(chan struct{}), events: []string{first}}
	s, cfg := start(t, log)
	calls := func(n int) func() bool {
		return func() bool {
			log.mu.Lock()
			defer log.mu.Unlock()
			return len(log.froms) >= n
		}
	}
	until(t, "a call", calls(1))
	log.mu.Lock()
	close(log.cut)
	log.cut = make(chan struct{})
	log.mu.Unlock()
	second := &standLog{cut: make(chan struct{}), events: []string{first, change(2, false, entry(2, b, "in_service")), change(3, false, entry(1, a, "terminating"))}}
	fresh := *cfg
	fresh.WatchAddress = second.serve(t)
	until(t, "a call after the break", calls(2))
	s.Reload(&fresh)
	o := newOwner(t, s.Address())
	i := 0
	until(t, "an offer to the host of the second log", func() bool {
		i++
		o.ask(fmt.Sprintf("%016x", 0xdef000+i), 2000)
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.late) > 0
	})
	told := time.Now() // at the latest
	time.Sleep(350 * time.Millisecond)
	for range 20 {
		i++
		o.ask(fmt.Sprintf("%016x", 0xdef000+i), 2000)
	}
	until(t, "answers", func() bool { return len(o.got(fmt.Sprintf("%016x", 0xdef000+i))) > 0 })
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.late {
		if at.After(told.Add(300 * time.Millisecond)) {
			t.Errorf("a host that drains is offered a task %v after that was told", at.Sub(told))
		}
	}
	second.mu.Lock()
	defer second.mu.Unlock()
	if second.froms[0] != "1" {
		t.Errorf("the second log is asked from %s, want 1", second.froms[0])
	}
}

// A host whose process dies: its standing tasks are released to their owners.
func TestHostDies(t *testing.T) {
	h := newHost(t, 0, 1)
	log := &standLog{cut: make(chan struct{}), events: []string{change(1, true, entry(1, h, "in_service"))}}
	s, _ := start(t, log)
	o := newOwner(t, s.Address())
	o.ask("00000000000000a1", 2000)
	until(t, "the task stands", func() bool { return len(o.got("00000000000000a1")) == 1 })
	h.die()
	until(t, "its release", func() bool {
		got := o.got("00000000000000a1")
		return len(got) == 2 && got[1].Type == platform.TypeRelease && got[1].Cause == platform.CauseReset
	})
}

// Told to end, a placer answers what is open and ends; connections past its bound are closed and usual ones served.
func TestManyConnectionsAndStop(t *testing.T) {
	h := newHost(t, 0, 1)
	log := &standLog{cut: make(chan struct{}), events: []string{change(1, true, entry(1, h, "in_service"))}}
	s, _ := start(t, log)
	usual := newOwner(t, s.Address())
	usual.ask("00000000000000b0", 5000)
	var silent []net.Conn
	for range 400 {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	flood := newOwner(t, s.Address())
	for range 1000 {
		_, _ = flood.c.Write([]byte(strings.Repeat("x", 1<<10)))
	}
	<-flood.done
	usual.ask("00000000000000b1", 5000)
	until(t, "answers to the usual owner", func() bool {
		return len(usual.got("00000000000000b0")) > 0 && len(usual.got("00000000000000b1")) > 0
	})
	for _, c := range silent {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("a silent connection is not closed: %v", err)
		}
	}
	s.BeginShutdown()
	select {
	case <-s.ShutdownComplete():
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
}

// Connections to hosts and to the change log are given the settings' time.
func TestConnectTimeoutOfTheSettings(t *testing.T) {
	h := newHost(t, 0, 1)
	log := &standLog{cut: make(chan struct{}), events: []string{change(1, true, entry(1, h, "in_service"))}}
	_, cfg := start(t, log)
	cfg.Settings = json.RawMessage(strings.Replace(testSettings, `"connectTimeout":250`, `"connectTimeout":700`, 1))
	s, err := Start(Options{Config: cfg, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if s.hosts.connectTimeout != 700*time.Millisecond || s.watch.dialer.Timeout != s.hosts.connectTimeout {
		t.Errorf("connections are given %v, the change log's %v", s.hosts.connectTimeout, s.watch.dialer.Timeout)
	}
}
