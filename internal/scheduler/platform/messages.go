package platform

import (
	"strconv"
	"time"

	"forkhead/internal/protocol/platform"
)

// requestRef identifies a placement request or a probe on the wire: 16 hex digits that the sender of the request or
// probe chooses.
type requestRef string

// releaseMessage ends the request, attempt or task that a ref identifies. The cause says why.
func releaseMessage(ref requestRef, cause platform.Cause) []byte {
	return platform.Append(nil, platform.TypeRelease, string(ref), cause, nil)
}

// stopMessage instructs a host to drop the offer or to end the task that it has under the ref. The message is the same
// for both.
func stopMessage(ref requestRef) []byte { return releaseMessage(ref, platform.CauseOK) }

// rejectMessage rejects a request. The owner may send it again after retryAfter, which is rounded down to whole
// milliseconds; if that is 0 or less, the message names no delay.
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

// probeCause is the cause of a probe message. The protocol requires one but gives it no meaning.
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

// offerMessage offers a request to a host and states the time until the request's deadline, at least 1 ms.
func offerMessage(r *request, remaining time.Duration) []byte {
	timeout := millisField(platform.FieldTimeout, max(remaining.Milliseconds(), 1))
	fields := append(r.hostFields[:len(r.hostFields):len(r.hostFields)], timeout)
	return platform.Append(nil, platform.TypeRequest, string(r.ref), platform.NoCause, r.description, fields...)
}

func millisField(name platform.FieldName, millis int64) platform.Field {
	return platform.TextField(name, strconv.FormatInt(millis, 10))
}
