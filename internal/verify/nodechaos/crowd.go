package nodechaos

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"forkhead/internal/server/clock"
)

// Crowd is a number of clients that connect to a placer at once, send half of a message and stay connected. A connection
// that ends is opened again after crowdRedialDelay, until the end of the run.
type Crowd struct {
	At          time.Duration // from the begin of the requests
	Placer      int
	Connections int // 0: no crowd
}

const (
	crowdRedialDelay = 500 * time.Millisecond
	crowdDialTimeout = time.Second
)

// crowdMessage is the first half of a probe.
const crowdMessage = `{"t":"hb","ref":"00000000`

// playCrowd plays the crowd of the plan until ctx is done.
func (r *run) playCrowd(ctx context.Context, begin time.Time) {
	crowd := &r.plan.Crowd
	if crowd.Connections == 0 || sleepUntil(ctx, begin.Add(crowd.At)) != nil {
		return
	}
	address := r.processes[crowd.Placer].address
	var clients sync.WaitGroup
	for range crowd.Connections {
		clients.Go(func() { stayConnected(ctx, address) })
	}
	clients.Wait()
}

// stayConnected keeps one connection of the crowd until ctx is done.
func stayConnected(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: crowdDialTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, crowdMessage); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		_ = clock.Sleep(ctx, crowdRedialDelay)
	}
}
