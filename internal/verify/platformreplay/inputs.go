package platformreplay

import (
	"encoding/json"
	"fmt"

	platformcore "forkhead/internal/scheduler/platform"
)

// Types of the lines of inputs.
const (
	whatOwnerConnected     = "platform.OwnerConnected"
	whatOwnerData          = "platform.OwnerData"
	whatOwnerDisconnected  = "platform.OwnerDisconnected"
	whatHostConnected      = "platform.HostConnected"
	whatDialFailed         = "platform.DialFailed"
	whatHostData           = "platform.HostData"
	whatHostDisconnected   = "platform.HostDisconnected"
	whatWatchEventReceived = "platform.WatchEventReceived"
	whatGossipReceived     = "platform.GossipReceived"
	whatShutdownRequested  = "platform.ShutdownRequested"
)

// ownerData is the value of an OwnerData.
type ownerData struct {
	Data  string
	Owner platformcore.OwnerID
	Bytes []byte `json:",omitempty"` // nil: Data is exact
}

// hostData is the value of a HostData.
type hostData struct {
	Connection platformcore.ConnectionID
	Data       string
	Bytes      []byte `json:",omitempty"` // nil: Data is exact
}

// encodeInput returns the type and the value of an input's line. The other inputs stand as they are.
func encodeInput(input platformcore.Input) (what string, value any) {
	switch in := input.(type) {
	case platformcore.OwnerConnected:
		return whatOwnerConnected, in
	case platformcore.OwnerData:
		return whatOwnerData, ownerData{Owner: in.Owner, Data: string(in.Data), Bytes: exactBytes(in.Data)}
	case platformcore.OwnerDisconnected:
		return whatOwnerDisconnected, in
	case platformcore.HostConnected:
		return whatHostConnected, in
	case platformcore.DialFailed:
		return whatDialFailed, in
	case platformcore.HostData:
		return whatHostData, hostData{Connection: in.Connection, Data: string(in.Data), Bytes: exactBytes(in.Data)}
	case platformcore.HostDisconnected:
		return whatHostDisconnected, in
	case platformcore.WatchEventReceived:
		return whatWatchEventReceived, in
	case platformcore.GossipReceived:
		return whatGossipReceived, in
	case platformcore.ShutdownRequested:
		return whatShutdownRequested, in
	}
	return fmt.Sprintf("%T", input), input
}

// decodeInput returns the input of a line.
func decodeInput(l *line) (platformcore.Input, error) {
	switch l.What {
	case whatOwnerConnected:
		return decodeAs[platformcore.OwnerConnected](l)
	case whatOwnerData:
		v, err := decodeAs[ownerData](l)
		return platformcore.OwnerData{Owner: v.Owner, Data: originalBytes(v.Data, v.Bytes)}, err
	case whatOwnerDisconnected:
		return decodeAs[platformcore.OwnerDisconnected](l)
	case whatHostConnected:
		return decodeAs[platformcore.HostConnected](l)
	case whatDialFailed:
		return decodeAs[platformcore.DialFailed](l)
	case whatHostData:
		v, err := decodeAs[hostData](l)
		return platformcore.HostData{Connection: v.Connection, Data: originalBytes(v.Data, v.Bytes)}, err
	case whatHostDisconnected:
		return decodeAs[platformcore.HostDisconnected](l)
	case whatWatchEventReceived:
		return decodeAs[platformcore.WatchEventReceived](l)
	case whatGossipReceived:
		return decodeAs[platformcore.GossipReceived](l)
	case whatShutdownRequested:
		return decodeAs[platformcore.ShutdownRequested](l)
	}
	return nil, fmt.Errorf("%s is no input of this build", l.What)
}

// decodeAs returns the value of a line as a type.
func decodeAs[T any](l *line) (T, error) {
	var value T
	if err := json.Unmarshal(l.Value, &value); err != nil {
		return value, fmt.Errorf("%s: %w", l.What, err)
	}
	return value, nil
}
