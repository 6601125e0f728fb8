package placer

import (
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/solver"
	"forkhead/internal/scheduler/core"
)

// Bounds of judging: it never holds up placing. Where no judge is free, or none of them decides
// within the slice, the submission is taken.
const (
	mostJudged = 4
	judgeSlice = 100 * time.Millisecond
)

// remember keeps the fleet of a list for the judges.
func (s *Server) remember(hosts []core.HostEntry) {
	fleet := make([]plan.Host, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		kind := settings.Index(s.set.Kinds, h.Kind)
		if kind < 0 {
			continue
		}
		k := s.set.Module.MachineTypes[kind]
		state := "ready" // one that drains may be back before the owner gives up
		if h.State == forkhead.Removed {
			state = "gone"
		}
		fleet = append(fleet, plan.Host{
			ID: h.Name, Kind: h.Kind, Zone: h.Zone, Rack: h.Rack, Cores: k.Cores, Memory: k.Memory, State: state, Attrs: h.Attributes,
		})
	}
	s.fleet.Store(&fleet)
}

// judge says whether a description is proven not to fit on the whole fleet, even were it empty,
// and if so why. It runs on its own goroutine.
func (s *Server) judge(d *servicespec.Description) (conflict []string) {
	fleet := s.fleet.Load()
	if fleet == nil {
		return nil
	}
	end := time.Now().Add(judgeSlice)
	p, err := plan.Solve(&plan.Question{Settings: s.set, Hosts: *fleet, What: []*servicespec.Description{d}},
		solver.Options{Stop: func() bool { return time.Now().After(end) || s.stopping.Load() }})
	if err != nil || p.Feasible || !p.Optimal {
		return nil
	}
	if len(p.Conflict) == 0 { // proven, and not made small within the slice
		return []string{"no placement of all its tasks exists on the hosts of the list"}
	}
	return p.Conflict
}

// impossible is the answer to a description that cannot be placed whole.
func impossible(conflict []string) Problem {
	return Problem{
		Type: "urn:forkhead:impossible", Title: "No placement exists", Status: 422,
		Detail: "these cannot be met together, and could without any one of them: " + strings.Join(conflict, "; "), Conflict: conflict,
	}
}
