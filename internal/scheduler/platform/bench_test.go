package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// benchmarkCore returns a core with many hosts. The first ones have a connection and four placed tasks each.
func benchmarkCore(b *testing.B, hosts, connected int) *testCore {
	b.Helper()
	w := newTestCore(b, func(cfg *Config) {
		cfg.MaxOwnerConnections, cfg.ProtectedOwnerConnections, cfg.MaxHostConnections, cfg.MaxConnections = 200, 100, 400, 500
		var infos []platform.Endpoint
		for n := range hosts {
			infos = append(infos, benchmarkEndpoint(n, platform.InService))
		}
		cfg.InitialEvents[0].Endpoints.Hosts = infos
	})
	o := w.connectOwner()
	for n := range connected {
		for k := range 4 {
			w.send(o, handOverLine(fmt.Sprintf("%016x", n*10+k+1), n+1))
		}
	}
	w.now += 100 * time.Millisecond
	w.step()
	w.connectDialed()
	if len(w.core.connections) != connected {
		b.Fatalf("after hand-overs on %d hosts: got %d connections to hosts", connected, len(w.core.connections))
	}
	return w
}

func benchmarkEndpoint(n int, state platform.EndpointState) platform.Endpoint {
	info := endpoint(n+1, state)
	info.Address = fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
	return info
}

// stepWhile measures steps without inputs. The function refresh keeps a host from counting as silent.
func (w *testCore) stepWhile(b *testing.B, refresh func(*host)) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		w.now += reconcileInterval
		for _, h := range w.core.hosts {
			refresh(h)
		}
		w.step()
	}
}

// BenchmarkCoreStepAtRest measures a step without inputs. The core has 400 hosts; 100 of them have a connection and
// four placed tasks each.
func BenchmarkCoreStepAtRest(b *testing.B) {
	w := benchmarkCore(b, 400, 100)
	w.stepWhile(b, func(h *host) { h.liveness.reachableAt = w.now })
}

// BenchmarkCoreStepWithRemovedHosts measures a step without inputs while the endpoint list has 300 of 3,200 hosts as removed
// which run tasks and go on answering: for each, the core asks who else is at its address.
func BenchmarkCoreStepWithRemovedHosts(b *testing.B) {
	const removed = 300
	w := benchmarkCore(b, 3200, removed)
	list := &platform.EndpointList{}
	for n := range removed {
		list.Hosts = append(list.Hosts, benchmarkEndpoint(n, platform.Terminated))
	}
	w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: 2, Endpoints: list}})
	w.stepWhile(b, func(h *host) {
		h.liveness.messageAt, h.liveness.reachableAt = w.now, w.now
		for _, conn := range h.connections {
			conn.lastReceivedAt = w.now
		}
	})
	if len(w.core.connections) != removed {
		b.Fatalf("got %d connections, want %d: the hosts count as lost", len(w.core.connections), removed)
	}
}
