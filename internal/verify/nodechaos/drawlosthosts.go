package nodechaos

import (
	"math/rand/v2"
	"syscall"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

// Shape of a plan of DrawLostHosts.
const (
	lostHostsLength   = 24 * time.Second
	lastLossAt        = 13 * time.Second // leaves time for each owner to be notified
	maxLosses         = 6
	maxOtherFaults    = 3
	maxSignalSeries   = 3
	maxSeriesInterval = 150 * time.Millisecond
	maxCrowd          = 300 // connections, below the limit of a placer's descriptors
	lostHostsStream   = 13  // keeps the draws independent of others with the same seed
)

// losses are the ways in which a host is lost, or only seems lost, that DrawLostHosts chooses from.
var losses = []platformmodel.FaultType{
	platformmodel.FaultAddressTaken, platformmodel.FaultAddressTaken, platformmodel.FaultHung, platformmodel.FaultHung,
	platformmodel.FaultConnectionsDead, platformmodel.FaultConnectionsDead, platformmodel.FaultHostReplaced, platformmodel.FaultMassKill,
	platformmodel.FaultListedRemoved, platformmodel.FaultHostReaddressed,
}

// crossings are the faults of a host that DrawLostHosts puts shortly before or after its loss.
var crossings = []platformmodel.FaultType{
	platformmodel.FaultListedRemoved, platformmodel.FaultOmitted, platformmodel.FaultIdleClosed, platformmodel.FaultReset,
	platformmodel.FaultConnectionsDead, platformmodel.FaultRefused, platformmodel.FaultSilent,
}

// DrawLostHosts returns the plan of a seed in which hosts are lost in ways that leave something reachable at their addresses,
// beside changes of the endpoint list, hand-overs, series of signals and, in some plans, a crowd of idle clients.
func DrawLostHosts(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, lostHostsStream))
	p := NewPlan(seed, lostHostsLength)
	p.Placers = 1 + rng.IntN(2)
	p.Racks = 2 + rng.IntN(3)
	p.Hosts = p.Racks * (1 + rng.IntN(3))
	p.NoteInterval = [...]time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		p.RunTime = platformmodel.Range{Min: time.Second, Max: 12 * time.Second}
	}
	for range 1 + rng.IntN(maxLosses) {
		p.Faults = append(p.Faults, p.drawLoss(rng)...)
	}
	for range rng.IntN(maxOtherFaults + 1) {
		f := p.drawFault(rng)
		f.At = min(f.At, lastLossAt)
		p.Faults = append(p.Faults, f)
	}
	for range rng.IntN(maxSignalSeries + 1) {
		p.Signals = append(p.Signals, p.drawSeries(rng))
	}
	if rng.IntN(3) == 0 {
		p.Crowd = Crowd{At: drawDuration(rng, 0, lastLossAt), Placer: rng.IntN(p.Placers), Connections: 50 + rng.IntN(maxCrowd-50)}
	}
	return p
}

// drawLoss returns the loss of a host, and in most cases another fault of it at about the same time.
func (p *Plan) drawLoss(rng *rand.Rand) []platformmodel.Fault {
	loss := platformmodel.Fault{
		At: drawDuration(rng, firstFaultAt, lastLossAt), Type: losses[rng.IntN(len(losses))],
		Target: platformmodel.Target{Kind: platformmodel.HostParty, Number: rng.IntN(p.Hosts)},
	}
	loss.Duration = drawLossDuration(rng)
	faults := []platformmodel.Fault{loss}
	if rng.IntN(3) > 0 {
		crossing := loss
		crossing.Type = crossings[rng.IntN(len(crossings))]
		crossing.At = max(firstFaultAt, loss.At+drawDuration(rng, -1500*time.Millisecond, 1500*time.Millisecond))
		crossing.Duration = drawLossDuration(rng)
		faults = append(faults, crossing)
	}
	if rng.IntN(3) == 0 {
		faults = append(faults, platformmodel.Fault{
			At: loss.At + drawDuration(rng, 0, 2*time.Second), Type: platformmodel.FaultMassHandOver,
			Target: platformmodel.Target{Kind: platformmodel.OwnerParty, Number: rng.IntN(p.Services)},
		})
	}
	return faults
}

// drawLossDuration returns a duration that is short, or that lasts beyond the end of the run.
func drawLossDuration(rng *rand.Rand) time.Duration {
	if rng.IntN(2) == 0 {
		return lostHostsLength
	}
	return drawDuration(rng, 50*time.Millisecond, 8*time.Second)
}

// drawSeries returns a signal. Others follow it at short intervals unless it kills or stops the process.
func (p *Plan) drawSeries(rng *rand.Rand) Signal {
	s := p.drawSignal(rng)
	s.At = min(s.At, lastLossAt)
	if s.Signal == syscall.SIGKILL || s.Signal == syscall.SIGSTOP {
		return s
	}
	s.Interval = drawDuration(rng, 0, maxSeriesInterval)
	for range rng.IntN(4) {
		s.Then = append(s.Then, [...]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(2)])
	}
	return s
}
