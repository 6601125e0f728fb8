package chaos

// loseZone makes all hosts of a zone unresponsive, kills its placers, and restarts all of them.
func (r *runner) loseZone(f *activeFault) {
	f.HostShare = 1
	f.drawHosts(r.cluster.Hosts)
	var placers []int
	for i, p := range r.scenario.Settings.Placers {
		if p.Zone == f.Zone {
			placers = append(placers, i)
		}
	}
	vanishHosts(f.hosts)
	for _, i := range placers {
		r.cluster.KillPlacer(i)
	}
	r.sleep(f.Duration)
	r.restartHosts(f.hosts)
	for _, i := range placers {
		r.startPlacer(i)
	}
}

// stallPlacers repeatedly stalls the event loop of the fault's placer, or of all placers if Fault.Placer is -1.
func (r *runner) stallPlacers(f *activeFault) {
	r.repeat(f, func() {
		for i := range r.cluster.PlacerCount() {
			p := r.cluster.Placer(i)
			if p != nil && (f.Placer < 0 || f.Placer == i) {
				p.InjectStall(f.Delay)
			}
		}
	})
}

// killPlacer kills a placer, by default the first one, and restarts it.
func (r *runner) killPlacer(f *activeFault) {
	i := max(f.Placer, 0)
	r.cluster.KillPlacer(i)
	r.sleep(f.Duration)
	r.startPlacer(i)
}

func (r *runner) startPlacer(i int) {
	if err := r.cluster.StartPlacer(i); err != nil {
		r.opt.Log.Error().Err(err).Int("placer", i).Msg("cannot restart placer")
	}
}

// dropGossip drops a fraction of the messages between placers.
func (r *runner) dropGossip(f *activeFault) {
	r.cluster.GossipLossPerMille.Store(uint64(1000 * min(f.Factor, 1)))
	r.sleep(f.Duration)
	r.cluster.GossipLossPerMille.Store(0)
}
