// Package platformsim tests pure cores of the platform's placer by deterministic simulation: several placers over a few
// hosts on a clock of its own, with connections that deliver late, break, become unresponsive and corrupt what they
// carry, hosts that drain, crash, warm up after a restart and are partitioned, a watch that lags, owners that cancel
// requests, and placers that are killed. The rules are checked on what is written and delivered.
package platformsim

import (
	"time"

	"forkhead"
	platformcore "forkhead/internal/scheduler/platform"
)

// Config is what is simulated.
type Config struct {
	Settings       forkhead.Settings // Placers and Self are filled in
	WireNames      platformcore.WireNames
	IdleTimeout    time.Duration
	Placers        int
	Hosts          int
	Tasks          int
	MaxConnections int     // of a placer
	Faults         float64 // how much goes wrong, from 0 to 1
	Seed           uint64
	InjectFault    OutputFilter // nil: none
}

// OutputFilter returns what a placer is taken to have output in place of an output. It injects a fault, to see that the
// checks find it.
type OutputFilter func(platformcore.Output) []platformcore.Output

// Report is the result of a run.
type Report struct {
	Breaches                                     []string // of the rules; the first maxBreaches of them
	Requests, Placed, Rejected, Failed, Canceled int
	Offers, HandedOver, Kills, SlowStartOffers   int
	Lost, Ended                                  int
	Steps                                        int
}

const (
	arrivalTime = 12 * time.Second // requests and faults come for so long
	settleTime  = 30 * time.Second // and the run ends so long after
	maxBreaches = 20               // a run with so many ends
)

// Run simulates what cfg says. The same cfg gives the same report.
func Run(cfg Config) Report {
	w := newWorld(cfg)
	for i := range cfg.Placers {
		p := &placer{w: w, number: i}
		w.placers = append(w.placers, p)
		p.start()
	}
	for range cfg.Tasks {
		w.after(time.Duration(w.rng.Int64N(int64(arrivalTime))), w.arrive)
	}
	for range int(cfg.Faults * 30) {
		w.after(time.Duration(w.rng.Int64N(int64(arrivalTime))), w.injectFault)
	}
	end := w.now + arrivalTime + settleTime
	w.after(arrivalTime, w.endFaults)
	for len(w.report.Breaches) < maxBreaches && w.runNext(end) {
	}
	w.checkEnd()
	return w.report
}
