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
	Seq       uint64        `json:"seq"`   // from 1
	Endpoints *EndpointList `json:"fleet"` // nil: the event is about something else
}

// EndpointList is a snapshot of the endpoint list, or the entries of it that have changed.
type EndpointList struct {
	Snapshot bool       `json:"whole"` // the complete list: a host that it lacks is removed
	Hosts    []Endpoint `json:"hosts"`
}

// Endpoint is one host in the endpoint list.
type Endpoint struct {
	Name        string        `json:"host"` // see HostNumber
	Address     string        `json:"dial"` // host:port; may be empty in a change
	Zone        string        `json:"site"`
	MachineType string        `json:"class"`
	Cell        int           `json:"block"`
	State       EndpointState `json:"health"`
	StartedAtMS float64       `json:"born_ms"` // Unix milliseconds of a start after that of the cluster, or 0
	Available   []float64     `json:"free"`    // cores and memory that nobody has requested; may be empty
}

// DecodeWatchEvent reads the data of an event of the watch. An event whose data has no number takes its ID; one
// without either is an error.
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

// IsSnapshot reports whether the event holds the complete list, which makes all events before it irrelevant.
func (w *WatchEvent) IsSnapshot() bool { return w.Endpoints != nil && w.Endpoints.Snapshot }

// HostNumber is the number in a host's name, by which all placers know it: the hex digits after the name's last dash,
// of at most 32 bits. ok is false if it has none.
func HostNumber(name string) (number uint32, ok bool) {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}
