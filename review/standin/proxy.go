package main

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
)

// proxy passes messages between an owner and a placer, as the network between them does.
type proxy struct {
	rec *record
	ln  net.Listener
	to  string

	mu    sync.Mutex // guards the fields below
	pairs []*pair
	// resetAtAnswer makes the next answer meet a reset while it is on its way.
	resetAtAnswer bool
}

// pair is a connection through the proxy.
type pair struct{ client, server *lineConn }

func (p *pair) reset() {
	p.client.reset()
	p.server.reset()
}

func startProxy(rec *record, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, ln: ln, to: to}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		connected := &pair{client: &lineConn{Conn: client}, server: &lineConn{Conn: server}}
		p.mu.Lock()
		p.pairs = append(p.pairs, connected)
		p.mu.Unlock()
		go p.pass(connected.client, connected.server, connected, false)
		go p.pass(connected.server, connected.client, connected, true)
	}
}

// meetsReset reports whether a line from the placer is an answer that meets a reset.
func (p *proxy) meetsReset(line []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var m message
	if !p.resetAtAnswer || json.Unmarshal(line, &m) != nil || m.Type != "up" {
		return false
	}
	p.resetAtAnswer = false
	return true
}

// pass copies lines from one side to the other until a side ends.
func (p *proxy) pass(from, to *lineConn, connected *pair, fromPlacer bool) {
	lines := bufio.NewReaderSize(from.Conn, 2*maxLine)
	for {
		line, err := lines.ReadSlice('\n')
		if fromPlacer && p.meetsReset(line) {
			p.rec.add("network", "resets the connection while this is on its way: %s", line[:len(line)-1])
			connected.reset()
			return
		}
		if _, writeErr := to.Write(line); err != nil || writeErr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.add("network", "resets the connection")
	for _, connected := range p.pairs {
		connected.reset()
	}
	p.pairs = nil
}

// setResetAtAnswer makes the next answer meet a reset.
func (p *proxy) setResetAtAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAtAnswer = true
}

func (p *proxy) stop() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connected := range p.pairs {
		connected.reset()
	}
}
