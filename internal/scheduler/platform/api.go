package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/moduledriver"
)

// OwnerID numbers a connection of an owner. The shell chooses it and uses none twice.
type OwnerID uint64

// ConnectionID numbers a connection to a host. The core chooses it, from 1 on, and uses none twice.
type ConnectionID uint64

// Config is what a core runs with.
type Config struct {
	Settings forkhead.Settings
	Names    WireNames
	// IdleTimeout is how long hosts leave idle connections open; 0: for ever.
	IdleTimeout time.Duration
	Seed        uint64
	// InitialEvents are the events of the endpoint list up to the start.
	InitialEvents []platform.WatchEvent

	// MaxOwnerConnections and MaxHostConnections bound the connections of owners and to hosts, and MaxConnections both
	// together; 0: their sum.
	MaxOwnerConnections int
	MaxHostConnections  int
	MaxConnections      int
	// ProtectedOwnerConnections is how many connections of owners are never closed in favor of connections to hosts; 0: all
	// that there may be.
	ProtectedOwnerConnections int

	// Decide takes the module's place, for tests; nil: the module decides.
	Decide moduledriver.Decide
}

// WireNames are the names by which messages refer to entries of the settings' lists, in the order of these lists.
type WireNames struct {
	Classes, Tenants, Zones, MachineTypes []string
}

// Input is something that has happened on the sockets.
type Input interface{ input() }

// The inputs.
type (
	// OwnerConnected reports that an owner has connected.
	OwnerConnected struct{ Owner OwnerID }
	// OwnerData is bytes of an owner, which the core does not keep.
	OwnerData struct {
		Owner OwnerID
		Data  []byte
	}
	// OwnerDisconnected reports that an owner's connection has ended that the core has not closed.
	OwnerDisconnected struct{ Owner OwnerID }
	// HostConnected reports that a DialHost has succeeded.
	HostConnected struct{ Connection ConnectionID }
	// DialFailed reports that a DialHost has failed. Refused proves that nothing listens there. Local means that this process
	// could not try, which shows nothing about the host.
	DialFailed struct {
		Connection ConnectionID
		Refused    bool
		Local      bool
	}
	// HostData is bytes of a host, which the core does not keep.
	HostData struct {
		Connection ConnectionID
		Data       []byte
	}
	// HostDisconnected reports that a connection to a host has ended that the core has not closed.
	HostDisconnected struct{ Connection ConnectionID }
	// WatchEventReceived is a watch event. SequenceRestarted means that the numbers of events begin
	// again with this one, a snapshot.
	WatchEventReceived struct {
		Event             platform.WatchEvent
		SequenceRestarted bool
	}
	// GossipReceived is a message of another placer.
	GossipReceived struct {
		From int // its number in the settings
		Data []byte
	}
	// ShutdownRequested reports that this placer is to end.
	ShutdownRequested struct{}
)

func (OwnerConnected) input()     {}
func (OwnerData) input()          {}
func (OwnerDisconnected) input()  {}
func (HostConnected) input()      {}
func (DialFailed) input()         {}
func (HostData) input()           {}
func (HostDisconnected) input()   {}
func (WatchEventReceived) input() {}
func (GossipReceived) input()     {}
func (ShutdownRequested) input()  {}

// Output is something that the shell is to do.
type Output interface{ output() }

// The outputs, to be executed in their order. Log, in log.go, is one of them.
type (
	// SendToOwner sends a line to an owner.
	SendToOwner struct {
		Owner OwnerID
		Line  []byte
	}
	// CloseOwnerConnection closes an owner's connection after what was sent on it.
	CloseOwnerConnection struct{ Owner OwnerID }
	// DialHost connects to a host; HostConnected or DialFailed follows.
	DialHost struct {
		Connection ConnectionID
		Address    string
	}
	// SendToHost sends a line to a host. One that abandons an attempt resets the connection if it cannot be sent at once.
	SendToHost struct {
		Connection ConnectionID
		Line       []byte
		Abandons   bool
	}
	// CloseHostConnection closes a connection to a host, or ends its dialing.
	CloseHostConnection struct{ Connection ConnectionID }
	// HalfCloseHostConnection sends nothing more to a host and reads on until it closes the connection.
	HalfCloseHostConnection struct{ Connection ConnectionID }
	// SendGossip sends a message to another placer or to forkhead.AllPlacers. It may be lost.
	SendGossip struct {
		To   int
		Data []byte
	}
	// CloseListener stops accepting connections of owners.
	CloseListener struct{}
	// ShutdownComplete reports that nobody waits for an answer any more: the process may end. It may come more than once.
	ShutdownComplete struct{}
)

func (SendToOwner) output()             {}
func (CloseOwnerConnection) output()    {}
func (DialHost) output()                {}
func (SendToHost) output()              {}
func (CloseHostConnection) output()     {}
func (HalfCloseHostConnection) output() {}
func (SendGossip) output()              {}
func (CloseListener) output()           {}
func (ShutdownComplete) output()        {}
func (Log) output()                     {}
