package plan

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// Host is a host of a fleet. Its type's name is part of the errors of ReadHosts.
type Host struct {
	ID          string                           `json:"id"`
	MachineType string                           `json:"kind"`
	Zone        string                           `json:"zone"`
	Rack        string                           `json:"rack"`
	Cores       float64                          `json:"cores"`
	Memory      float64                          `json:"memory"` // GiB
	Cost        int64                            `json:"cost"`   // of using it at all, in any unit
	State       string                           `json:"state"`  // one of hostStates
	Labels      map[string]string                `json:"labels"`
	Attributes  map[servicespec.Attribute]string `json:"-"` // what constraints of services are compared with
}

// The states of a host. The empty one is stateReady.
const (
	stateReady     = "ready"
	stateWarmingUp = "cold"
	stateDraining  = "draining"
	stateRemoved   = "gone"
)

var hostStates = []string{"", stateReady, stateWarmingUp, stateDraining, stateRemoved}

// Bounds of a host.
const (
	maxCores        = 1e6
	maxMemory       = 1e6 // GiB; more of it is a mistake of unit
	maxCost   int64 = 1 << 40
)

// Running is a task that runs. Its type's name is part of the errors of ReadRunning.
type Running struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	Host    string `json:"host"`
}

// ReadHosts reads {"hosts":[...]}. Its error is a diagnostic.Error, or several, with file in their positions.
func ReadHosts(file string, data []byte) ([]Host, error) {
	var in struct {
		Hosts []Host `json:"hosts"`
	}
	if err := decode(file, data, &in); err != nil {
		return nil, err
	}
	pos := diagnostic.Pos{File: file}
	errs := &diagnostic.List{}
	seen := map[string]bool{}
	overMaxMemory := 0
	for i := range in.Hosts {
		h := &in.Hosts[i]
		switch {
		case h.ID == "" || seen[h.ID]:
			errs.Add(diagnostic.Wantf(pos, "an id of its own", "host %d has id %q", i, h.ID))
		case h.Memory > maxMemory:
			overMaxMemory++
			if overMaxMemory == 1 { // most likely all hosts have the same unit
				errs.Add(diagnostic.Wantf(pos, "memory in GiB, from 0 to 10^6",
					"host %s has %g GiB of memory, which looks like another unit", h.ID, h.Memory))
			}
		default:
			if err := h.validate(pos); err != nil {
				errs.Add(err)
			}
		}
		seen[h.ID] = true
		h.Attributes = h.attributes()
	}
	if overMaxMemory > 1 {
		errs.Add(diagnostic.Errorf(pos, "%d more hosts have such memory", overMaxMemory-1))
	}
	return in.Hosts, errs.Err()
}

// validate returns the first amount or state of a host that is out of bounds, or nil.
func (h *Host) validate(pos diagnostic.Pos) *diagnostic.Error {
	switch {
	case h.Cores < 0 || h.Cores > maxCores || h.Memory < 0:
		return diagnostic.Wantf(pos, "0 to 10^6", "host %s has %g cores and %g GiB", h.ID, h.Cores, h.Memory)
	case h.Cost < 0 || h.Cost > maxCost:
		return diagnostic.Wantf(pos, "0 to 2^40", "host %s has cost %d", h.ID, h.Cost)
	case !slices.Contains(hostStates, h.State):
		return diagnostic.Wantf(pos, "ready, cold, draining or gone", "host %s has state %q", h.ID, h.State)
	}
	return nil
}

// attributes returns what constraints of services are compared with.
func (h *Host) attributes() map[servicespec.Attribute]string {
	attributes := map[servicespec.Attribute]string{
		"id": h.ID, "hostname": h.ID, "role": "worker",
		"label.kind": h.MachineType, "label.zone": h.Zone, "label.rack": h.Rack,
	}
	for name, value := range h.Labels {
		attributes[servicespec.Attribute("label."+name)] = value
	}
	return attributes
}

// ReadRunning reads {"running":[...]}. Its error is a diagnostic.Error.
func ReadRunning(file string, data []byte) ([]Running, error) {
	var in struct {
		Running []Running `json:"running"`
	}
	err := decode(file, data, &in)
	return in.Running, err
}

// decode reads JSON without unknown keys. Its error has the line and column where the decoder stopped.
func decode(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return diagnostic.Errorf(position(file, data, d.InputOffset()), "%v", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

// position returns the line and column of an offset in bytes.
func position(file string, data []byte, offset int64) diagnostic.Pos {
	before := data[:min(int(offset), len(data))]
	return diagnostic.Pos{
		File: file,
		Line: 1 + bytes.Count(before, []byte("\n")),
		Col:  len(before) - bytes.LastIndexByte(before, '\n'),
	}
}
