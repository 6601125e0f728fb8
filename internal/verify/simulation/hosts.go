package simulation

import (
	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/core"
)

// hostSeed determines, with the epoch of its incarnation, what a host draws.
const hostSeed = 3

// Host is an emulated host with its connections.
type Host struct {
	Config     hostmodel.Config
	Model      *hostmodel.Host // the present incarnation
	Listed     bool            // in the endpoint list
	State      forkhead.MachineState
	Blackholed bool // frames are lost both ways, and connections stay open

	epoch          uint64          // of the incarnation
	conns          map[uint32]bool // open, by the number that the placer gave them
	connGeneration int             // raised when all connections end, so that what was sent on them is lost
}

// carries reports whether a frame that was sent on a connection, at a generation of the connections, gets through.
func (h *Host) carries(conn uint32, generation int) bool {
	return h.conns[conn] && !h.Blackholed && generation == h.connGeneration
}

// AddHost adds a host that has been up for long. The placer gets it when the endpoint list is next sent.
func (s *Sim) AddHost(cfg hostmodel.Config) {
	h := &Host{Config: cfg, Listed: true, State: forkhead.Ready, epoch: 1, conns: map[uint32]bool{}}
	h.Model = hostmodel.New(cfg, h.epoch, hostSeed, s.Now, false)
	s.Hosts[cfg.Name] = h
	s.HostNames = append(s.HostNames, cfg.Name)
}

// KillHost ends a host's incarnation; its connections are reset.
func (s *Sim) KillHost(name string) {
	s.Hosts[name].Model.Crash()
	s.dropConnections(name)
}

// RestartHost starts a new incarnation of a host; with warmingUp it has just come up.
func (s *Sim) RestartHost(name string, warmingUp bool) {
	h := s.Hosts[name]
	h.epoch++
	h.Model = hostmodel.New(h.Config, h.epoch, hostSeed, s.Now, warmingUp)
	s.SendHostList()
}

// SendHostList sends a snapshot of the endpoint list to the core, or an error if the catalog is down. It does nothing until
// the core has subscribed.
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

// RunningTasks returns the number of tasks that hosts have bound and not ended.
func (s *Sim) RunningTasks() int {
	n := 0
	for _, h := range s.Hosts {
		n += h.Model.BoundCount()
	}
	return n
}
