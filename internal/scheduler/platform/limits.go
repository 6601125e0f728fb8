package platform

import "time"

// Limits of placement requests.
const (
	// maxOpenRequests bounds the unanswered requests of all owners. Further requests are rejected as busy.
	maxOpenRequests int = 8192
	// requestOverhead is what an open request holds besides its description and fields, in bytes.
	requestOverhead int = 1 << 10
	// maxOpenRequestsPerOwner bounds the unanswered requests of one connection, so that one owner cannot use up
	// maxOpenRequests.
	maxOpenRequestsPerOwner int = 2048
	// resubmissionWindow is the time for which closed requests are remembered, as their owners may send them again. The
	// protocol has an owner send a request again whose connection ended within 50 ms; the rest is for a new connection.
	resubmissionWindow = time.Second
	// maxClosedRequests and maxClosedBytes bound the closed requests that are remembered and the bytes of their answers.
	maxClosedRequests int = 1024
	maxClosedBytes    int = 1 << 20
	// maxRequestTimeout is the longest time that a request may allow for its answer. A request with a longer one is
	// malformed.
	maxRequestTimeout = 60 * 24 * time.Hour
	// minRequestTimeout is the least time that an owner must still wait when its request is read. With less, the request
	// is rejected as busy, as no attempt could be answered in time.
	minRequestTimeout = time.Millisecond
	// maxLifetimeMillis is the longest remaining lifetime that a request may state, in milliseconds. A longer one is
	// ignored.
	maxLifetimeMillis float64 = 1e12
	// maxRemembered bounds both the abandoned attempts and the ends of tasks that are remembered.
	maxRemembered int = 4096
)

// Limits of the connections of owners.
const (
	// maxMalformedRequests is the number of malformed requests that a connection may send. One more closes it.
	maxMalformedRequests int = 64
	// ownerLineTimeout bounds the time from the first byte of an owner's message to its line feed.
	ownerLineTimeout = 2 * time.Second
	// firstMessageTimeout bounds the time from accepting a connection to its first valid message.
	firstMessageTimeout = 2 * time.Second
	// maxUndelivered bounds the messages that are kept for further connections of an owner. Beyond it the oldest is
	// dropped.
	maxUndelivered int = 1024
	// undeliveredTimeout is set by the protocol: the end of a task is sent to its owner within this time or not at all.
	undeliveredTimeout = 8 * time.Second
	// noticeResetWindow is the time after which a message counts as received by its owner although the connection is reset
	// later.
	noticeResetWindow = time.Second
	// maxNotices bounds the messages of a connection that are kept for noticeResetWindow. Beyond it the oldest counts as
	// received.
	maxNotices int = 256
	// otherAddressAfter is the time after which a message for whose address no connection is open is sent on a connection
	// from another address. It is below the 1 s in which the protocol wants the end of a task sent.
	otherAddressAfter = 500 * time.Millisecond
)

// Limits of the connections to hosts.
const (
	// maxConnectionsPerHost bounds the connections to one host. Once that many are in use, attempts share connections.
	maxConnectionsPerHost int = 8
	// maxAttemptsPerConnection bounds the attempts in flight or queued on one connection. A further attempt fails.
	maxAttemptsPerConnection int = 32
	// maxHalfClosed is the number of half-closed connections that do not count against the connection slots.
	maxHalfClosed int = 4
	// halfClosedTimeout is the time after which a half-closed connection is closed even if its host has not closed it.
	halfClosedTimeout = time.Second
	// hostLineTimeout bounds the time from the first byte of a host's message to its line feed.
	hostLineTimeout = 250 * time.Millisecond
	// overtakenAfter is the least time between two offers to one host after which an answer to the later offer shows
	// that the connection of the earlier, unanswered one is broken.
	overtakenAfter = 50 * time.Millisecond
	// minRedialBackoff and maxRedialBackoff bound the delay before a redial, which doubles with each failed dial.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = time.Second
)

// Limits of hosts and of the tasks on them.
const (
	// probeTimeout is the time after which a probe without a result has timed out.
	probeTimeout = 250 * time.Millisecond
	// probeRetryAfter is the time after which an unanswered probe is sent again on another connection.
	probeRetryAfter = 120 * time.Millisecond
	// unresponsiveAfter is the time after which a host with placed tasks that sends nothing is dialed, repeatedly, to
	// see whether it is alive.
	unresponsiveAfter = time.Second
	// lostAfter is the time after which an unresponsive host to which no connection could be made is lost. It is below
	// undeliveredTimeout so that its tasks are still released to their owners in time.
	lostAfter = undeliveredTimeout - 500*time.Millisecond
	// probeSilentAfter is the time after which a host with placed tasks that sends nothing is probed, repeatedly. Until then
	// it is enough that it accepts connections.
	probeSilentAfter = 2500 * time.Millisecond
	// minUnanswered is the time for which a host must have left probes and dials unanswered to be lost. It is shorter than
	// lostAfter by the time until the first of them, and keeps a host that nobody has asked, as this placer was stopped.
	minUnanswered = 4500 * time.Millisecond
	// silentConnectionAfter is the time after which an idle connection that brings nothing is closed if others to the same
	// host are open. With halfClosedTimeout and the time of a dial it is below undeliveredTimeout.
	silentConnectionAfter = 4 * time.Second
	// reopenInterval is the time between two connections that are opened to a host for ends that it may have sent on a
	// broken one. It is below undeliveredTimeout.
	reopenInterval = 5 * time.Second
	// closeAnswerTime is the time within which a reset is taken for a host's answer to a half-close.
	closeAnswerTime = 50 * time.Millisecond
	// minStrandedWait is the time that a host has, after a connection broke, to send something on another one about a task
	// whose offer was sent on it. With silentConnectionAfter and halfClosedTimeout it is below undeliveredTimeout.
	minStrandedWait = 2 * time.Second
	// reachabilityTimeout is the time after which a connection that was dialed to see whether a host is alive, or for lost
	// ends of tasks, is closed if it is not used.
	reachabilityTimeout = 500 * time.Millisecond
	// lostAfterRefusals is the number of dials refused in a row, with no connection open, that shows that a host's
	// process has ended.
	lostAfterRefusals int = 2
	// lastDialBeforeLoss is how long before its loss an unresponsive host is dialed once more, regardless of its
	// backoff.
	lastDialBeforeLoss = 500 * time.Millisecond
	// removedGrace is the time for which a host that the endpoint list has as removed may still report the ends of its
	// tasks.
	removedGrace = 500 * time.Millisecond
	// maxStartNotice is the longest time after which the endpoint list tells of a host's start.
	maxStartNotice = time.Minute
	// removeHostAfter is the time after which a removed host without tasks and connections is deleted from the core's
	// tables.
	removeHostAfter = 30 * time.Second
	// maxUnlistedHosts bounds the hosts that only hand-overs by owners have named, and not yet the endpoint list.
	maxUnlistedHosts int = 1024
	// unlistedTimeout is the time after which the tasks of a host that only hand-overs have named are lost. It is below
	// the 3 s within which misbehaving clients must have an answer.
	unlistedTimeout = 2500 * time.Millisecond
	// stopTimeout bounds the wait for a host's answer to the stop of a task. After that time the request is over, and
	// the end of the task is unconfirmed.
	stopTimeout = time.Second
	// barrierDelay is the time after a stop without an answer after which a probe is sent behind it.
	barrierDelay = 250 * time.Millisecond
	// stopRetryDelay is the time after which a stop whose end is still unconfirmed is sent on another connection.
	stopRetryDelay = time.Second
	// maxUnconfirmedRedialBackoff bounds the delay before a redial to a host that only has unconfirmed ends.
	maxUnconfirmedRedialBackoff = 8 * time.Second
	// unconfirmedTimeout is the time after which an end counts as confirmed if the endpoint list has its host as
	// removed, or if hosts may not be probed.
	unconfirmedTimeout = 30 * time.Second
	// maxUnconfirmedEnds bounds the attempts with unconfirmed ends. Beyond it the oldest of a host counts as confirmed.
	maxUnconfirmedEnds int = 4096
)

// Times of the core's periodic checks and of its shutdown.
const (
	// reconcileInterval is the time between two checks of all hosts and owners.
	reconcileInterval = 50 * time.Millisecond
	// listenAfterShutdown is the time for which connections and requests are still accepted after a shutdown request. It
	// is below the 700 ms after which a request must be answered before the platform kills the process.
	listenAfterShutdown = 650 * time.Millisecond
	// minShutdownDuration is the least time from the request of a shutdown to its completion.
	minShutdownDuration = 1200 * time.Millisecond
)
