package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// victims draws the hosts that a trouble strikes.
func (p *player) victims(t *scenario.Fault, rng *rand.Rand) []*testcluster.Host {
	var from []*testcluster.Host
	for _, h := range p.c.Hosts {
		if (t.Zone == "" || h.Group.Zone == t.Zone) && (t.Rack == "" || h.Rack == t.Rack) {
			from = append(from, h)
		}
	}
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	n := max(int(t.HostShare*float64(len(p.c.Hosts))+0.5), 1)
	return from[:min(n, len(from))]
}

// repeat calls do every so often until the trouble is over.
func (p *player) repeat(t *scenario.Fault, do func()) {
	for end := time.Now().Add(t.Duration); time.Now().Before(end); {
		do()
		if !p.sleep(t.Interval) {
			return
		}
	}
}

// revive brings hosts back, cold.
func (p *player) revive(hosts []*testcluster.Host) {
	for _, h := range hosts {
		if err := h.Restart(true); err != nil {
			p.opt.Log.Error().Err(err).Msg("a host does not come back")
		}
	}
}

// trouble plays one trouble to its end.
func (p *player) trouble(t scenario.Fault, rng *rand.Rand) {
	hosts := p.victims(&t, rng)
	with := func(do func(h *hostmodel.Host, now time.Duration)) {
		for _, h := range hosts {
			h.With(func(host *hostmodel.Host, now time.Duration) []hostmodel.Output {
				do(host, now)
				return nil
			})
		}
	}
	switch t.Kind {
	case scenario.Crash:
		for _, h := range hosts {
			h.Kill()
		}
		p.sleep(t.Duration)
		p.revive(hosts)
	case scenario.Vanish:
		for _, h := range hosts {
			h.Vanish()
		}
		p.sleep(t.Duration)
		p.revive(hosts)
	case scenario.HostPauses:
		p.repeat(&t, func() { with(func(h *hostmodel.Host, now time.Duration) { h.Pause(now, t.Delay) }) })
	case scenario.LateReports:
		// Reports are as late as registrations: hosts say what is free so much less often.
		p.c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) {
			st.SetLag(time.Duration(t.Factor * float64(p.s.Catalog.Lag)))
		})
		p.sleep(t.Duration)
		p.c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(p.s.Catalog.Lag) })
	case scenario.StaleDiscovery:
		p.c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(t.Delay) })
		p.sleep(t.Duration)
		p.c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(p.s.Catalog.Lag) })
	case scenario.ListOutage:
		p.c.Catalog.SetOutage(true)
		p.sleep(t.Duration)
		p.c.Catalog.SetOutage(false)
	case scenario.ListFrozen:
		p.c.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetFrozen(now, true) })
		p.sleep(t.Duration)
		p.c.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetFrozen(now, false) })
	case scenario.Shrink:
		for _, h := range hosts {
			p.drain(h, true)
			p.sleep(t.Duration / time.Duration(len(hosts)))
			h.Kill()
		}
	case scenario.Deploy:
		for _, h := range hosts {
			p.drain(h, rng.IntN(2) == 0)
			p.sleep(t.Delay)
			h.Kill()
			p.sleep(t.Delay / 2)
			p.c.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetMaintenance(now, h.Name(), false) })
			p.revive([]*testcluster.Host{h})
		}
	case scenario.HotKey, scenario.HostDegradation:
		steps := 1
		if t.Kind == scenario.HostDegradation {
			steps = 4
		}
		for i := range steps {
			factor := 1 + (t.Factor-1)*float64(i+1)/float64(steps)
			with(func(h *hostmodel.Host, now time.Duration) { h.SlowDown(now, t.Duration, factor) })
			p.sleep(t.Duration / time.Duration(steps))
		}
		if t.Kind == scenario.HostDegradation {
			for _, h := range hosts {
				h.Kill()
			}
			p.sleep(t.Interval)
			p.revive(hosts)
		}
	case scenario.ZoneLoss:
		t.HostShare = 1
		hosts = p.victims(&t, rng)
		var placers []int
		for i, pl := range p.s.Settings.Placers {
			if pl.Zone == t.Zone {
				placers = append(placers, i)
			}
		}
		for _, h := range hosts {
			h.Vanish()
		}
		for _, i := range placers {
			p.c.KillPlacer(i)
		}
		p.sleep(t.Duration)
		p.revive(hosts)
		p.startPlacers(placers)
	case scenario.MassRestart:
		t.HostShare = 1
		if t.Rack == "" {
			t.Rack = t.Zone + "-r0"
		}
		hosts = p.victims(&t, rng)
		for _, h := range hosts {
			h.Kill()
		}
		p.sleep(t.Duration)
		p.revive(hosts)
	case scenario.Burst:
		p.burst.Store(uint64(1000 * t.Factor))
		p.sleep(t.Duration)
		p.burst.Store(1000)
	case scenario.Reconnect:
		p.reconnect(&t, rng)
	case scenario.ClassUnanswered:
		with(func(h *hostmodel.Host, now time.Duration) { h.SuppressStarts(now, t.Duration, t.Class) })
	case scenario.ClassRejected:
		with(func(h *hostmodel.Host, now time.Duration) { h.RejectClass(now, t.Duration, t.Class) })
	case scenario.DieMidStart, scenario.DieAfterBind:
		at := hostmodel.DuringStart
		if t.Kind == scenario.DieAfterBind {
			at = hostmodel.AfterBind
		}
		with(func(h *hostmodel.Host, _ time.Duration) { h.CrashAt(at) })
		p.sleep(t.Duration)
		with(func(h *hostmodel.Host, _ time.Duration) { h.CrashAt(hostmodel.NoCrash) })
		p.revive(hosts)
	case scenario.PlacerStall:
		p.repeat(&t, func() {
			for i := range p.c.PlacerCount() {
				if pl := p.c.Placer(i); pl != nil && (t.Placer < 0 || t.Placer == i) {
					pl.InjectStall(t.Delay)
				}
			}
		})
	case scenario.PlacerKill:
		i := max(t.Placer, 0)
		p.c.KillPlacer(i)
		p.sleep(t.Duration)
		p.startPlacers([]int{i})
	case scenario.ConnectionResets:
		p.repeat(&t, func() {
			for _, h := range hosts {
				h.ResetConnections(t.Placer)
			}
		})
	case scenario.HalfOpenConnections:
		for _, h := range hosts {
			h.MuteConnections(t.Placer)
		}
	case scenario.TruncatedFrames:
		p.repeat(&t, func() {
			for _, h := range hosts {
				h.TruncateNextFrame()
			}
		})
	case scenario.DelayedFrames:
		for _, h := range hosts {
			h.DelayFrames(t.Delay)
		}
		p.sleep(t.Duration)
		for _, h := range hosts {
			h.DelayFrames(0)
		}
	case scenario.GossipLoss:
		p.c.GossipLossPerMille.Store(uint64(1000 * min(t.Factor, 1)))
		p.sleep(t.Duration)
		p.c.GossipLossPerMille.Store(0)
	case scenario.ClientDisconnects:
		p.cut.Store(true)
		p.sleep(t.Duration)
		p.cut.Store(false)
	case scenario.SlowReader:
		p.slow.Store(true)
		p.sleep(t.Duration)
		p.slow.Store(false)
	}
}

// drain makes a host drain by its own word and by the catalogue's.
func (p *player) drain(h *testcluster.Host, sendAway bool) {
	p.c.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetMaintenance(now, h.Name(), true) })
	h.With(func(host *hostmodel.Host, now time.Duration) []hostmodel.Output {
		return host.Drain(now, true, sendAway)
	})
}

func (p *player) startPlacers(which []int) {
	for _, i := range which {
		if err := p.c.StartPlacer(i); err != nil {
			p.opt.Log.Error().Err(err).Msg("a placer does not come back")
		}
	}
}

// reconnect lets owners end some of the projects that live and ask for all of each again.
func (p *player) reconnect(t *scenario.Fault, rng *rand.Rand) {
	p.live.Lock()
	var names []string
	for name := range p.live.v {
		names = append(names, name)
	}
	picked := map[string]project{}
	for _, name := range names {
		if rng.Float64() < t.Factor {
			picked[name] = p.live.v[name]
		}
	}
	p.live.Unlock()
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for name, pr := range picked {
		ctx, cancel := context.WithTimeout(p.ctx, 5*time.Second)
		at := fmt.Sprintf("http://%s/v1/projects/%s", p.c.Settings.Placers[pr.placer].HTTP, name)
		if req, err := http.NewRequestWithContext(ctx, http.MethodDelete, at, nil); err == nil {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		cancel()
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			p.submit(pr.placer, name, pr, 1)
		}()
	}
}
