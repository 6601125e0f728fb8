// Package consul reads and writes the list of hosts in the form of Consul's HTTP API
// (/v1/health/service/:service with blocking queries, and /v1/catalog/register), as published at
// developer.hashicorp.com/consul/api-docs. It is pure: package listwatch is the client, package
// catalogued a stand-in for the service.
package consul

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/hostport"
	"forkhead/internal/parse/servicespec"
)

// Host is a host as the list names it.
type Host struct {
	Name       string
	Address    string
	Kind       string
	Zone       string
	Rack       string
	State      forkhead.MachineState
	Started    time.Duration // since the epoch of the clock; 0: long past
	FreeCores  float64
	FreeMemory float64                          // GiB
	Attributes map[servicespec.Attribute]string // id, hostname, role, os, arch, label.NAME
}

// Entry is one element of the answer to /v1/health/service/:service.
type Entry struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Node is the machine that a service is registered on.
type Node struct {
	ID         string
	Node       string
	Address    string
	Datacenter string
	Meta       map[string]string
}

// Service is one registration.
type Service struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
	Tags    []string
}

// Check is the state of one health check.
type Check struct {
	Node      string
	CheckID   string
	Name      string
	Status    string // passing, warning or critical
	ServiceID string
}

// Registration is the body of PUT /v1/catalog/register.
type Registration struct {
	Datacenter string
	ID         string
	Node       string
	Address    string
	NodeMeta   map[string]string
	Service    *Service
	Check      *Check
}

// Deregistration is the body of PUT /v1/catalog/deregister.
type Deregistration struct {
	Node      string
	ServiceID string
}

// Keys of the metadata. Those of the node say what the machine is, those of the service what is
// free, late. Labels for placement constraints are node metadata with LabelPrefix.
const (
	MetaMachineType = "kind"
	MetaZone        = "zone"
	MetaRack        = "rack"
	MetaOS          = "os"
	MetaArch        = "arch"
	LabelPrefix     = "label-"
	MetaStarted     = "started"     // microseconds since the Unix epoch
	MetaFreeCores   = "free-cores"  // may be below 0
	MetaFreeMemory  = "free-memory" // GiB
)

// NodeMaintenanceCheckID is the id of the check by which Consul puts a node into maintenance.
const NodeMaintenanceCheckID = "_node_maintenance"

// ServiceMaintenancePrefix begins the ids of the checks that put one service into maintenance.
const ServiceMaintenancePrefix = "_service_maintenance:"

// MaxAnswerSize bounds an answer that is read.
const MaxAnswerSize = 64 << 20

// Decode reads an answer. Hosts that are not usable (no name, no address, no kind) are left out
// and told of in skipped.
func Decode(data []byte) (hosts []Host, skipped []string, err error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, nil, fmt.Errorf("the catalogue's answer is not readable: %w", err)
	}
	for i := range entries {
		h, why := host(&entries[i])
		if why != "" {
			if len(skipped) < 20 {
				skipped = append(skipped, why)
			}
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, skipped, nil
}

func host(e *Entry) (Host, string) {
	h := Host{
		Name: e.Node.Node, Kind: e.Node.Meta[MetaMachineType], Zone: e.Node.Meta[MetaZone], Rack: e.Node.Meta[MetaRack],
		State: state(e.Checks),
	}
	address := e.Service.Address
	if address == "" {
		address = e.Node.Address
	}
	switch {
	case h.Name == "":
		return h, "an entry without a node name"
	case address == "" || e.Service.Port < 1 || e.Service.Port > 65535:
		return h, h.Name + ": no address and port"
	case h.Kind == "":
		return h, h.Name + ": node metadata has no " + MetaMachineType
	}
	if h.Zone == "" {
		h.Zone = e.Node.Datacenter
	}
	h.Address = hostport.Join(address, e.Service.Port)
	if us, err := strconv.ParseInt(e.Service.Meta[MetaStarted], 10, 64); err == nil && us > 0 && us < math.MaxInt64/1000 {
		h.Started = time.Duration(us) * time.Microsecond
	}
	h.FreeCores = amount(e.Service.Meta[MetaFreeCores])
	h.FreeMemory = amount(e.Service.Meta[MetaFreeMemory])
	h.Attributes = map[servicespec.Attribute]string{
		"id": e.Node.ID, "hostname": h.Name, "role": "worker", "os": e.Node.Meta[MetaOS], "arch": e.Node.Meta[MetaArch],
		"label.kind": h.Kind, "label.zone": h.Zone, "label.rack": h.Rack,
	}
	for k, v := range e.Node.Meta {
		if label, ok := strings.CutPrefix(k, LabelPrefix); ok {
			h.Attributes[servicespec.Attribute("label."+label)] = v
		}
	}
	return h, ""
}

func amount(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 1e9 {
		return 0
	}
	return v
}

// state says whether a host may be offered tasks: one in maintenance drains, and so does one
// whose checks are critical, until the catalogue drops it.
func state(checks []Check) forkhead.MachineState {
	for _, c := range checks {
		if c.Status == "critical" {
			return forkhead.Draining
		}
	}
	return forkhead.Ready
}

// NewRegistration makes the registration of a host.
func NewRegistration(h *Host, service string) (Registration, error) {
	address, n, err := hostport.Split(h.Address)
	if err != nil {
		return Registration{}, err
	}
	meta := map[string]string{MetaMachineType: h.Kind, MetaZone: h.Zone, MetaRack: h.Rack, MetaOS: "linux", MetaArch: "amd64"}
	for k, v := range h.Attributes {
		if label, ok := strings.CutPrefix(string(k), "label."); ok {
			meta[LabelPrefix+label] = v
		}
	}
	return Registration{
		ID: "id-" + h.Name, Node: h.Name, Address: address, NodeMeta: meta,
		Service: &Service{
			ID: service, Service: service, Address: address, Port: n, Meta: map[string]string{
				MetaStarted:    strconv.FormatInt(h.Started.Microseconds(), 10),
				MetaFreeCores:  strconv.FormatFloat(h.FreeCores, 'f', 3, 64),
				MetaFreeMemory: strconv.FormatFloat(h.FreeMemory, 'f', 3, 64),
			},
		},
		Check: &Check{Node: h.Name, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"},
	}, nil
}
