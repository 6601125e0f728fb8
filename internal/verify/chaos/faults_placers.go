package chaos

// loseZone takes all hosts of a zone and its placers away, and brings them back.
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

// stallPlacers stalls the event loop of one placer, or of all for -1, again and again.
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

// killPlacer kills a placer, by default the first one, and starts it again.
func (r *runner) killPlacer(f *activeFault) {
	i := max(f.Placer, 0)
	r.cluster.KillPlacer(i)
	r.sleep(f.Duration)
	r.startPlacer(i)
}

func (r *runner) startPlacer(i int) {
	if err := r.cluster.StartPlacer(i); err != nil {
		r.opt.Log.Error().Err(err).Msg("a placer does not come back")
	}
}

// dropGossip loses a fraction of the messages between placers.
func (r *runner) dropGossip(f *activeFault) {
	r.cluster.GossipLossPerMille.Store(uint64(1000 * min(f.Factor, 1)))
	r.sleep(f.Duration)
	r.cluster.GossipLossPerMille.Store(0)
}
