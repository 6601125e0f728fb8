package platformmodel

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxFaults bounds a schedule.
const maxFaults = 10_000

// FaultType says what goes wrong.
type FaultType uint8

// The types of faults. What a fault affects is in force for its duration, unless it says "once".
const (
	FaultDelayed         FaultType = iota // what the target sends is written Amount later
	FaultSilent                           // what the target sends is held back until the end
	FaultHalfOpen                         // open connections pass nothing any more, not even their end; new ones are not made
	FaultReset                            // once: the target's connections are reset
	FaultCorrupted                        // what the target sends is garbled
	FaultDuplicated                       // what the target sends is written twice
	FaultReordered                        // of each two messages that the target sends on a connection, the second goes first
	FaultNotReading                       // the target reads nothing
	FaultRefused                          // new connections to the target are refused
	FaultClockSkew                        // the target's clock is ahead by Amount
	FaultMassKill                         // the targets' processes are killed at once, and start again at the end
	FaultMassRestart                      // the targets' processes restart one after another, spread over the duration
	FaultZonePartition                    // nothing passes between the targets and placers; it does at the end
	FaultHostReplaced                     // the target's machine vanishes; at the end another one has its address
	FaultHostReaddressed                  // the target's machine vanishes; at the end it is back under its name at another address
	FaultMassHandOver                     // once: the target hands over all its tasks
	FaultSequenceRestart                  // once: the numbers of the endpoint log begin again
	faultTypeCount
)

var faultNames = [faultTypeCount]string{
	"late", "silent", "half-open", "reset", "spoilt", "doubled", "reordered", "unread", "refused", "clock skew", "mass kill",
	"mass restart", "zone partition", "host replaced", "host readdressed", "mass hand-over", "sequence restart",
}

// String returns the fault's name.
func (t FaultType) String() string {
	if t < faultTypeCount {
		return faultNames[t]
	}
	return fmt.Sprintf("FaultType(%d)", uint8(t))
}

// Target names the parties of one kind that a fault befalls.
type Target struct {
	Kind   PartyKind
	All    bool   // all of this kind; else Zone, if it is not empty, else Number
	Zone   string // the hosts of a zone
	Number int
}

// Fault is one entry of a schedule.
type Fault struct {
	At       time.Duration // since the beginning of the run
	Duration time.Duration
	Type     FaultType
	Target   Target
	Amount   time.Duration // of FaultDelayed and FaultClockSkew
}

// includes reports whether a party is a target.
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

// validateFault checks an entry of a schedule against the parties that there are.
func (e *Emulator) validateFault(f *Fault) error {
	if f.Type >= faultTypeCount {
		return fmt.Errorf("there is no %s", f.Type)
	}
	if f.At < 0 || f.Duration < 0 {
		return errors.New("a time is below 0")
	}
	if f.Type == FaultDelayed && f.Amount <= 0 {
		return errors.New("how late is not above 0")
	}
	if !slices.Contains(injectorOf(f.Type).kinds, f.Target.Kind) {
		return fmt.Errorf("%s does not befall a target of kind %d", f.Type, f.Target.Kind)
	}
	if !slices.ContainsFunc(e.parties, f.Target.includes) {
		return fmt.Errorf("%s has no target", f.Type)
	}
	return nil
}
