package plan

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/servicespec"
)

// Host is a host of a fleet. The errors of ReadHosts contain the name of this type.
type Host struct {
	ID          string                           `json:"id"`
	MachineType string                           `json:"kind"`
	Zone        string                           `json:"zone"`
	Rack        string                           `json:"rack"`
	Cores       float64                          `json:"cores"`
	Memory      float64                          `json:"memory"` // GiB
	Cost        int64                            `json:"cost"`   // cost of using the host, regardless of its tasks; in any unit
	State       string                           `json:"state"`  // one of hostStates
	Labels      map[string]string                `json:"labels"`
	Attributes  map[servicespec.Attribute]string `json:"-"` // compared with the constraints of services
}

// The states of a host. The empty state means stateReady.
const (
	stateReady     = "ready"
	stateWarmingUp = "cold"
	stateDraining  = "draining"
	stateRemoved   = "gone"
)

var hostStates = []string{"", stateReady, stateWarmingUp, stateDraining, stateRemoved}

// Upper bounds of a host's amounts.
const (
	maxCores        = 1e6
	maxMemory       = 1e6 // GiB; a larger value is most likely in another unit
	maxCost   int64 = 1 << 40
)

// Running is a running task. The errors of ReadRunning contain the name of this type.
type Running struct {
	Service string `json:"service"`
	Replica int    `json:"replica"` // from 1
	Host    string `json:"host"`
}

// ReadHosts parses the JSON object {"hosts":[...]}. Its error is one or several diagnostic.Errors, with file in their
// positions.
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
			errs.Add(diagnostic.Wantf(pos, "a unique id that is not empty", "host %d has id %q", i, h.ID))
		case h.Memory > maxMemory:
			overMaxMemory++
			if overMaxMemory == 1 { // one diagnostic is enough, since all of these values are most likely in the same wrong unit
				errs.Add(diagnostic.Wantf(pos, "memory in GiB, from 0 to 10^6",
					"host %s has %g GiB of memory, which looks like a value in another unit", h.ID, h.Memory))
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
		errs.Add(diagnostic.Errorf(pos, "%d more hosts have more than 10^6 GiB of memory", overMaxMemory-1))
	}
	return in.Hosts, errs.Err()
}

// validate returns a diagnostic of the first amount that is out of bounds. If all amounts are within bounds, it returns
// a diagnostic of an unknown state, or nil if the state is known.
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

// attributes returns the attributes that the constraints of services refer to.
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

// ReadRunning parses the JSON object {"running":[...]}. Its error is a diagnostic.Error.
func ReadRunning(file string, data []byte) ([]Running, error) {
	var in struct {
		Running []Running `json:"running"`
	}
	err := decode(file, data, &in)
	return in.Running, err
}

// decode parses JSON and rejects unknown keys. Its error has the line and column at which the decoder stopped.
func decode(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return diagnostic.Errorf(position(file, data, d.InputOffset()), "%v", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

// position returns the line and column of a byte offset, both from 1.
func position(file string, data []byte, offset int64) diagnostic.Pos {
	before := data[:min(int(offset), len(data))]
	return diagnostic.Pos{
		File: file,
		Line: 1 + bytes.Count(before, []byte("\n")),
		Col:  len(before) - bytes.LastIndexByte(before, '\n'),
	}
}
