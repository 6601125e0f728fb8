// Package platformsim tests the pure core of the platform's placer by deterministic simulation. It runs several placers
// over a few hosts on a simulated clock. Connections deliver late, break, become unresponsive and corrupt messages;
// hosts drain, crash, warm up after a restart and are partitioned; the watch lags; owners cancel requests; and placers
// are killed. The rules are checked on the messages that are written and delivered.
package platformsim

import (
	"time"

	"forkhead"
	platformcore "forkhead/internal/scheduler/platform"
)

// Config configures a run.
type Config struct {
	Settings       forkhead.Settings // Placers and Self are set for each placer
	WireNames      platformcore.WireNames
	IdleTimeout    time.Duration
	Placers        int
	Hosts          int
	Tasks          int
	MaxConnections int     // maximum number of connections of a placer; less than 8 counts as 8
	LostHosts      int     // number of hosts that are lost while something accepts connections at their addresses
	Faults         float64 // frequency of faults, from 0 to 1
	Seed           uint64
	InjectFault    OutputFilter // nil injects no fault into outputs
}

// OutputFilter returns the outputs that replace an output of a placer. Tests use a filter to inject a fault that the
// checks must find.
type OutputFilter func(platformcore.Output) []platformcore.Output

// Report is the result of a run.
type Report struct {
	Breaches                                     []string // the first maxBreaches breaches of the rules
	Requests, Placed, Rejected, Failed, Canceled int      // Canceled counts requests whose owner disconnected
	Offers, HandedOver, Kills, SlowStartOffers   int      // SlowStartOffers counts the offers to hosts in a slow start
	// Lost counts bound tasks that ended unnoticed while their placer was down. Ended counts bound tasks that were
	// released.
	Lost, Ended int
	Steps       int // steps of all cores
	// AddressesTaken, Hangs and Forgotten count the losses of hosts by their kind, Forgotten by connections.
	AddressesTaken, Hangs, Forgotten int
}

const (
	arrivalTime = 12 * time.Second // duration of requests and faults
	settleTime  = 30 * time.Second // time from the end of the faults to the end of the run
	maxBreaches = 20               // number of breaches at which a run ends
)

// Run runs the simulation that cfg describes. The report is determined by cfg.
func Run(cfg Config) Report {
	w := newWorld(cfg)
	for i := range cfg.Placers {
		p := &placer{w: w, number: i}
		w.placers = append(w.placers, p)
		p.start()
	}
	return w.run()
}

// run plays the requests and faults and checks the rules.
func (w *world) run() Report {
	cfg := &w.Config
	for range cfg.Tasks {
		w.after(time.Duration(w.rng.Int64N(int64(arrivalTime))), w.sendNewRequest)
	}
	for range int(cfg.Faults * 30) {
		w.after(time.Duration(w.rng.Int64N(int64(arrivalTime))), w.injectFault)
	}
	for range cfg.LostHosts {
		w.after(time.Duration(w.rng.Int64N(int64(arrivalTime))), w.loseReachableHost)
	}
	end := w.now + arrivalTime + settleTime
	w.after(arrivalTime, w.endFaults)
	for len(w.report.Breaches) < maxBreaches && w.runNext(end) {
	}
	w.checkEnd()
	return w.report
}
