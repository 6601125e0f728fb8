package placer

import (
	"net/http"
	"sync/atomic"

	"forkhead/internal/server/netio"
)

const (
	// maxUnfinishedBytes bounds what all connections together hold of requests that are not complete. Beyond it, those
	// requests are rejected that hold more than an equal share, so that clients which stop half way through a large
	// request do not keep others from sending theirs.
	maxUnfinishedBytes = 64 << 20
	// minUnfinishedShare is what each request may hold in any case: a head, or a usual specification.
	minUnfinishedShare = 16 << 10
)

// requestMemory counts the bytes of requests that are not complete. It is safe for concurrent use.
type requestMemory struct{ total atomic.Int64 }

// bufferedRequest is the share of one connection in a requestMemory. It is safe for concurrent use.
type bufferedRequest struct {
	memory *requestMemory
	bytes  atomic.Int64
}

// set sets the number of bytes that a connection holds. A connection that has been closed holds none, even if it is
// being fed on another goroutine.
func (r *bufferedRequest) set(conn *netio.Conn, bytes int) {
	r.memory.total.Add(int64(bytes) - r.bytes.Swap(int64(bytes)))
	if conn.IsClosed() {
		r.release()
	}
}

// release sets the number of bytes to 0.
func (r *bufferedRequest) release() { r.memory.total.Add(-r.bytes.Swap(0)) }

// exceedsShare reports whether the request holds more than its share while all requests together hold too much. The
// parameter connections is the number of open connections.
func (r *bufferedRequest) exceedsShare(connections int64) bool {
	share := max(minUnfinishedShare, maxUnfinishedBytes/max(connections, 1))
	return r.memory.total.Load() > maxUnfinishedBytes && r.bytes.Load() > share
}

// busyProblem is the response to a request that exceeds its share.
func busyProblem() problemResponse {
	return problemResponse{
		Problem: Problem{
			Title: "Too many large requests", Status: http.StatusServiceUnavailable, Detail: "too much of other requests is being received",
		},
		retryAfter: rejectedRetryAfter,
	}
}
