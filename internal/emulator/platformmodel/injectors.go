package platformmodel

import (
	"slices"
	"time"
)

// massRestartDowntime is how long a process takes to start again in a FaultMassRestart.
const massRestartDowntime = 200 * time.Millisecond

// injector is what a type of fault does to each of its targets.
type injector struct {
	kinds []PartyKind // that it can befall
	begin func(e *Emulator, f *Fault, p *party)
	end   func(e *Emulator, f *Fault, p *party) // nil: nothing
}

var (
	allParties       = []PartyKind{HostParty, OwnerParty, EndpointLogParty}
	listeningParties = []PartyKind{HostParty, EndpointLogParty}
	messagingParties = []PartyKind{HostParty, OwnerParty} // an endpoint log that swaps events loses some: its numbers have gaps
	onlyHosts        = []PartyKind{HostParty}
)

// injectorOf returns what a type of fault does. A fault that is only counted as active takes effect where messages pass, in
// link.go, or where listeners change.
func injectorOf(t FaultType) injector {
	active := func(kinds []PartyKind) injector {
		return injector{kinds, (*Emulator).beginActive, (*Emulator).endActive}
	}
	return [faultTypeCount]injector{
		FaultDelayed:         {allParties, (*Emulator).beginDelayed, (*Emulator).endDelayed},
		FaultSilent:          active(allParties),
		FaultHalfOpen:        {allParties, (*Emulator).beginHalfOpen, (*Emulator).endHalfOpen},
		FaultReset:           {allParties, (*Emulator).beginReset, nil},
		FaultCorrupted:       active(allParties),
		FaultDuplicated:      active(allParties),
		FaultReordered:       active(messagingParties),
		FaultNotReading:      {allParties, (*Emulator).beginNotReading, (*Emulator).endNotReading},
		FaultRefused:         active(listeningParties),
		FaultClockSkew:       {onlyHosts, (*Emulator).beginClockSkew, (*Emulator).endClockSkew},
		FaultMassKill:        {onlyHosts, (*Emulator).beginMassKill, (*Emulator).endMassKill},
		FaultMassRestart:     {onlyHosts, (*Emulator).beginMassRestart, nil},
		FaultZonePartition:   active(onlyHosts),
		FaultHostReplaced:    {onlyHosts, (*Emulator).beginMachineLoss, (*Emulator).endHostReplaced},
		FaultHostReaddressed: {onlyHosts, (*Emulator).beginMachineLoss, (*Emulator).endHostReaddressed},
		FaultMassHandOver:    {[]PartyKind{OwnerParty}, (*Emulator).beginMassHandOver, nil},
		FaultSequenceRestart: {[]PartyKind{EndpointLogParty}, (*Emulator).beginSequenceRestart, nil},
	}[t]
}

// beginActive counts a fault as active.
func (e *Emulator) beginActive(f *Fault, p *party) {
	p.active[f.Type]++
	e.updateListener(p)
}

// endActive ends an active fault and lets pass what it held back.
func (e *Emulator) endActive(f *Fault, p *party) {
	p.active[f.Type]--
	e.updateListener(p)
	for _, l := range p.sortedLinks() {
		if p.active[FaultReordered] == 0 {
			e.releaseReordered(l)
		}
		e.flush(l)
	}
}

func (e *Emulator) beginDelayed(f *Fault, p *party) { p.delay += f.Amount }
func (e *Emulator) endDelayed(f *Fault, p *party)   { p.delay -= f.Amount }

// beginHalfOpen makes the open connections dead. Neither side notices.
func (e *Emulator) beginHalfOpen(f *Fault, p *party) {
	for _, l := range p.links {
		l.dead = true
	}
	e.beginActive(f, p)
}

// endHalfOpen resets the dead connections, as a machine does that no longer knows them.
func (e *Emulator) endHalfOpen(f *Fault, p *party) {
	e.endActive(f, p)
	if p.active[FaultHalfOpen] == 0 {
		e.resetDeadLinks(p)
	}
}

func (e *Emulator) beginReset(_ *Fault, p *party) { e.resetLinks(p) }

func (e *Emulator) beginNotReading(f *Fault, p *party) {
	e.beginActive(f, p)
	for _, l := range p.sortedLinks() {
		e.emit(StopReading{l.id})
	}
}

func (e *Emulator) endNotReading(f *Fault, p *party) {
	e.endActive(f, p)
	if p.active[FaultNotReading] > 0 {
		return
	}
	for _, l := range p.sortedLinks() {
		e.emit(ResumeReading{l.id})
	}
}

// beginClockSkew shifts the clock by which a host says when it has started.
func (e *Emulator) beginClockSkew(f *Fault, p *party) { p.host.clockSkew += f.Amount }
func (e *Emulator) endClockSkew(f *Fault, p *party)   { p.host.clockSkew -= f.Amount }

func (e *Emulator) beginMassKill(_ *Fault, p *party) { e.killHost(p) }
func (e *Emulator) endMassKill(_ *Fault, p *party)   { e.startHost(p) }

// beginMassRestart kills a target when its turn comes, and starts it again.
func (e *Emulator) beginMassRestart(f *Fault, p *party) {
	targets := e.targets(f)
	turn := f.Duration * time.Duration(slices.Index(targets, p)) / time.Duration(len(targets))
	e.after(turn, func() { e.killHost(p) })
	e.after(turn+massRestartDowntime, func() { e.startHost(p) })
}

// beginMachineLoss takes the machine away; nobody ends its connections.
func (e *Emulator) beginMachineLoss(_ *Fault, p *party) { e.loseMachine(p) }

// endHostReplaced gives the address to another machine, which resets the connections of the one that was there.
func (e *Emulator) endHostReplaced(_ *Fault, p *party) {
	if p.host.machineLost {
		e.lastHostNumber++
		p.host.name = hostName(e.lastHostNumber)
		e.resetDeadLinks(p)
		e.restoreMachine(p)
	}
}

// endHostReaddressed brings the machine back at another address. Nothing ever answers at the old one.
func (e *Emulator) endHostReaddressed(_ *Fault, p *party) {
	if p.host.machineLost {
		p.listener = e.newListener(p)
		e.restoreMachine(p)
	}
}

func (e *Emulator) beginMassHandOver(_ *Fault, p *party) {
	e.execute(p, p.model.(*Owner).HandOver(e.now))
}

func (e *Emulator) beginSequenceRestart(_ *Fault, p *party) {
	e.execute(p, p.model.(*EndpointLog).RestartSequence(e.now))
}
