// Package plan works placements out ahead: it turns a fleet and descriptions into an instance for
// the solver, and the solver's answer into assignments, moves, or a conflict in the descriptions'
// own terms. It is pure.
package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"forkhead"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/solver"
)

// Host is a host of a plan.
type Host struct {
	ID          string                           `json:"id"`
	MachineType string                           `json:"kind"`
	Zone        string                           `json:"zone"`
	Rack        string                           `json:"rack"`
	Cores       float64                          `json:"cores"`
	Memory      float64                          `json:"memory"` // GiB
	Cost        int64                            `json:"cost"`
	State       string                           `json:"state"` // ready (or ""), cold, draining, gone
	Labels      map[string]string                `json:"labels"`
	Attributes  map[servicespec.Attribute]string `json:"-"`
}

// Running is a task that runs.
type Running struct {
	Service string `json:"service"`
	Replica int    `json:"replica"`
	Host    string `json:"host"`
}

// Assignment is one task and its host.
type Assignment struct {
	Service string `json:"service"`
	Replica int    `json:"replica"`
	Host    string `json:"host"`
}

// Plan is what was worked out.
type Plan struct {
	Feasible    bool         `json:"feasible"`
	Optimal     bool         `json:"optimal"`
	Cost        int64        `json:"cost"`
	LowerBound  int64        `json:"bound"`
	Assignments []Assignment `json:"assignments"`
	Migrations  []Migration  `json:"moves,omitempty"`
	Conflict    []string     `json:"conflict"`
	HostsInUse  int          `json:"hosts_in_use"`
	Nodes       int          `json:"nodes"`
}

// Migration is a running task that the plan has elsewhere.
type Migration struct {
	Service string `json:"service"`
	Replica int    `json:"replica"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// decode reads strict JSON; an error has its line and column.
func decode(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return diagnostic.Errorf(place(file, data, d.InputOffset()), "%v", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

func place(file string, data []byte, offset int64) diagnostic.Pos {
	before := data[:min(int(offset), len(data))]
	return diagnostic.Pos{File: file, Line: 1 + bytes.Count(before, []byte("\n")), Col: len(before) - bytes.LastIndexByte(before, '\n')}
}

// mostMemory is the most that a host has, in GiB.
const mostMemory = 1e6

// ReadHosts reads {"hosts":[...]}.
func ReadHosts(file string, data []byte) ([]Host, error) {
	var in struct {
		Hosts []Host `json:"hosts"`
	}
	if err := decode(file, data, &in); err != nil {
		return nil, err
	}
	errs := &diagnostic.List{}
	seen := map[string]bool{}
	large := 0 // hosts whose memory can only be in another unit
	for i := range in.Hosts {
		h := &in.Hosts[i]
		pos := diagnostic.Pos{File: file}
		switch {
		case h.Memory > mostMemory && h.ID != "" && !seen[h.ID]:
			if large++; large == 1 {
				errs.Add(diagnostic.Wantf(pos, "memory in GiB, from 0 to 10^6", "host %s has %g GiB of memory, which looks like another unit", h.ID, h.Memory))
			}
		case h.ID == "" || seen[h.ID]:
			errs.Add(diagnostic.Wantf(pos, "an id of its own", "host %d has id %q", i, h.ID))
		case !(h.Cores >= 0 && h.Cores <= 1e6) || !(h.Memory >= 0):
			errs.Add(diagnostic.Wantf(pos, "0 to 10^6", "host %s has %g cores and %g GiB", h.ID, h.Cores, h.Memory))
		case h.Cost < 0 || h.Cost > 1<<40:
			errs.Add(diagnostic.Wantf(pos, "0 to 2^40", "host %s has cost %d", h.ID, h.Cost))
		case !slices.Contains([]string{"", "ready", "cold", "draining", "gone"}, h.State):
			errs.Add(diagnostic.Wantf(pos, "ready, cold, draining or gone", "host %s has state %q", h.ID, h.State))
		}
		seen[h.ID] = true
		h.Attributes = map[servicespec.Attribute]string{
			"id": h.ID, "hostname": h.ID, "role": "worker", "label.kind": h.MachineType, "label.zone": h.Zone, "label.rack": h.Rack,
		}
		for k, v := range h.Labels {
			h.Attributes[servicespec.Attribute("label."+k)] = v
		}
	}
	if large > 1 {
		errs.Add(diagnostic.Errorf(diagnostic.Pos{File: file}, "%d more hosts have such memory", large-1))
	}
	return in.Hosts, errs.Err()
}

// ReadRunning reads {"running":[...]}.
func ReadRunning(file string, data []byte) ([]Running, error) {
	var in struct {
		Running []Running `json:"running"`
	}
	err := decode(file, data, &in)
	return in.Running, err
}

// Problem is a fleet, descriptions and what runs.
type Problem struct {
	Settings        *settings.Settings
	Hosts           []Host
	Specs           []*servicespec.Description
	Running         []Running
	MigrationCost   int64  // cost of a move
	HomeZone        string // a zone; "": none
	OutsideHomeCost int64  // cost of a task outside it
}

// item is a service of the question.
type item struct {
	name  string
	spec  *servicespec.Service
	class *forkhead.Class
	kind  string
	runs  map[int]int // replica to host, by place
}

// Instance makes the solver's question. Amounts of tasks are rounded up and of hosts down, to
// thousandths of a core and MiB, so that what fits there fits.
func (q *Problem) instance() (*solver.Instance, []item, error) {
	in := &solver.Instance{MigrationCost: q.MigrationCost}
	at := map[string]int{}
	m := &q.Settings.Module
	for i, h := range q.Hosts {
		at[h.ID] = i
		in.Hosts = append(in.Hosts, solver.Host{
			ID: h.ID, Zone: h.Zone, Rack: h.Rack, Cost: h.Cost, Unschedulable: h.State == "draining" || h.State == "gone",
			Cores: int64(math.Floor(h.Cores*m.CoresOvercommit*1000 + 1e-6)), Memory: int64(math.Floor(h.Memory*m.MemoryOvercommit*1024 + 1e-6)),
		})
	}
	in.HomeZone, in.OutsideHomeCost = q.HomeZone, q.OutsideHomeCost
	var items []item
	first := 0 // of the services of the description in hand
	for _, d := range q.Specs {
		first = len(items)
		for si := range d.Services {
			spec := &d.Services[si]
			class := q.Settings.DefaultClass
			if c, ok := q.Settings.Class(spec.Class); ok {
				class = c
			}
			it := item{name: spec.Name, spec: spec, class: &m.Classes[class], runs: map[int]int{}}
			s := solver.Service{
				Name: spec.Name, Count: spec.Replicas,
				Cores: int64(math.Ceil(spec.Cores*1000 - 1e-6)), Memory: int64(math.Ceil(spec.Memory*1024 - 1e-6)),
			}
			if it.class.MachineType >= 0 {
				it.kind = q.Settings.Kinds[it.class.MachineType]
			}
			fits := 0
			may, all := make([]bool, len(q.Hosts)), true
			for hi := range q.Hosts {
				h := &q.Hosts[hi]
				may[hi] = it.kind == "" || h.MachineType == it.kind
				for ci := range spec.Constraints {
					c := &spec.Constraints[ci]
					may[hi] = may[hi] && (h.Attributes[c.Attribute] == c.Value) != c.Not
				}
				all = all && may[hi]
				if may[hi] && !in.Hosts[hi].Unschedulable {
					fits++
				}
			}
			if !all {
				s.Allowed = may
			}
			if spec.Mode.Each() {
				s.Count = fits
			}
			for _, n := range spec.Near {
				for oi := range d.Services {
					if d.Services[oi].Name == n.Service {
						s.Affinities = append(s.Affinities, solver.Affinity{Service: first + oi, Domain: nearPlaces[n.Place]})
					}
				}
			}
			for _, l := range spec.Limits {
				limit(&s, l.Place, l.Most)
			}
			if it.class.SpreadDomain != forkhead.AnyDomain {
				limit(&s, [...]string{"", "machine", "rack", "zone"}[it.class.SpreadDomain], it.class.MaxPerDomain)
			}
			if q.Running != nil {
				s.Running = make([]int, len(q.Hosts))
			}
			for _, r := range q.Running {
				if r.Service != spec.Name {
					continue
				}
				hi, ok := at[r.Host]
				if !ok {
					return nil, nil, fmt.Errorf("%s/%d runs on %q, which is not among the hosts", r.Service, r.Replica, r.Host)
				}
				if r.Replica >= 1 && r.Replica <= s.Count {
					it.runs[r.Replica] = hi
					s.Running[hi]++
				}
			}
			in.Services, items = append(in.Services, s), append(items, it)
		}
	}
	return in, items, nil
}

var nearPlaces = map[string]solver.Domain{"machine": solver.HostDomain, "rack": solver.RackDomain, "zone": solver.ZoneDomain}

func limit(s *solver.Service, place string, most int) {
	to := map[string]*int{"machine": &s.MaxPerHost, "rack": &s.MaxPerRack, "zone": &s.MaxPerZone}[place]
	if *to == 0 || most < *to {
		*to = most
	}
}

// Solve answers a question.
func Solve(q *Problem, opt solver.Options) (*Plan, error) {
	in, items, err := q.instance()
	if err != nil {
		return nil, err
	}
	a, err := solver.Solve(in, opt)
	if err != nil {
		return nil, err
	}
	p := &Plan{Feasible: a.Feasible, Optimal: a.Optimal, Cost: a.Cost, LowerBound: a.LowerBound, Assignments: []Assignment{}, Conflict: []string{}, Nodes: a.Nodes}
	if !a.Feasible {
		p.Cost, p.LowerBound = 0, 0
		if a.Optimal {
			parts, _ := solver.FindConflict(in, opt)
			p.Conflict = q.words(in, items, parts)
		}
		return p, nil
	}
	// Nothing is told that the certificate does not bear out.
	if err := solver.Check(in, a.Counts, a.Cost); err != nil {
		return nil, fmt.Errorf("the solver's answer does not hold: %w", err)
	}
	used := map[int]bool{}
	for si, it := range items {
		p.assign(q, &it, a.Counts[si], used)
	}
	p.HostsInUse = len(used)
	return p, nil
}

// assign gives the replicas of a service their hosts: those that run where the plan has one stay.
func (p *Plan) assign(q *Problem, it *item, counts []int, used map[int]bool) {
	left := slices.Clone(counts)
	n := 0
	for hi, c := range counts {
		n += c
		if c > 0 {
			used[hi] = true
		}
	}
	where := make([]int, n+1)
	for r := 1; r <= n; r++ {
		where[r] = -1
		if hi, ok := it.runs[r]; ok && left[hi] > 0 {
			where[r] = hi
			left[hi]--
		}
	}
	next := 0
	for r := 1; r <= n; r++ {
		if where[r] < 0 {
			for left[next] == 0 {
				next++
			}
			where[r] = next
			left[next]--
			if from, ok := it.runs[r]; ok {
				p.Migrations = append(p.Migrations, Migration{it.name, r, q.Hosts[from].ID, q.Hosts[next].ID})
			}
		}
		p.Assignments = append(p.Assignments, Assignment{it.name, r, q.Hosts[where[r]].ID})
	}
}

// words tells a conflict in the descriptions' terms.
func (q *Problem) words(in *solver.Instance, items []item, parts []solver.Requirement) []string {
	out := []string{}
	var open, cores, memory int64
	for _, h := range in.Hosts {
		if !h.Unschedulable {
			open, cores, memory = open+1, cores+h.Cores, memory+h.Memory
		}
	}
	for _, p := range parts {
		if p.Service == solver.FleetWide {
			if p.Kind == solver.RequireCores {
				out = append(out, fmt.Sprintf("the cores of the %d hosts that are open (%.4g in all)", open, float64(cores)/1000))
			} else {
				out = append(out, fmt.Sprintf("the memory of the %d hosts that are open (%.4g GiB in all)", open, float64(memory)/1024))
			}
			continue
		}
		s, it := &in.Services[p.Service], &items[p.Service]
		pos := it.spec.Pos
		switch p.Kind {
		case solver.RequireTasks:
			out = append(out, fmt.Sprintf("%s: service %s asks for %d tasks of %.4g cores and %.4g GiB", pos, s.Name, s.Count, float64(s.Cores)/1000, float64(s.Memory)/1024))
		case solver.RequireMaxPerHost:
			out = append(out, fmt.Sprintf("%s: at most %d of %s on one host", q.limitPos(it, "machine"), s.MaxPerHost, s.Name))
		case solver.RequireMaxPerRack:
			out = append(out, fmt.Sprintf("%s: at most %d of %s in one rack", q.limitPos(it, "rack"), s.MaxPerRack, s.Name))
		case solver.RequireMaxPerZone:
			out = append(out, fmt.Sprintf("%s: at most %d of %s in one zone", q.limitPos(it, "zone"), s.MaxPerZone, s.Name))
		case solver.RequireAffinity:
			n := it.spec.Near[0]
			out = append(out, fmt.Sprintf("%s: %s has to be near %s, in one %s", n.Pos, s.Name, n.Service, n.Place))
		case solver.RequireAllowedHosts:
			var why []string
			if it.kind != "" {
				why = append(why, "kind "+it.kind)
			}
			for _, c := range it.spec.Constraints {
				why = append(why, c.String())
				pos = c.Pos
			}
			out = append(out, fmt.Sprintf("%s: %s runs only on hosts with %s", pos, s.Name, strings.Join(why, ", ")))
		}
	}
	return out
}

// limitPos is where a limit stands: in the description, or with its service where its class says it.
func (q *Problem) limitPos(it *item, place string) diagnostic.Pos {
	for _, l := range it.spec.Limits {
		if l.Place == place {
			return l.Pos
		}
	}
	return it.spec.Pos
}
