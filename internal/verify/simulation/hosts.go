package simulation

import (
	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/core"
)

// hostSeed is the seed of every host. Together with the epoch of the host's incarnation it determines the host's random
// choices.
const hostSeed = 3

// Host is an emulated host with its connections.
type Host struct {
	Config     hostmodel.Config
	Model      *hostmodel.Host // the current incarnation
	Listed     bool            // the endpoint list contains the host
	State      forkhead.MachineState
	Blackholed bool // frames are dropped in both directions while connections stay open

	epoch          uint64          // epoch of the current incarnation
	conns          map[uint32]bool // open connections by the placer's connection number
	connGeneration int             // incremented when all connections end, so that frames in flight on them are dropped
}

// carries reports whether a frame that was sent on a connection arrives. generation is the value of connGeneration when
// the frame was sent.
func (h *Host) carries(conn uint32, generation int) bool {
	return h.conns[conn] && !h.Blackholed && generation == h.connGeneration
}

// AddHost adds a host that has been up for a long time, so that it is not warming up. The placer is notified of the
// host when the endpoint list is next sent.
func (s *Sim) AddHost(cfg hostmodel.Config) {
	h := &Host{Config: cfg, Listed: true, State: forkhead.Ready, epoch: 1, conns: map[uint32]bool{}}
	h.Model = hostmodel.New(cfg, h.epoch, hostSeed, s.Now, false)
	s.Hosts[cfg.Name] = h
	s.HostNames = append(s.HostNames, cfg.Name)
}

// KillHost crashes a host and resets its connections.
func (s *Sim) KillHost(name string) {
	s.Hosts[name].Model.Crash()
	s.dropConnections(name)
}

// RestartHost starts a new incarnation of a host and sends the endpoint list. If warmingUp is set, the host has just
// come up and warms up; otherwise it counts as a host that has been up for a long time.
func (s *Sim) RestartHost(name string, warmingUp bool) {
	h := s.Hosts[name]
	h.epoch++
	h.Model = hostmodel.New(h.Config, h.epoch, hostSeed, s.Now, warmingUp)
	s.SendHostList()
}

// SendHostList sends a snapshot of the endpoint list to the core. If the catalog is down, it sends an error instead and
// ends the core's subscription. It does nothing while the core is not subscribed.
func (s *Sim) SendHostList() {
	if !s.subscribed {
		return
	}
	if !s.CatalogUp {
		s.subscribed = false
		s.Step(core.HostListReceived{Mode: forkhead.ListFailed})
		return
	}
	list := core.HostListReceived{Mode: forkhead.ListSnapshot}
	for _, name := range s.HostNames {
		if h := s.Hosts[name]; h.Listed {
			list.Hosts = append(list.Hosts, h.entry())
		}
	}
	s.Step(list)
}

// entry returns the host's entry in the endpoint list.
func (h *Host) entry() core.HostEntry {
	cores, memory := h.Model.Available()
	return core.HostEntry{
		Name: h.Config.Name, Address: "addr-" + h.Config.Name, Kind: h.Config.MachineType, Zone: h.Config.Zone, Rack: h.Config.Rack,
		State: h.State, Started: h.Model.Started(), FreeCores: cores, FreeMemory: memory,
		Attributes: map[servicespec.Attribute]string{
			"hostname": h.Config.Name, "label.rack": h.Config.Rack, "label.kind": h.Config.MachineType,
		},
	}
}

// RunningTasks returns the number of tasks that are bound to hosts and have not ended.
func (s *Sim) RunningTasks() int {
	n := 0
	for _, h := range s.Hosts {
		n += h.Model.BoundCount()
	}
	return n
}
