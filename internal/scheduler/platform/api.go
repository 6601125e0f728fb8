// Package platform is the core of a placer on the users' platform: it owns requests, attempts, standing tasks and the
// connections that carry them, turns what crosses the sockets into the module's events and the module's actions into
// messages. Every ruling is the module's; the core keeps the protocol and its bounds. It is pure: inputs and time in,
// outputs out.
package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/moduledriver"
)

// Config is what a core runs with.
type Config struct {
	Settings                  forkhead.Settings
	Names                     WireNames
	IdleTimeout               time.Duration // hosts close connections that are idle for so long; 0: never
	Seed                      uint64
	InitialEvents             []platform.WatchEvent // the change log up to the start
	MaxOwnerConnections       int                   // most connections of owners
	ProtectedOwnerConnections int                   // and how many of them do not make room for connections to hosts; 0: none makes room
	MaxHostConnections        int                   // most connections to hosts
	MaxConnections            int                   // most connections of both kinds; 0: Owners and Links together
	// Decide stands in the module's place, for tests; nil: the module.
	Decide moduledriver.Decide
}

// WireNames are those of the settings' lists, in their order.
type WireNames struct {
	Classes, Tenants, Zones, MachineTypes []string
}

// Bounds of the core. What each does when it is met is said where it is used.
const (
	maxOpenRequests          = 8192                  // requests without an answer, of all owners
	maxOpenRequestsPerOwner  = 2048                  // and of one connection
	maxMalformedRequests     = 64                    // lines of one connection that were turned down as malformed
	maxConnectionsPerHost    = 8                     // connections to one host
	maxAttemptsPerConnection = 32                    // attempts out on one connection
	maxRemembered            = 4096                  // attempts remembered after they were given up, and releases of unknown tasks
	maxUnlistedHosts         = 1024                  // hosts that hold tasks by their owners' word and that the list does not have yet
	maxHalfClosed            = 4                     // connections to hosts that are being closed, beyond the room for others
	halfClosedTimeout        = time.Second           // and are read for so long at most
	maxUndelivered           = 1024                  // messages that wait for a connection of owners
	overtakenAfter           = 50 * time.Millisecond // an answer to a later offer by so much shows that a connection is dead
	ownerLineTimeout         = 2 * time.Second
	firstMessageTimeout      = 2 * time.Second
	probeTimeout             = 250 * time.Millisecond
	probeRetryAfter          = 120 * time.Millisecond // a probe that is not answered is sent again on another connection
	minRedialBackoff         = 100 * time.Millisecond // between connections that were refused or not made
	maxRedialBackoff         = time.Second
	unresponsiveAfter        = time.Second                               // a host with standing tasks that has said nothing for so long is called on, and again
	lostAfter                = undeliveredTimeout - 500*time.Millisecond // and is lost after this, where no connection to it could be made since
	lastDialBeforeLoss       = 500 * time.Millisecond
	removedGrace             = 500 * time.Millisecond
	stopTimeout              = time.Second             // a release that the host does not answer counts as heard
	undeliveredTimeout       = 8 * time.Second         // the protocol: what is over and could not be told is released within this time of its end
	forgetHostAfter          = 30 * time.Second        // a host that is gone and holds nothing is forgotten
	unlistedTimeout          = 2500 * time.Millisecond // a host that an owner names may come to the list so late; bad clients get their answer in 3 s
	reconcileInterval        = 50 * time.Millisecond
	maxRequestWait           = 60 * 24 * time.Hour // the longest that an owner may say it waits
	listenAfterShutdown      = 800 * time.Millisecond
	minShutdownDuration      = 1200 * time.Millisecond
)

// Input is something that happened on the sockets.
type Input interface{ input() }

// The inputs.
type (
	// OwnerConnected is a new connection of an owner.
	OwnerConnected struct{ Owner uint64 }
	// OwnerData is bytes from an owner; the core does not keep them.
	OwnerData struct {
		Owner uint64
		Data  []byte
	}
	// OwnerDisconnected is the end of an owner's connection that the core has not closed.
	OwnerDisconnected struct{ Owner uint64 }
	// HostConnected says that a connection to a host is made.
	HostConnected struct{ Connection uint64 }
	// DialFailed says that it is not made; Refused proves that nothing listens there, and Ours that this process could
	// not try: it says nothing of the host.
	DialFailed struct {
		Connection uint64
		Refused    bool
		Local      bool
	}
	// HostData is bytes from a host.
	HostData struct {
		Connection uint64
		Data       []byte
	}
	// HostDisconnected is the end of a host's connection that the core has not closed.
	HostDisconnected struct{ Connection uint64 }
	// WatchEventReceived is an event of the change log; Anew says that its numbers begin anew with this one, a whole list.
	WatchEventReceived struct {
		Event             platform.WatchEvent
		SequenceRestarted bool
	}
	// GossipReceived is a message of another placer.
	GossipReceived struct {
		From int
		Data []byte
	}
	// ShutdownRequested says that this placer is to end.
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

// Output is something to do.
type Output interface{ output() }

// The outputs, to be carried out in their order.
type (
	// SendToOwner writes a line to an owner.
	SendToOwner struct {
		Owner uint64
		Line  []byte
	}
	// CloseOwnerConnection closes an owner's connection after what was written to it.
	CloseOwnerConnection struct{ Owner uint64 }
	// DialHost makes a connection to a host.
	DialHost struct {
		Connection uint64
		Address    string
	}
	// SendToHost writes a line to a host. One that gives up an attempt resets the connection where it cannot leave at once.
	SendToHost struct {
		Connection uint64
		Line       []byte
		Abandons   bool
	}
	// CloseHostConnection closes a host's connection, or stops making it.
	CloseHostConnection struct{ Connection uint64 }
	// HalfCloseHostConnection writes nothing more to a host and reads on until it closes.
	HalfCloseHostConnection struct{ Connection uint64 }
	// SendGossip sends a message to another placer or to forkhead.Everyone.
	SendGossip struct {
		To   int
		Data []byte
	}
	// CloseListener closes the listener.
	CloseListener struct{}
	// ShutdownComplete says that nothing is owed any more: the process may end.
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
