package placer

import (
	"fmt"

	"forkhead"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/listwatch"
)

// watchMachineList starts a watch of the machine list, unless one is running. The watch ends when a poll fails; the
// core then subscribes again.
func (s *Server) watchMachineList() {
	if s.watch != nil {
		return
	}
	discovery := &s.settings.ServiceDiscovery
	cfg := listwatch.Config{
		Address: discovery.Address, Service: discovery.Service,
		MaxWait: discovery.MaxWait, Timeout: discovery.Timeout, MinInterval: discovery.MinInterval,
		UserAgent: fmt.Sprintf("forkhead-placer/%d", s.settings.Module.Self),
	}
	s.watch = listwatch.Start(cfg, func(machines []core.HostEntry, unusable []string) {
		s.loop.PostBlocking(func() { s.machineListReceived(machines, unusable) })
	}, func(err error) {
		s.loop.Post(func() { s.machineListFailed(err) })
	})
}

// machineListReceived passes a complete list to the core and to the feasibility checker. It runs on the loop.
func (s *Server) machineListReceived(machines []core.HostEntry, unusable []string) {
	if len(unusable) > 0 {
		s.log.Warn().Strs("entries", unusable).Msg("unusable entries in the machine list")
	}
	s.addInput(core.HostListReceived{Mode: forkhead.ListSnapshot, Hosts: machines})
	s.http.feasibility.setMachines(machines)
}

// machineListFailed notifies the core that a failed poll has ended the watch. It runs on the loop.
func (s *Server) machineListFailed(err error) {
	s.watch.Stop() // Stop returns soon, since the watch's goroutine has nothing left to do
	s.watch = nil
	s.log.Debug().Err(err).Str("address", s.settings.ServiceDiscovery.Address).Msg("poll of the machine list failed")
	s.addInput(core.HostListReceived{Mode: forkhead.ListFailed})
}
