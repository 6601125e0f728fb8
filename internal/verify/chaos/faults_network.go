package chaos

import (
	"time"

	consulemulator "forkhead/internal/emulator/consul"
)

// The methods below inject faults of connections to hosts.

func (r *runner) resetConnections(f *activeFault) {
	r.repeat(f, func() {
		for _, h := range f.hosts {
			h.ResetConnections(f.Placer)
		}
	})
}

// muteConnections makes connections half-open: the hosts neither read from them nor write to them. These connections
// stay half-open; a host is reachable again only on a new connection.
func (r *runner) muteConnections(f *activeFault) {
	for _, h := range f.hosts {
		h.MuteConnections(f.Placer)
	}
}

func (r *runner) truncateFrames(f *activeFault) {
	r.repeat(f, func() {
		for _, h := range f.hosts {
			h.TruncateNextFrame()
		}
	})
}

func (r *runner) delayFrames(f *activeFault) {
	for _, h := range f.hosts {
		h.DelayFrames(f.Delay)
	}
	r.sleep(f.Duration)
	for _, h := range f.hosts {
		h.DelayFrames(0)
	}
}

// The methods below inject faults of service discovery.

// delayReports delays the hosts' registrations, and so the reports of available resources that are part of them.
func (r *runner) delayReports(f *activeFault) {
	r.lagCatalog(f, time.Duration(f.Factor*float64(r.scenario.Catalog.Lag)))
}

func (r *runner) delayDiscovery(f *activeFault) { r.lagCatalog(f, f.Delay) }

// lagCatalog sets how far the endpoint list lags behind the hosts. When the fault is over, it resets the lag to the
// scenario's value.
func (r *runner) lagCatalog(f *activeFault, lag time.Duration) {
	r.setCatalogLag(lag)
	r.sleep(f.Duration)
	r.setCatalogLag(r.scenario.Catalog.Lag)
}

func (r *runner) setCatalogLag(lag time.Duration) {
	r.cluster.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(lag) })
}

func (r *runner) stopCatalog(f *activeFault) { r.during(f, r.cluster.Catalog.SetOutage) }

func (r *runner) freezeCatalog(f *activeFault) {
	r.during(f, func(on bool) {
		r.cluster.Catalog.With(func(st *consulemulator.Store, now time.Duration) { st.SetFrozen(now, on) })
	})
}
