package simulation

import (
	"math/rand/v2"
	"time"
)

// faultInjector injects faults into a simulation. It draws them from its own random number generator.
type faultInjector struct {
	s   *Sim
	rng *rand.Rand
}

// randomHost returns the name of a host, drawn evenly from all hosts.
func (f *faultInjector) randomHost() string { return f.s.HostNames[f.rng.IntN(len(f.s.HostNames))] }

// randomMS returns a random duration of 0 to n-1 milliseconds.
func (f *faultInjector) randomMS(n int) time.Duration {
	return time.Duration(f.rng.IntN(n)) * time.Millisecond
}

// crashHost kills a host that is up and restarts it, warming up, after less than maxDownMS milliseconds.
func (f *faultInjector) crashHost(name string, maxDownMS int) {
	if f.s.Hosts[name].Model.Dead() {
		return
	}
	f.s.KillHost(name)
	f.s.After(f.randomMS(maxDownMS), func() { f.s.RestartHost(name, true) })
}

// blackhole drops all frames to and from a host for less than maxMS milliseconds and then resets the host's connections.
func (f *faultInjector) blackhole(name string, maxMS int) {
	h := f.s.Hosts[name]
	if h.Blackholed {
		return
	}
	h.Blackholed = true
	f.s.After(f.randomMS(maxMS), func() {
		h.Blackholed = false
		f.s.ResetConnections(name) // also drops the frames in flight
	})
}

// pauseHost suspends a host for less than maxMS milliseconds.
func (f *faultInjector) pauseHost(name string, maxMS int) {
	f.s.Hosts[name].Model.Pause(f.s.Now, f.randomMS(maxMS))
}

// recoverHost ends all faults of a host: the host is up, listed and reachable, and its earlier connections are reset.
func (f *faultInjector) recoverHost(name string) {
	h := f.s.Hosts[name]
	h.Blackholed, h.Listed = false, true
	f.s.ResetConnections(name)
	if h.Model.Dead() {
		f.s.RestartHost(name, false)
	}
}
