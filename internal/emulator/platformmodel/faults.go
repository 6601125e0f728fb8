package platformmodel

import (
	"fmt"
	"slices"
	"time"
)

// maxFaults limits the number of faults of a schedule.
const maxFaults = 10_000

// FaultType is the type of a fault.
type FaultType uint8

// The types of faults. A fault is in force for its duration, except for those that act once, at its beginning.
const (
	FaultDelayed         FaultType = iota // messages of the target are written with a delay of Amount
	FaultSilent                           // messages of the target are held back until the fault ends
	FaultHalfOpen                         // open connections pass nothing, not even a close; new connections get no answer
	FaultReset                            // acts once: all connections of the target are reset
	FaultCorrupted                        // messages of the target are made unreadable
	FaultDuplicated                       // messages of the target are written twice
	FaultReordered                        // messages of the target on a connection are swapped in pairs
	FaultNotReading                       // the target reads nothing from its connections
	FaultRefused                          // new connections to the target are refused
	FaultClockSkew                        // the target's clock is ahead by Amount
	FaultMassKill                         // all targets are killed at once, and started again when the fault ends
	FaultMassRestart                      // the targets restart one after another, spread over the duration of the fault
	FaultZonePartition                    // nothing passes between the targets and placers until the fault ends
	FaultHostReplaced                     // the target's machine is lost; another gets its address when the fault ends
	FaultHostReaddressed                  // the target's machine is lost, and back at another address when the fault ends
	FaultMassHandOver                     // acts once: the target hands over all its running tasks
	FaultSequenceRestart                  // acts once: the endpoint log numbers its events from 1 again
	FaultIdleClosed                       // acts once: the target closes its connections without undecided offers
	FaultListedRemoved                    // the endpoint log has the target as terminated, although its process runs
	FaultOmitted                          // a snapshot of the endpoint log leaves the target out, although its process runs
	FaultAddressTaken                     // the target's process is killed, and another host takes its address at once; the end lists the target as terminated
	FaultHung                             // the target's process hangs and its tasks end; its port still accepts; the end restarts it
	FaultConnectionsDead                  // every second connection passes nothing, not even a close, until the fault ends; new ones work
	faultTypeCount
)

// faultNames are the names under which the types are printed. Some differ from the names of the constants.
var faultNames = [faultTypeCount]string{
	"late", "silent", "half-open", "reset", "spoilt", "doubled", "reordered", "unread", "refused", "clock skew", "mass kill",
	"mass restart", "zone partition", "host replaced", "host readdressed", "mass hand-over", "sequence restart",
	"idle closed", "listed removed", "omitted", "address taken", "hung", "connections dead",
}

// String returns the name of the type.
func (t FaultType) String() string {
	if t < faultTypeCount {
		return faultNames[t]
	}
	return fmt.Sprintf("FaultType(%d)", uint8(t))
}

// Target selects the parties that a fault affects; all are of one kind.
type Target struct {
	Kind   PartyKind
	All    bool   // all parties of the kind; Zone and Number are ignored
	Zone   string // the hosts of this zone; "": the party with Number
	Number int    // index in the configuration
}

// Fault is one entry of a schedule of faults.
type Fault struct {
	At       time.Duration // time from the input Begin to the beginning of the fault
	Duration time.Duration
	Type     FaultType
	Target   Target
	Amount   time.Duration // delay of FaultDelayed, clock offset of FaultClockSkew; else unused
}

// includes reports whether the target selects a party.
func (t *Target) includes(p *party) bool {
	switch {
	case t.Kind != p.id.Kind:
		return false
	case t.All:
		return true
	case t.Zone != "":
		return p.host != nil && p.host.spec.Zone == t.Zone
	}
	return t.Number == p.id.Number
}

// validateFault checks a fault against the parties of the emulator.
func (e *Emulator) validateFault(f *Fault) error {
	if f.Type >= faultTypeCount {
		return fmt.Errorf("unknown fault type %s", f.Type)
	}
	if f.At < 0 || f.Duration < 0 {
		return fmt.Errorf("%s: At is %v and Duration is %v, want at least 0", f.Type, f.At, f.Duration)
	}
	if f.Type == FaultDelayed && f.Amount <= 0 {
		return fmt.Errorf("%s: Amount is %v, want above 0", f.Type, f.Amount)
	}
	if !slices.Contains(injectorOf(f.Type).kinds, f.Target.Kind) {
		return fmt.Errorf("%s does not apply to a target of kind %d", f.Type, f.Target.Kind)
	}
	if !slices.ContainsFunc(e.parties, f.Target.includes) {
		return fmt.Errorf("%s: target %+v selects no party", f.Type, f.Target)
	}
	return nil
}
