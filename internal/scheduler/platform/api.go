package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/moduledriver"
)

// OwnerID identifies a connection of an owner. The caller of Core.Step chooses it and never reuses one.
type OwnerID uint64

// ConnectionID identifies a connection to a host. The core assigns it, counting from 1, and never reuses one.
type ConnectionID uint64

// Config is the configuration of a core.
type Config struct {
	Settings forkhead.Settings
	Names    WireNames
	// IdleTimeout is the time after which hosts close idle connections; 0: never.
	IdleTimeout time.Duration
	Seed        uint64
	// InitialEvents are the watch events of the endpoint list that were received before the core was created.
	InitialEvents []platform.WatchEvent

	// MaxOwnerConnections bounds the connections of owners, MaxHostConnections those to hosts, and MaxConnections their
	// total. If MaxConnections is 0, the sum of the other two is the bound of the total.
	MaxOwnerConnections int
	MaxHostConnections  int
	MaxConnections      int
	// MaxTakenOverTasks bounds the tasks that hand-overs have added and that have not ended; 0: no bound. A hand-over beyond
	// it is rejected, so that a client cannot fill the memory with tasks that it only names.
	MaxTakenOverTasks int
	// MaxOpenRequestBytes bounds the memory that unanswered requests hold; 0: only their number is bounded. Requests of
	// owners that hold less than an equal share of it are accepted beyond it, so at most twice as much is in use.
	MaxOpenRequestBytes int
	// ProtectedOwnerConnections is the number of connections of owners that are never closed in favor of connections to
	// hosts; 0: MaxOwnerConnections.
	ProtectedOwnerConnections int

	// Decide replaces the placement module in tests; nil: the module decides.
	Decide moduledriver.Decide
}

// WireNames holds the names by which messages refer to entries of the settings' lists, in the order of those lists.
type WireNames struct {
	Classes, Tenants, Zones, MachineTypes []string
}

// Input is an event that the core handles: activity on a socket, a watch event or a request to shut down.
type Input interface{ input() }

// Inputs of Core.Step.
type (
	// OwnerConnected reports that an owner has connected. Address is the one that the connection comes from, without the
	// port. Connections of one owner come from one address, which other owners may share.
	OwnerConnected struct {
		Owner   OwnerID
		Address string `json:",omitempty"` // traces of earlier versions have no such field
	}
	// OwnerData holds bytes received from an owner. The core does not retain Data. Age is how long the bytes may have
	// waited to be read, as this process did not run.
	OwnerData struct {
		Owner OwnerID
		Data  []byte
		Age   time.Duration
		// OwnerLeft means that the owner had closed its side before the bytes were passed on, and that more of its bytes
		// may follow: OwnerDisconnected comes after them.
		OwnerLeft bool
	}
	// OwnerDisconnected reports that an owner's connection has ended without a CloseOwnerConnection of the core. Reset
	// means that it was reset or broke otherwise, so that the owner may not have received what was sent last.
	OwnerDisconnected struct {
		Owner OwnerID
		Reset bool `json:",omitempty"` // traces of earlier versions have no such field
	}
	// HostConnected reports that a DialHost has succeeded.
	HostConnected struct{ Connection ConnectionID }
	// DialFailed reports that a DialHost has failed. Refused proves that nothing listens at the address. Local means
	// that this process could not try to connect, which shows nothing about the host.
	DialFailed struct {
		Connection ConnectionID
		Refused    bool
		Local      bool
	}
	// HostData holds bytes received from a host. The core does not retain Data.
	HostData struct {
		Connection ConnectionID
		Data       []byte
	}
	// HostDisconnected reports that a connection to a host has ended without a CloseHostConnection of the core. Reset
	// means that the host has reset it.
	HostDisconnected struct {
		Connection ConnectionID
		Reset      bool `json:",omitempty"` // traces of earlier versions have no such field
	}
	// WatchEventReceived holds a watch event. SequenceRestarted means that the sequence numbers restart with this
	// event, which is a snapshot.
	WatchEventReceived struct {
		Event             platform.WatchEvent
		SequenceRestarted bool
	}
	// GossipReceived holds a gossip message from another placer.
	GossipReceived struct {
		From int // number of the sending placer in the settings
		Data []byte
	}
	// ShutdownRequested asks this placer to shut down.
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

// Output is an action that the caller of Core.Step must execute.
type Output interface{ output() }

// Outputs of Core.Step, to be executed in order. Log, in log.go, is an output too.
type (
	// SendToOwner sends a line to an owner.
	SendToOwner struct {
		Owner OwnerID
		Line  []byte
	}
	// CloseOwnerConnection closes an owner's connection once the lines sent on it so far are written.
	CloseOwnerConnection struct{ Owner OwnerID }
	// DialHost connects to a host. HostConnected or DialFailed reports the result.
	DialHost struct {
		Connection ConnectionID
		Address    string
	}
	// SendToHost sends a line to a host. If Abandons is set, the line withdraws an attempt, and the connection is reset
	// if the line cannot be written at once.
	SendToHost struct {
		Connection ConnectionID
		Line       []byte
		Abandons   bool
	}
	// CloseHostConnection closes a connection to a host, or cancels its dial.
	CloseHostConnection struct{ Connection ConnectionID }
	// HalfCloseHostConnection closes a connection to a host for writing. Data from the host is still received until the
	// host closes it too.
	HalfCloseHostConnection struct{ Connection ConnectionID }
	// SendGossip sends a gossip message to another placer or to forkhead.AllPlacers. Delivery is not guaranteed.
	SendGossip struct {
		To   int
		Data []byte
	}
	// CloseListener makes the placer stop accepting connections of owners.
	CloseListener struct{}
	// ShutdownComplete reports that no request awaits an answer any more and the process may exit. It may be emitted
	// more than once.
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
