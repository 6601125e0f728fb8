package platform

import "time"

// Bounds of placement requests.
const (
	// maxOpenRequests bounds the requests without an answer, of all owners. Further ones are rejected as busy.
	maxOpenRequests int = 8192
	// maxOpenRequestsPerOwner bounds those of one connection, so that one owner cannot take them all.
	maxOpenRequestsPerOwner int = 2048
	// maxRequestTimeout is the longest that an owner may wait for an answer; a longer wait is malformed.
	maxRequestTimeout = 60 * 24 * time.Hour
	// maxLifetimeMillis is the longest remaining lifetime of a task that is accepted, in milliseconds.
	maxLifetimeMillis float64 = 1e12
	// maxRemembered bounds the attempts that are remembered as abandoned, and as many ends of tasks.
	maxRemembered int = 4096
)

// Bounds of the connections of owners.
const (
	// maxMalformedRequests is how many malformed requests a connection may send before it is closed.
	maxMalformedRequests int = 64
	// ownerLineTimeout is how long a message may take from its first byte to its line feed.
	ownerLineTimeout = 2 * time.Second
	// firstMessageTimeout is how long a connection may be open without a valid message.
	firstMessageTimeout = 2 * time.Second
	// maxUndelivered bounds the messages that wait for a connection of an owner. Further ones are lost.
	maxUndelivered int = 1024
	// undeliveredTimeout is the protocol's: the end of a task is sent to its owner within this time, or never.
	undeliveredTimeout = 8 * time.Second
)

// Bounds of the connections to hosts.
const (
	// maxConnectionsPerHost bounds the connections to one host; attempts share them beyond it.
	maxConnectionsPerHost int = 8
	// maxAttemptsPerConnection bounds the attempts in flight and queued on one connection. A further one fails.
	maxAttemptsPerConnection int = 32
	// maxHalfClosed is how many half-closed connections take no slot of others.
	maxHalfClosed int = 4
	// halfClosedTimeout is how long a half-closed connection is read at most.
	halfClosedTimeout = time.Second
	// hostLineTimeout is how long a message may take from its first byte to its line feed.
	hostLineTimeout = 250 * time.Millisecond
	// overtakenAfter is how much later an offer must have been sent for its answer to show that the connection of an
	// unanswered earlier one is broken.
	overtakenAfter = 50 * time.Millisecond
	// minRedialBackoff and maxRedialBackoff bound the time between dials that fail; it doubles from one to the next.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = time.Second
)

// Bounds of hosts.
const (
	// probeTimeout is how long a probe waits for its result.
	probeTimeout = 250 * time.Millisecond
	// probeRetryAfter is when an unanswered probe is sent again on another connection.
	probeRetryAfter = 120 * time.Millisecond
	// unresponsiveAfter is how long a host with placed tasks may send nothing before it is dialed, and dialed again.
	unresponsiveAfter = time.Second
	// lostAfter is when such a host is lost, if no connection to it could be made: in time to release its tasks to their owners.
	lostAfter = undeliveredTimeout - 500*time.Millisecond
	// lostAfterRefusals is how many refused dials in a row, with no connection open, show that a host's process has ended.
	lostAfterRefusals int = 2
	// lastDialBeforeLoss is how long before its loss a host is dialed once more, whatever its backoff.
	lastDialBeforeLoss = 500 * time.Millisecond
	// removedGrace is how long hosts that the endpoint list removes may still report the ends of their tasks.
	removedGrace = 500 * time.Millisecond
	// removeHostAfter is when a removed host that has neither tasks nor connections is dropped.
	removeHostAfter = 30 * time.Second
	// maxUnlistedHosts bounds the hosts that are known by their owners' messages alone.
	maxUnlistedHosts int = 1024
	// unlistedTimeout is how long such a host may take to be listed: misbehaving clients must have an answer in 3 s.
	unlistedTimeout = 2500 * time.Millisecond
	// stopTimeout is how long a host's answer to the stop of a task is awaited; then the task counts as stopped.
	stopTimeout = time.Second
)

// Times of the core itself.
const (
	// reconcileInterval is the time between two rounds over all hosts and owners.
	reconcileInterval = 50 * time.Millisecond
	// listenAfterShutdown is how long connections and requests are accepted once the shutdown has been requested.
	listenAfterShutdown = 800 * time.Millisecond
	// minShutdownDuration is the least time between the request and the completion of a shutdown.
	minShutdownDuration = 1200 * time.Millisecond
)
