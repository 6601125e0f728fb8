package chaos

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// A rogue is a placer that is built to break a rule: it speaks the host protocol by itself, with
// no module and no guard. A script plants one to show that the checker, which sees only the
// traffic, catches it.
type rogue struct {
	n     uint32
	conns map[string]net.Conn
}

// roguePlacer is the number that it greets with: no real placer of a script has it.
const roguePlacer = 4000

func (g *rogue) dial(h *testcluster.Host) (net.Conn, error) {
	if c := g.conns[h.Name()]; c != nil {
		return c, nil
	}
	c, err := net.DialTimeout("tcp", h.Address(), time.Second)
	if err != nil {
		return nil, err
	}
	g.conns[h.Name()] = c
	go func() { _, _ = io.Copy(io.Discard, c) }()
	_, err = c.Write(hostproto.Append(nil, hostproto.Hello{Version: hostproto.Version, Placer: roguePlacer, Epoch: 1, Conn: 1}))
	return c, err
}

// offer sends an offer; tasks with one key are one task.
func (g *rogue) offer(h *testcluster.Host, class string, key, service uint64) error {
	c, err := g.dial(h)
	if err != nil {
		return err
	}
	g.n++
	_, err = c.Write(hostproto.Append(nil, hostproto.Offer{
		Ref: hostproto.Ref{Epoch: 1, Task: g.n}, Wait: 5 * time.Second, Spec: hostproto.Spec{
			Key: key, Service: service, Name: fmt.Sprintf("rogue/%s/%d", class, g.n), Class: class, Cores: 10, Memory: 10,
			Life: 10 * time.Second,
		},
	}))
	return err
}

func (g *rogue) close() {
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// plant breaks a rule.
func (p *player) plant(what scenario.InjectedBug) error {
	g := &rogue{conns: map[string]net.Conn{}}
	defer g.close()
	hosts := p.c.Hosts
	switch what {
	case scenario.BugRepeatedOffer:
		class := p.classWith(func(i int) bool { return p.s.Settings.Module.Classes[i].Effect == forkhead.Unsafe })
		for _, h := range hosts[:2] {
			if err := g.offer(h, class, 77, 78); err != nil {
				return err
			}
			p.sleep(500 * time.Millisecond)
		}
	case scenario.BugSpreadExceeded:
		class := p.classWith(func(i int) bool { return p.s.Settings.Module.Classes[i].SpreadDomain != forkhead.AnyDomain })
		i, _ := p.s.Settings.Class(class)
		for n := range p.s.Settings.Module.Classes[i].MaxPerDomain + 1 {
			if err := g.offer(hosts[0], class, uint64(100+n), 99); err != nil {
				return err
			}
		}
	case scenario.BugOfferWhileDraining:
		if _, err := g.dial(hosts[0]); err != nil {
			return err
		}
		p.sleep(100 * time.Millisecond)
		hosts[0].With(func(h *hostmodel.Host, now time.Duration) []hostmodel.Output { return h.Drain(now, true, false) })
		p.sleep(p.s.Settings.Module.DrainGrace + 500*time.Millisecond)
		if err := g.offer(hosts[0], p.s.Settings.Classes[0].Name, 5, 6); err != nil {
			return err
		}
	case scenario.BugSlowStartOverload:
		hosts[0].Kill()
		if err := hosts[0].Restart(true); err != nil {
			return err
		}
		for n := range 5000 {
			if err := g.offer(hosts[0], p.s.Settings.Classes[0].Name, uint64(1000+n), 7); err != nil {
				break // it has fallen
			}
		}
	case scenario.BugTwoOutcomes:
		p.twice.Store(true)
	}
	p.sleep(500 * time.Millisecond)
	return nil
}

// classWith returns the first class of the settings that a plant can use.
func (p *player) classWith(good func(i int) bool) string {
	for i, c := range p.s.Settings.Classes {
		if good(i) {
			return c.Name
		}
	}
	return p.s.Settings.Classes[0].Name
}

// twiceOver repeats the first line of a stream of outcomes with another word: what a front that
// tells two outcomes of one task would send.
type twiceOver struct{ http.RoundTripper }

// RoundTrip tampers with the body.
func (t twiceOver) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return nil, err
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	again := bytes.Replace(line, []byte(`"outcome":"placed"`), []byte(`"outcome":"failed"`), 1)
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), bytes.NewReader(append(again, '\n'))))
	return resp, nil
}
