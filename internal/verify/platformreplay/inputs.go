package platformreplay

import (
	"encoding/json"
	"fmt"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// Types of the lines of inputs. They are part of the format and stay when a Go type is renamed.
const (
	typeOwnerConnected     = "platform.OwnerConnected"
	typeOwnerData          = "platform.OwnerData"
	typeOwnerDisconnected  = "platform.OwnerDisconnected"
	typeHostConnected      = "platform.HostConnected"
	typeDialFailed         = "platform.DialFailed"
	typeHostData           = "platform.HostData"
	typeHostDisconnected   = "platform.HostDisconnected"
	typeWatchEventReceived = "platform.WatchEventReceived"
	typeGossipReceived     = "platform.GossipReceived"
	typeShutdownRequested  = "platform.ShutdownRequested"
)

// ownerData is the value of a line of type platform.OwnerData.
type ownerData struct {
	Data  string
	Owner platformcore.OwnerID
	Bytes []byte        `json:",omitempty"` // nil if Data is valid UTF-8
	Age   time.Duration `json:",omitempty"` // nanoseconds

	OwnerLeft bool `json:",omitempty"` // traces of earlier versions have no such field
}

// hostData is the value of a line of type platform.HostData.
type hostData struct {
	Connection platformcore.ConnectionID
	Data       string
	Bytes      []byte `json:",omitempty"` // nil if Data is valid UTF-8
}

// encodeInput returns the type and the value of an input's line. The value is the input itself, unless the input holds
// bytes of a connection.
func encodeInput(input platformcore.Input) (lineType string, value any) {
	switch in := input.(type) {
	case platformcore.OwnerConnected:
		return typeOwnerConnected, in
	case platformcore.OwnerData:
		return typeOwnerData, ownerData{Owner: in.Owner, Data: string(in.Data), Bytes: exactBytes(in.Data), Age: in.Age, OwnerLeft: in.OwnerLeft}
	case platformcore.OwnerDisconnected:
		return typeOwnerDisconnected, in
	case platformcore.HostConnected:
		return typeHostConnected, in
	case platformcore.DialFailed:
		return typeDialFailed, in
	case platformcore.HostData:
		return typeHostData, hostData{Connection: in.Connection, Data: string(in.Data), Bytes: exactBytes(in.Data)}
	case platformcore.HostDisconnected:
		return typeHostDisconnected, in
	case platformcore.WatchEventReceived:
		return typeWatchEventReceived, in
	case platformcore.GossipReceived:
		return typeGossipReceived, in
	case platformcore.ShutdownRequested:
		return typeShutdownRequested, in
	}
	return fmt.Sprintf("%T", input), input
}

// decodeInput returns the input that a line holds.
func decodeInput(l *line) (platformcore.Input, error) {
	switch l.Type {
	case typeOwnerConnected:
		return decodeAs[platformcore.OwnerConnected](l)
	case typeOwnerData:
		v, err := decodeAs[ownerData](l)
		return platformcore.OwnerData{Owner: v.Owner, Data: originalBytes(v.Data, v.Bytes), Age: v.Age, OwnerLeft: v.OwnerLeft}, err
	case typeOwnerDisconnected:
		return decodeAs[platformcore.OwnerDisconnected](l)
	case typeHostConnected:
		return decodeAs[platformcore.HostConnected](l)
	case typeDialFailed:
		return decodeAs[platformcore.DialFailed](l)
	case typeHostData:
		v, err := decodeAs[hostData](l)
		return platformcore.HostData{Connection: v.Connection, Data: originalBytes(v.Data, v.Bytes)}, err
	case typeHostDisconnected:
		return decodeAs[platformcore.HostDisconnected](l)
	case typeWatchEventReceived:
		return decodeAs[platformcore.WatchEventReceived](l)
	case typeGossipReceived:
		return decodeAs[platformcore.GossipReceived](l)
	case typeShutdownRequested:
		return decodeAs[platformcore.ShutdownRequested](l)
	}
	return nil, fmt.Errorf("%s is not an input type of this build", l.Type)
}

// decodeAs parses the value of a line as type T.
func decodeAs[T any](l *line) (T, error) {
	var value T
	if err := json.Unmarshal(l.Value, &value); err != nil {
		return value, fmt.Errorf("decoding %s: %w", l.Type, err)
	}
	return value, nil
}
