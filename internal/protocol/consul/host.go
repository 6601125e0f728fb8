package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/hostport"
	"forkhead/internal/parse/servicespec"
)

// Host is a host as the endpoint list names it. The state of a placer and recorded runs hold it by the names of its fields, so
// these stay as they are.
type Host struct {
	Name       string
	Address    string // host and port
	Kind       string // machine type
	Zone       string
	Rack       string
	State      forkhead.MachineState
	Started    time.Duration                    // since the Unix epoch; 0: long ago
	FreeCores  float64                          // available; may be below 0
	FreeMemory float64                          // available, in GiB; may be below 0
	Attributes map[servicespec.Attribute]string // id, hostname, role, os, arch, label.NAME
}

// labelAttribute begins the attributes that are labels.
const labelAttribute = "label."

// maxSkipped bounds the messages about entries that are not usable.
const maxSkipped = 20

// Decode reads an answer to /v1/health/service/:service. Entries that are no usable host (without a name, an address, a
// port or a machine type) are left out; skipped has a message for each of the first maxSkipped of them. An answer that is
// not JSON of this form is an error.
func Decode(data []byte) (hosts []Host, skipped []string, err error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, nil, fmt.Errorf("the catalogue's answer is not readable: %w", err)
	}
	for i := range entries {
		h, err := newHost(&entries[i])
		if err == nil {
			hosts = append(hosts, h)
		} else if len(skipped) < maxSkipped {
			skipped = append(skipped, err.Error())
		}
	}
	return hosts, skipped, nil
}

func newHost(e *Entry) (Host, error) {
	h := Host{
		Name: e.Node.Node, Kind: e.Node.Meta[MetaMachineType], Zone: e.Node.Meta[MetaZone], Rack: e.Node.Meta[MetaRack],
		State: stateOf(e.Checks),
	}
	address := e.Service.Address
	if address == "" {
		address = e.Node.Address
	}
	switch {
	case h.Name == "":
		return h, errors.New("an entry without a node name")
	case address == "" || e.Service.Port < 1 || e.Service.Port > math.MaxUint16:
		return h, fmt.Errorf("%s: no address and port", h.Name)
	case h.Kind == "":
		return h, fmt.Errorf("%s: node metadata has no %s", h.Name, MetaMachineType)
	}
	if h.Zone == "" {
		h.Zone = e.Node.Datacenter
	}
	h.Address = hostport.Join(address, e.Service.Port)
	h.Started = parseStarted(e.Service.Meta[MetaStarted])
	h.FreeCores = parseAmount(e.Service.Meta[MetaFreeCores])
	h.FreeMemory = parseAmount(e.Service.Meta[MetaFreeMemory])
	h.Attributes = attributesOf(&h, &e.Node)
	return h, nil
}

// stateOf returns whether a host may be offered tasks. With a critical check, as in maintenance, it drains, until it is
// dropped from the endpoint list.
func stateOf(checks []Check) forkhead.MachineState {
	for _, c := range checks {
		if c.Status == StatusCritical {
			return forkhead.Draining
		}
	}
	return forkhead.Ready
}

// parseStarted returns the time of a host's start, or 0 if it is not a time.
func parseStarted(text string) time.Duration {
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us <= 0 || us >= math.MaxInt64/int64(time.Microsecond) {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// parseAmount returns an amount of cores or memory, or 0 if it is not one.
func parseAmount(text string) float64 {
	const maxAmount = 1e9
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxAmount {
		return 0
	}
	return v
}

func attributesOf(h *Host, n *Node) map[servicespec.Attribute]string {
	attributes := map[servicespec.Attribute]string{
		"id": n.ID, "hostname": h.Name, "role": "worker", "os": n.Meta[MetaOS], "arch": n.Meta[MetaArch],
		"label.kind": h.Kind, "label.zone": h.Zone, "label.rack": h.Rack,
	}
	for key, value := range n.Meta {
		if label, ok := strings.CutPrefix(key, LabelPrefix); ok {
			attributes[servicespec.Attribute(labelAttribute+label)] = value
		}
	}
	return attributes
}

// NewRegistration returns the registration of a host under a service's name. A host's address without a port is an error.
func NewRegistration(h *Host, service string) (Registration, error) {
	address, port, err := hostport.Split(h.Address)
	if err != nil {
		return Registration{}, err
	}
	nodeMeta := map[string]string{MetaMachineType: h.Kind, MetaZone: h.Zone, MetaRack: h.Rack, MetaOS: "linux", MetaArch: "amd64"}
	for attribute, value := range h.Attributes {
		if label, ok := strings.CutPrefix(string(attribute), labelAttribute); ok {
			nodeMeta[LabelPrefix+label] = value
		}
	}
	serviceMeta := map[string]string{
		MetaStarted:    strconv.FormatInt(h.Started.Microseconds(), 10),
		MetaFreeCores:  strconv.FormatFloat(h.FreeCores, 'f', 3, 64),
		MetaFreeMemory: strconv.FormatFloat(h.FreeMemory, 'f', 3, 64),
	}
	return Registration{
		ID: "id-" + h.Name, Node: h.Name, Address: address, NodeMeta: nodeMeta,
		Service: &Service{ID: service, Service: service, Address: address, Port: port, Meta: serviceMeta},
		Check:   &Check{Node: h.Name, CheckID: HealthCheckID, Name: HealthCheckName, Status: StatusPassing},
	}, nil
}
