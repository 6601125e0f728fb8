package platform

import "time"

// liveness is what this placer knows of whether a host's process runs. Only a readable message is evidence of that, and only
// on a connection that was dialed while the endpoint list had the host. Anything else shows no more than that something is
// reachable at the host's address: a kernel accepts connections for a process that hangs, and another process accepts them
// for one that has gone.
type liveness struct {
	messageAt       time.Duration // last evidence; 0: none
	reachableAt     time.Duration // last data of any kind, accepted dial, or dial refused beside an open connection; 0: none
	watchedFrom     time.Duration // since when the host has had placed tasks; 0: it has none
	askedAt         time.Duration // last question: a probe or a dial to see whether the host is alive; 0: none
	unansweredSince time.Duration // first question after the last evidence; 0: none
}

func (l *liveness) messageReceived(now time.Duration) {
	l.messageAt, l.unansweredSince = now, 0
}

func (l *liveness) asked(now time.Duration) {
	l.askedAt = now
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
}

// watch begins to measure the host's silence, unless it has begun before.
func (l *liveness) watch(now time.Duration) {
	if l.watchedFrom == 0 {
		l.watchedFrom = now
	}
}

func (l *liveness) unwatch() { l.watchedFrom, l.unansweredSince = 0, 0 }

// lastContactAt returns the last time at which something was reachable at the host's address, or the time since which the
// host is watched if that is later.
func (l *liveness) lastContactAt() time.Duration {
	return max(l.messageAt, l.reachableAt, l.watchedFrom)
}

// lastAliveAt returns the last time at which the host showed that it is alive. A host that may not be probed need not say
// anything, so that being reachable has to do.
func (l *liveness) lastAliveAt(mayProbe bool) time.Duration {
	if mayProbe {
		return max(l.messageAt, l.watchedFrom)
	}
	return l.lastContactAt()
}

// leavesUnanswered reports whether the host has left questions unanswered for as long as a live one may.
func (l *liveness) leavesUnanswered(now time.Duration) bool {
	return l.unansweredSince > 0 && now >= l.unansweredSince+minUnanswered
}
