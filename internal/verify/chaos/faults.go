package chaos

import (
	"math/rand/v2"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// activeFault is a fault of the scenario that is being injected.
type activeFault struct {
	scenario.Fault
	rng   *rand.Rand
	hosts []*testcluster.Host // the affected hosts, in the order in which they are affected
}

// injectors holds the method that injects each kind of fault. The method returns when the fault is over and undone as
// far as it can be. If the run is canceled, the method waits no longer but still undoes the fault.
var injectors = map[scenario.FaultKind]func(*runner, *activeFault){
	scenario.Crash:            (*runner).crashHosts,
	scenario.HostUnresponsive: (*runner).vanishAndRestartHosts,
	scenario.MassRestart:      (*runner).restartRack,
	scenario.CrashDuringStart: (*runner).crashDuringStart,
	scenario.CrashAfterBind:   (*runner).crashAfterBind,
	scenario.HostPauses:       (*runner).pauseHosts,
	scenario.HostSlowdown:     (*runner).slowHosts,
	scenario.HostDegradation:  (*runner).degradeHosts,
	scenario.ClassUnanswered:  (*runner).suppressStarts,
	scenario.ClassRejected:    (*runner).rejectClass,
	scenario.HostRemoval:      (*runner).removeHosts,
	scenario.RollingRestart:   (*runner).replaceHosts,

	scenario.ConnectionResets:    (*runner).resetConnections,
	scenario.HalfOpenConnections: (*runner).muteConnections,
	scenario.TruncatedFrames:     (*runner).truncateFrames,
	scenario.DelayedFrames:       (*runner).delayFrames,

	scenario.LateReports:    (*runner).delayReports,
	scenario.StaleDiscovery: (*runner).delayDiscovery,
	scenario.ListOutage:     (*runner).stopCatalog,
	scenario.ListFrozen:     (*runner).freezeCatalog,

	scenario.ZoneLoss:    (*runner).loseZone,
	scenario.PlacerStall: (*runner).stallPlacers,
	scenario.PlacerKill:  (*runner).killPlacer,
	scenario.GossipLoss:  (*runner).dropGossip,

	scenario.Burst:               (*runner).raiseLoad,
	scenario.ProjectResubmission: (*runner).resubmitProjects,
	scenario.ClientDisconnects:   (*runner).breakStreams,
	scenario.SlowReader:          (*runner).slowReading,
}

// injectFault injects a fault and returns when it is over. All random draws come from rng; the affected hosts are drawn
// first.
func (r *runner) injectFault(fault scenario.Fault, rng *rand.Rand) {
	f := &activeFault{Fault: fault, rng: rng}
	f.drawHosts(r.cluster.Hosts)
	injectors[fault.Kind](r, f)
}

// drawHosts draws the affected hosts from those in the fault's zone and rack. Their number is the fault's share of all
// hosts, and at least one.
func (f *activeFault) drawHosts(all []*testcluster.Host) {
	var candidates []*testcluster.Host
	for _, h := range all {
		if (f.Zone == "" || h.Group.Zone == f.Zone) && (f.Rack == "" || h.Rack == f.Rack) {
			candidates = append(candidates, h)
		}
	}
	f.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := max(int(f.HostShare*float64(len(all))+0.5), 1)
	f.hosts = candidates[:min(count, len(candidates))]
}

// during begins a condition with set(true), waits for the duration of a fault, and ends the condition with set(false).
func (r *runner) during(f *activeFault, set func(on bool)) {
	set(true)
	r.sleep(f.Duration)
	set(false)
}

// repeat calls a function at the fault's interval until the fault is over or the run is canceled.
func (r *runner) repeat(f *activeFault, do func()) {
	for end := time.Now().Add(f.Duration); time.Now().Before(end); {
		do()
		if !r.sleep(f.Interval) {
			return
		}
	}
}

// eachHost calls a function for each affected host that is up, on the event loop of the host.
func (f *activeFault) eachHost(do func(h *hostmodel.Host, now time.Duration)) {
	for _, h := range f.hosts {
		h.With(func(model *hostmodel.Host, now time.Duration) []hostmodel.Output {
			do(model, now)
			return nil
		})
	}
}
