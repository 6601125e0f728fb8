package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// BenchmarkCoreStepAtRest measures a step without inputs. The core has 400 hosts; 100 of them have a connection and
// four placed tasks each.
func BenchmarkCoreStepAtRest(b *testing.B) {
	w := newTestCore(b, func(cfg *Config) {
		cfg.MaxOwnerConnections, cfg.ProtectedOwnerConnections, cfg.MaxHostConnections, cfg.MaxConnections = 200, 100, 400, 500
		var infos []platform.Endpoint
		for n := range 400 {
			info := endpoint(n+1, platform.InService)
			info.Address = fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
			infos = append(infos, info)
		}
		cfg.InitialEvents[0].Endpoints.Hosts = infos
	})
	o := w.connectOwner()
	for n := range 100 {
		for k := range 4 {
			w.send(o, handOverLine(fmt.Sprintf("%016x", n*10+k+1), n+1))
		}
	}
	w.now += 100 * time.Millisecond
	w.step()
	w.connectDialed()
	if len(w.core.connections) != 100 {
		b.Fatalf("after hand-overs on 100 hosts: got %d connections to hosts, want 100", len(w.core.connections))
	}
	b.ReportAllocs()
	for b.Loop() {
		w.now += reconcileInterval
		for _, h := range w.core.hosts {
			h.liveness.reachableAt = w.now
		}
		w.step()
	}
}
