package invariant

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// Host is a host as a placer knows it. Times are of the placer's clock.
type Host struct {
	ID            attempt.HostID
	State         forkhead.MachineState
	DrainingSince time.Duration // when the placer was notified that the host drains or is removed
	MachineType   int
	Zone          int
	Cell          int
	Labels        uint64        // has a bit for each constraint that the host meets
	StartedAt     time.Duration // time at which the host's incarnation started
}

// SameDomain reports whether two hosts are in the same domain of a level of the topology.
func SameDomain(level forkhead.Domain, x, y *Host) bool {
	switch level {
	case forkhead.MachineDomain:
		return x.ID == y.ID
	case forkhead.CellDomain:
		return x.Cell == y.Cell
	case forkhead.ZoneDomain:
		return x.Zone == y.Zone
	}
	return true
}

// DrainGraceExpired reports whether nothing new may be sent to a host: the host drains or is removed, and the grace
// period since the placer was notified of that is over.
func DrainGraceExpired(now time.Duration, state forkhead.MachineState, since, grace time.Duration) bool {
	return state != forkhead.Ready && now > since+grace
}
