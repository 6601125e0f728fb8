package nodechaos

import (
	"math/rand/v2"
	"syscall"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

// Shape of a drawn plan.
const (
	drawnLength      = 20 * time.Second
	firstFaultAt     = 2 * time.Second
	faultFreeEnd     = 4 * time.Second // no fault begins in this time before the end
	minDrawnFaults   = 3
	maxDrawnFaults   = 10
	maxDrawnSignals  = 4
	maxFaultDuration = 10 * time.Second
	maxStop          = 3 * time.Second // longest time for which a placer is stopped
	drawStream       = 11              // keeps the draws independent of others with the same seed
)

// drawnHostFaults are the faults of hosts that Draw chooses from. Some are more likely than others.
var drawnHostFaults = []platformmodel.FaultType{
	platformmodel.FaultRefused, platformmodel.FaultRefused, platformmodel.FaultIdleClosed, platformmodel.FaultIdleClosed,
	platformmodel.FaultReset, platformmodel.FaultReset, platformmodel.FaultSilent, platformmodel.FaultHalfOpen,
	platformmodel.FaultDelayed, platformmodel.FaultCorrupted, platformmodel.FaultDuplicated, platformmodel.FaultReordered,
	platformmodel.FaultNotReading, platformmodel.FaultMassKill, platformmodel.FaultMassRestart, platformmodel.FaultZonePartition,
	platformmodel.FaultHostReplaced, platformmodel.FaultHostReaddressed, platformmodel.FaultListedRemoved, platformmodel.FaultListedRemoved,
	platformmodel.FaultOmitted, platformmodel.FaultOmitted,
}

// drawnListFaults are the faults of the endpoint log that Draw chooses from.
var drawnListFaults = []platformmodel.FaultType{
	platformmodel.FaultSilent, platformmodel.FaultHalfOpen, platformmodel.FaultReset, platformmodel.FaultRefused,
	platformmodel.FaultDelayed, platformmodel.FaultDuplicated, platformmodel.FaultCorrupted,
}

// drawnOwnerFaults are the faults of owners that Draw chooses from.
var drawnOwnerFaults = []platformmodel.FaultType{platformmodel.FaultReset, platformmodel.FaultNotReading, platformmodel.FaultMassHandOver}

// Draw returns the plan of a seed: a cluster, requests, faults and signals.
func Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, drawStream))
	p := NewPlan(seed, drawnLength)
	p.Placers = 1 + rng.IntN(2)
	p.Racks = 2 + rng.IntN(3)
	p.Hosts = p.Racks * (1 + rng.IntN(3))
	p.RunTime = [...]platformmodel.Range{
		{Min: time.Hour, Max: time.Hour}, {Min: 2 * time.Second, Max: 12 * time.Second}, {Min: 500 * time.Millisecond, Max: 30 * time.Second},
	}[rng.IntN(3)]
	if rng.IntN(2) == 0 {
		p.ReleaseAfter = drawDuration(rng, time.Second, 10*time.Second)
	}
	for range minDrawnFaults + rng.IntN(maxDrawnFaults-minDrawnFaults+1) {
		p.Faults = append(p.Faults, p.drawFault(rng))
	}
	for range rng.IntN(maxDrawnSignals + 1) {
		p.Signals = append(p.Signals, p.drawSignal(rng))
	}
	return p
}

func drawDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}

func (p *Plan) drawFault(rng *rand.Rand) platformmodel.Fault {
	f := platformmodel.Fault{At: drawDuration(rng, firstFaultAt, p.Length-faultFreeEnd)}
	longest := min(maxFaultDuration, p.Length-faultFreeEnd-f.At)
	f.Duration = drawDuration(rng, 50*time.Millisecond, max(longest, 100*time.Millisecond))
	f.Amount = drawDuration(rng, 10*time.Millisecond, 800*time.Millisecond)
	switch n := rng.IntN(10); {
	case n < 8:
		f.Type = drawnHostFaults[rng.IntN(len(drawnHostFaults))]
		f.Target = platformmodel.Target{Kind: platformmodel.HostParty, Number: rng.IntN(p.Hosts), All: rng.IntN(5) == 0}
	case n < 9:
		f.Type = drawnListFaults[rng.IntN(len(drawnListFaults))]
		f.Target = platformmodel.Target{Kind: platformmodel.EndpointLogParty}
	default:
		f.Type = drawnOwnerFaults[rng.IntN(len(drawnOwnerFaults))]
		f.Target = platformmodel.Target{Kind: platformmodel.OwnerParty, Number: rng.IntN(p.Services)}
	}
	return f
}

func (p *Plan) drawSignal(rng *rand.Rand) Signal {
	s := Signal{
		At: drawDuration(rng, firstFaultAt, p.Length-faultFreeEnd), Placer: rng.IntN(p.Placers),
		RestartDelay: drawDuration(rng, 50*time.Millisecond, maxStop),
	}
	s.Signal = [...]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGHUP}[rng.IntN(4)]
	return s
}
