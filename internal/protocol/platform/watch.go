package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// WatchEvent is one numbered event of the watch.
type WatchEvent struct {
	Seq       uint64        `json:"seq"`   // the first event has number 1
	Endpoints *EndpointList `json:"fleet"` // nil if the event does not concern the endpoint list
}

// EndpointList is a snapshot of the endpoint list, or its entries that have changed.
type EndpointList struct {
	Snapshot bool       `json:"whole"` // the list is complete: a host that is missing from it is removed
	Hosts    []Endpoint `json:"hosts"`
}

// Endpoint is one host in the endpoint list.
type Endpoint struct {
	Name        string        `json:"host"` // name of the host; it contains the host's number, see HostNumber
	Address     string        `json:"dial"` // host:port; may be empty unless the list is a snapshot
	Zone        string        `json:"site"`
	MachineType string        `json:"class"`
	Cell        int           `json:"block"`
	State       EndpointState `json:"health"`
	StartedAtMS float64       `json:"born_ms"` // Unix time in milliseconds; 0 if the host started with the cluster
	Available   []float64     `json:"free"`    // cores and memory that no task has requested; may be empty
}

// DecodeWatchEvent decodes the data of an event of the watch. If the data has no number, the event's ID is used; an
// event with neither is an error.
func DecodeWatchEvent(event ServerSentEvent) (WatchEvent, error) {
	var w WatchEvent
	if err := json.Unmarshal(event.Data, &w); err != nil {
		return w, fmt.Errorf("change log event %d: %w", event.ID, err)
	}
	if w.Seq == 0 {
		w.Seq = event.ID
	}
	if w.Seq == 0 {
		return w, errors.New("a change log event has no number")
	}
	return w, nil
}

// IsSnapshot reports whether the event contains the complete list, which supersedes all earlier events.
func (w *WatchEvent) IsSnapshot() bool { return w.Endpoints != nil && w.Endpoints.Snapshot }

// HostNumber returns the number in a host's name, by which all placers identify the host. The number consists of the
// hex digits after the last dash of the name and has at most 32 bits. ok is false if the name has no such number.
func HostNumber(name string) (number uint32, ok bool) {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}
