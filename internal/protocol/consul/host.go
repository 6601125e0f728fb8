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

// Host is an entry of the endpoint list. The stored state of a placer and recorded runs contain it under the names of
// its fields, so these must not change.
type Host struct {
	Name       string
	Address    string // host:port
	Kind       string // machine type
	Zone       string
	Rack       string
	State      forkhead.MachineState
	Started    time.Duration                    // start time, since the Unix epoch; 0: unknown or long ago
	FreeCores  float64                          // available cores; may be negative
	FreeMemory float64                          // available memory in GiB; may be negative
	Attributes map[servicespec.Attribute]string // the keys are id, hostname, role, os, arch and label.NAME
}

// labelAttributePrefix is the prefix of attributes that are labels.
const labelAttributePrefix = "label."

// maxSkipped bounds the number of messages about entries that cannot be used.
const maxSkipped = 20

// Decode decodes a response to /v1/health/service/:service. Entries that are not usable hosts (without a name, an
// address, a port or a machine type) are left out; skipped contains a message for each of the first maxSkipped of them.
// A response that is not JSON of this form is an error.
func Decode(data []byte) (hosts []Host, skipped []string, err error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, nil, fmt.Errorf("decode response from Consul: %w", err)
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
		return h, errors.New("entry has no node name")
	case address == "" || e.Service.Port < 1 || e.Service.Port > math.MaxUint16:
		return h, fmt.Errorf("node %s: entry has no valid address and port", h.Name)
	case h.Kind == "":
		return h, fmt.Errorf("node %s: metadata has no key %q", h.Name, MetaMachineType)
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

// stateOf returns the state of a host by its checks. A host with a critical check, for example during maintenance,
// drains until it is removed from the endpoint list.
func stateOf(checks []Check) forkhead.MachineState {
	for _, c := range checks {
		if c.Status == StatusCritical {
			return forkhead.Draining
		}
	}
	return forkhead.Ready
}

// parseStarted parses the start time of a host. It returns 0 if the text is not a valid time.
func parseStarted(text string) time.Duration {
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us <= 0 || us >= math.MaxInt64/int64(time.Microsecond) {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// parseAmount parses an amount of cores or memory. It returns 0 if the text is not a valid amount.
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
			attributes[servicespec.Attribute(labelAttributePrefix+label)] = value
		}
	}
	return attributes
}

// NewRegistration returns the registration of a host under the given service name. An address without a port is an
// error.
func NewRegistration(h *Host, service string) (Registration, error) {
	address, port, err := hostport.Split(h.Address)
	if err != nil {
		return Registration{}, err
	}
	nodeMeta := map[string]string{MetaMachineType: h.Kind, MetaZone: h.Zone, MetaRack: h.Rack, MetaOS: "linux", MetaArch: "amd64"}
	for attribute, value := range h.Attributes {
		if label, ok := strings.CutPrefix(string(attribute), labelAttributePrefix); ok {
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
