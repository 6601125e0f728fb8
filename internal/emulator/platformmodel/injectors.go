package platformmodel

import (
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// massRestartDowntime is the time from the kill of a host to its start in a FaultMassRestart.
const massRestartDowntime = 200 * time.Millisecond

// injector implements a type of fault.
type injector struct {
	kinds []PartyKind                           // the kinds of parties that the fault applies to
	begin func(e *Emulator, f *Fault, p *party) // called for each target
	end   func(e *Emulator, f *Fault, p *party) // called for each target after the duration; nil: nothing to undo
}

var (
	allParties       = []PartyKind{HostParty, OwnerParty, EndpointLogParty}
	listeningParties = []PartyKind{HostParty, EndpointLogParty}
	// messagingParties leaves out the endpoint log: swapped events would leave gaps in its sequence, and placers would
	// lose them.
	messagingParties = []PartyKind{HostParty, OwnerParty}
	onlyHosts        = []PartyKind{HostParty}
)

// injectorOf returns the injector of a type of fault. For some faults, the injector only counts them as active. These
// faults take effect in wantedListenerState and in the functions of link.go, which pass messages.
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
		FaultIdleClosed:      {onlyHosts, (*Emulator).beginIdleClosed, nil},
		FaultListedRemoved:   {onlyHosts, (*Emulator).beginListedRemoved, (*Emulator).endListedRemoved},
		FaultAddressTaken:    {onlyHosts, (*Emulator).beginAddressTaken, (*Emulator).endAddressTaken},
		FaultHung:            {onlyHosts, (*Emulator).beginHung, (*Emulator).endHung},
		FaultConnectionsDead: {onlyHosts, (*Emulator).beginConnectionsDead, (*Emulator).endConnectionsDead},
		FaultOmitted:         {onlyHosts, (*Emulator).beginOmitted, (*Emulator).endOmitted},
	}[t]
}

// beginActive counts a fault as active at a party.
func (e *Emulator) beginActive(f *Fault, p *party) {
	p.active[f.Type]++
	e.updateListener(p)
}

// endActive ends an active fault and passes on the messages that it held back.
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

// beginHalfOpen marks the open connections as dead. Neither side is notified.
func (e *Emulator) beginHalfOpen(f *Fault, p *party) {
	for _, l := range p.links {
		l.dead = true
	}
	e.beginActive(f, p)
}

// endHalfOpen resets the dead connections, like a machine that has lost their state.
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

// beginClockSkew shifts the clock from which a host reports its start time.
func (e *Emulator) beginClockSkew(f *Fault, p *party) { p.host.clockSkew += f.Amount }
func (e *Emulator) endClockSkew(f *Fault, p *party)   { p.host.clockSkew -= f.Amount }

func (e *Emulator) beginMassKill(_ *Fault, p *party) { e.killHost(p) }
func (e *Emulator) endMassKill(_ *Fault, p *party)   { e.startHost(p) }

// beginMassRestart schedules the kill and the start of a target. The kills of all targets are spread evenly over the
// duration of the fault.
func (e *Emulator) beginMassRestart(f *Fault, p *party) {
	targets := e.targets(f)
	turn := f.Duration * time.Duration(slices.Index(targets, p)) / time.Duration(len(targets))
	e.after(turn, func() { e.killHost(p) })
	e.after(turn+massRestartDowntime, func() { e.startHost(p) })
}

// beginMachineLoss removes the machine of a host without closing its connections.
func (e *Emulator) beginMachineLoss(_ *Fault, p *party) { e.loseMachine(p) }

// endHostReplaced starts another machine at the address. It resets the connections of the lost machine, as it does not
// know them.
func (e *Emulator) endHostReplaced(_ *Fault, p *party) {
	if p.host.machineLost {
		e.lastHostNumber++
		p.host.name = hostName(e.lastHostNumber)
		e.resetDeadLinks(p)
		e.restoreMachine(p)
	}
}

// endHostReaddressed starts the machine again at another address. The old address never answers again.
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

// beginIdleClosed makes a host that is up close its connections without undecided offers.
func (e *Emulator) beginIdleClosed(_ *Fault, p *party) {
	if h, up := p.model.(*Host); up {
		e.execute(p, h.CloseIdleConnections(e.now))
	}
}

func (e *Emulator) beginListedRemoved(f *Fault, p *party) {
	p.active[f.Type]++
	e.publish(p)
}

func (e *Emulator) endListedRemoved(f *Fault, p *party) {
	p.active[f.Type]--
	e.publish(p)
}

// beginOmitted publishes a snapshot without the target. Snapshots for late subscribers leave it out, too, until the
// fault ends.
func (e *Emulator) beginOmitted(f *Fault, p *party) {
	p.active[f.Type]++
	e.execute(e.logParty, e.log.PublishSnapshotWithout(e.now, p.host.name))
}

func (e *Emulator) endOmitted(f *Fault, p *party) {
	p.active[f.Type]--
	p.host.published = platform.Endpoint{}
	e.publish(p)
}

// beginAddressTaken kills the process of a host and starts another host at its address. The entry of the killed host
// stays in the endpoint list until the fault ends.
func (e *Emulator) beginAddressTaken(_ *Fault, p *party) {
	if p.model == nil {
		return
	}
	p.host.former = append(p.host.former, p.host.published)
	e.killHost(p)
	e.lastHostNumber++
	p.host.name, p.host.published = hostName(e.lastHostNumber), platform.Endpoint{}
	e.startHost(p)
}

// endAddressTaken publishes the former hosts at the address as terminated.
func (e *Emulator) endAddressTaken(_ *Fault, p *party) {
	for _, entry := range p.host.former {
		entry.State = platform.Terminated
		e.execute(e.logParty, e.log.Publish(e.now, entry))
	}
	p.host.former = nil
}

// beginHung ends the tasks of a host. Its connections stay open and pass nothing.
func (e *Emulator) beginHung(_ *Fault, p *party) {
	if p.model == nil {
		return
	}
	p.host.hung = true
	for _, l := range p.links {
		l.dead = true
	}
	e.endIncarnation(p)
}

// endHung restarts the process of a host.
func (e *Emulator) endHung(_ *Fault, p *party) {
	if !p.host.hung {
		return
	}
	p.host.hung = false
	e.resetDeadLinks(p)
	e.startHost(p)
}

// beginConnectionsDead marks every second connection as dead. Neither side is notified.
func (e *Emulator) beginConnectionsDead(f *Fault, p *party) {
	p.active[f.Type]++
	for i, l := range p.sortedLinks() {
		l.dead = l.dead || i%2 == 0
	}
}

// endConnectionsDead resets the dead connections, also those that the placer has closed meanwhile.
func (e *Emulator) endConnectionsDead(f *Fault, p *party) {
	p.active[f.Type]--
	if p.host.machineLost || p.host.hung || p.active[FaultHalfOpen] > 0 {
		return
	}
	e.resetDeadLinks(p)
	for _, l := range p.host.unnoticed {
		e.record(RecordClosedByEmulator, l, nil)
		e.emit(ResetConnection{l.id})
		e.notifyModelClosed(l, true)
	}
	p.host.unnoticed = nil
}
