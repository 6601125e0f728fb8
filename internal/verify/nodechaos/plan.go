package nodechaos

import (
	"syscall"
	"time"

	"forkhead"
	"forkhead/internal/emulator/platformmodel"
)

// Plan determines a run.
type Plan struct {
	Seed    uint64
	Length  time.Duration // from the begin of the requests to the end of the run
	Placers int
	Racks   int // the hosts are spread evenly over the racks
	Hosts   int
	// Services is the number of services. Each requests more tasks than the spread limit allows.
	Services int
	// RunTime is the range of the run times of tasks.
	RunTime platformmodel.Range
	// RequestInterval is the time between two requests of a service.
	RequestInterval time.Duration
	// ReleaseAfter is the time after which owners release the tasks of their first requests; 0: they do not.
	ReleaseAfter time.Duration
	// NoteInterval is the time between two notes of a host on a running task; 0: there are none.
	NoteInterval time.Duration
	Faults       []platformmodel.Fault
	Signals      []Signal
	Crowd        Crowd
}

// Signal is a signal to the process of a placer. A placer that was killed, or that has exited after SIGTERM, is started
// again after RestartDelay.
type Signal struct {
	At           time.Duration // from the begin of the requests
	Placer       int
	Signal       syscall.Signal
	RestartDelay time.Duration
	// Then are signals that follow at the interval, to the same process if it runs.
	Then     []syscall.Signal
	Interval time.Duration
}

// Classes of the requests, by their index.
const (
	keyedClass = iota
	safeClass
	unsafeClass
	classCount
)

// maxPerRack is the spread limit of all classes.
const maxPerRack = 2

// classNames are the names of the classes in the settings.
var classNames = [classCount]string{"keyed", "safe", "unsafe"}

// classEffects are the effects of the classes.
var classEffects = [classCount]forkhead.Effect{forkhead.Keyed, forkhead.Safe, forkhead.Unsafe}

// Times of an owner's requests.
const (
	requestTimeout = 1500 * time.Millisecond
	// cancelGrace is how long an owner waits beyond the timeout of its request. It is longer than the rule allows, so
	// that a late answer is seen.
	cancelGrace = 700 * time.Millisecond
	dedupWindow = 8 * time.Second
)

// NewPlan returns a plan without faults and signals.
func NewPlan(seed uint64, length time.Duration) Plan {
	return Plan{
		Seed: seed, Length: length, Placers: 1, Racks: 3, Hosts: 6, Services: 8,
		RunTime:         platformmodel.Range{Min: time.Hour, Max: time.Hour},
		RequestInterval: 250 * time.Millisecond, NoteInterval: time.Second,
	}
}

// emulatorConfig returns the configuration of the emulated platform.
func (p *Plan) emulatorConfig() platformmodel.Config {
	cfg := platformmodel.Config{Placers: p.Placers, Faults: p.Faults, ListDelay: 300 * time.Millisecond, Seed: p.Seed}
	for i := range p.Hosts {
		cfg.Hosts = append(cfg.Hosts, platformmodel.HostSpec{
			Zone: zoneName, MachineType: machineTypeName, Cell: i % p.Racks,
			Config: platformmodel.HostConfig{
				Cores: hostCores, Memory: hostMemory, MaxQueued: 64, RunTime: p.RunTime,
				AnswerTime: platformmodel.Range{Min: 2 * time.Millisecond, Max: 10 * time.Millisecond}, NoteInterval: p.NoteInterval,
				IdleTimeout: idleTimeout, SlowStartDuration: slowStartDuration, SlowStartFactor: 2, SlowStartWindow: slowStartWindow,
			},
		})
	}
	for service := range p.Services {
		cfg.Owners = append(cfg.Owners, p.owner(service))
	}
	return cfg
}

// owner returns the owner of a service. Its first requests fill the service up to its spread limit, and the later ones
// come at regular intervals.
func (p *Plan) owner(service int) platformmodel.OwnerConfig {
	owner := platformmodel.OwnerConfig{Number: service + 1, Tenant: tenantName, MaxSubmissions: 1, AnswerGrace: cancelGrace}
	for i := range classCount {
		owner.Classes = append(owner.Classes, platformmodel.Class{Name: classNames[i], Effect: classEffects[i], DedupWindow: dedupWindow})
	}
	request := platformmodel.Request{
		Placer: service % p.Placers, Class: service % classCount, Cores: 1, Memory: 1, Service: uint64(service + 1), Timeout: requestTimeout,
	}
	const fillInterval = 30 * time.Millisecond
	for range maxPerRack * p.Racks {
		request.At += fillInterval
		request.ReleaseAfter = p.ReleaseAfter
		owner.Requests = append(owner.Requests, request)
	}
	request.ReleaseAfter = 0
	lastAt := p.Length - requestTimeout - cancelGrace
	for request.At += p.RequestInterval; request.At < lastAt; request.At += p.RequestInterval {
		owner.Requests = append(owner.Requests, request)
	}
	return owner
}
