package platform

import (
	"strconv"
	"time"

	"forkhead/internal/protocol/platform"
)

// requestRef numbers a placement request, or a probe, on the wire: 16 hex digits that its sender has chosen.
type requestRef string

// releaseMessage ends what a ref identifies: a request, an attempt or a task, by its cause.
func releaseMessage(ref requestRef, cause platform.Cause) []byte {
	return platform.Append(nil, platform.TypeRelease, string(ref), cause, nil)
}

// stopMessage notifies a host that an offer is withdrawn, or that a task is to end: one message, whichever it has.
func stopMessage(ref requestRef) []byte { return releaseMessage(ref, platform.CauseOK) }

// rejectMessage rejects a request. The owner may send it again after a while that is given in whole milliseconds; 0: any time.
func rejectMessage(ref requestRef, retryAfter time.Duration) []byte {
	millis := retryAfter.Milliseconds()
	if millis <= 0 {
		return releaseMessage(ref, platform.CauseRejected)
	}
	return platform.Append(nil, platform.TypeRelease, string(ref), platform.CauseRejected, nil, millisField(platform.FieldRetryAfter, millis))
}

func boundMessage(ref requestRef, description []byte) []byte {
	return platform.Append(nil, platform.TypeBound, string(ref), platform.NoCause, description)
}

func migrateMessage(ref requestRef) []byte {
	return platform.Append(nil, platform.TypeMigrate, string(ref), platform.NoCause, nil)
}

func ackMessage(ref requestRef) []byte {
	return platform.Append(nil, platform.TypeAck, string(ref), platform.NoCause, nil)
}

// probeCause is the cause of a probe: the protocol wants one, though it means nothing.
const probeCause platform.Cause = 0

func probeMessage(ref requestRef) []byte {
	return platform.Append(nil, platform.TypeProbe, string(ref), probeCause, nil)
}

func probeResultMessage(ref requestRef, healthy bool) []byte {
	cause := platform.CauseUnhealthy
	if healthy {
		cause = platform.CauseHealthy
	}
	return platform.Append(nil, platform.TypeProbeResult, string(ref), cause, nil)
}

// offerMessage offers a request to a host, with the remaining time until its deadline, 1 ms at least.
func offerMessage(r *request, remaining time.Duration) []byte {
	timeout := millisField(platform.FieldTimeout, max(remaining.Milliseconds(), 1))
	fields := append(r.hostFields[:len(r.hostFields):len(r.hostFields)], timeout)
	return platform.Append(nil, platform.TypeRequest, string(r.ref), platform.NoCause, r.description, fields...)
}

func millisField(name platform.FieldName, millis int64) platform.Field {
	return platform.TextField(name, strconv.FormatInt(millis, 10))
}
