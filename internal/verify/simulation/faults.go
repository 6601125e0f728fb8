package simulation

import (
	"math/rand/v2"
	"time"
)

// faultInjector injects faults into a simulation, drawn from a generator of its own.
type faultInjector struct {
	s   *Sim
	rng *rand.Rand
}

// randomHost returns the name of a host, drawn evenly from all.
func (f *faultInjector) randomHost() string { return f.s.HostNames[f.rng.IntN(len(f.s.HostNames))] }

// randomMS returns a duration of whole milliseconds below n of them.
func (f *faultInjector) randomMS(n int) time.Duration {
	return time.Duration(f.rng.IntN(n)) * time.Millisecond
}

// crashHost kills a host that is up and restarts it, warming up, less than maxDownMS later.
func (f *faultInjector) crashHost(name string, maxDownMS int) {
	if f.s.Hosts[name].Model.Dead() {
		return
	}
	f.s.KillHost(name)
	f.s.After(f.randomMS(maxDownMS), func() { f.s.RestartHost(name, true) })
}

// blackhole loses all frames of a host for less than maxMS; then its connections are reset.
func (f *faultInjector) blackhole(name string, maxMS int) {
	h := f.s.Hosts[name]
	if h.Blackholed {
		return
	}
	h.Blackholed = true
	f.s.After(f.randomMS(maxMS), func() {
		h.Blackholed = false
		f.s.ResetConnections(name) // with what was on its way
	})
}

// pauseHost makes a host do nothing for less than maxMS.
func (f *faultInjector) pauseHost(name string, maxMS int) {
	f.s.Hosts[name].Model.Pause(f.s.Now, f.randomMS(maxMS))
}

// recoverHost ends a host's faults: it is up, listed, and can be reached over new connections.
func (f *faultInjector) recoverHost(name string) {
	h := f.s.Hosts[name]
	h.Blackholed, h.Listed = false, true
	f.s.ResetConnections(name)
	if h.Model.Dead() {
		f.s.RestartHost(name, false)
	}
}
