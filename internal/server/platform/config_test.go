package platform

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"forkhead/internal/protocol/platform"
)

// CheckConfig reports a value that cannot be used as a ConfigError that names its key.
func TestCheckConfigNamesTheKey(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*platform.Config)
		want   string // prefix of the error; empty if the configuration can be used
	}{
		{"good", func(*platform.Config) {}, ""},
		{"settings", func(cfg *platform.Config) { cfg.Settings = json.RawMessage(`{}`) }, "configuration: settings"},
		{"peer", func(cfg *platform.Config) { cfg.Peers = []string{"127.0.0.1:1", "x"} }, "configuration: peers[1]: "},
		{"watch", func(cfg *platform.Config) { cfg.WatchAddress = "x" }, "configuration: changelog: "},
		{"listen", func(cfg *platform.Config) { cfg.Listen = "x" }, "configuration: listen: "},
		{"gossip", func(cfg *platform.Config) { cfg.PeerListen = "x" }, "configuration: peer_listen: "},
		{"broadcast without an address", func(cfg *platform.Config) { cfg.PeersBroadcast = "name:1" }, "configuration: peers_all: "},
		{"too few descriptors", func(cfg *platform.Config) { cfg.Limits.Sockets = 63 }, "configuration: limits.sockets: "},
		{"least descriptors", func(cfg *platform.Config) { cfg.Limits.Sockets = 64 }, ""},
		{"broadcast", func(cfg *platform.Config) { cfg.PeersBroadcast = "x" }, "configuration: peers_all: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := &platform.Config{Listen: "127.0.0.1:0", WatchAddress: "127.0.0.1:1", Settings: json.RawMessage(testSettings)}
			c.change(cfg)
			err := CheckConfig(cfg)
			if c.want == "" {
				if err != nil {
					t.Errorf("CheckConfig() = %v, want nil", err)
				}
				return
			}
			if !errors.As(err, &ConfigError{}) || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("CheckConfig() = %v, want a ConfigError that begins with %q", err, c.want)
			}
		})
	}
}

// newCoreConfig bounds what open requests hold by the memory limit; without one their bytes are not bounded.
func TestCoreConfigBoundsOpenRequestBytes(t *testing.T) {
	for memoryMB, want := range map[float64]int{0: 0, 16: 1 << 20, 64: 4 << 20, 192: 12 << 20} {
		cfg := &platform.Config{Settings: json.RawMessage(testSettings)}
		cfg.Limits.MemoryMB = memoryMB
		info, settings, err := readSettings(cfg)
		if err != nil {
			t.Fatalf("readSettings: got error %v, want nil", err)
		}
		if got := newCoreConfig(cfg, info, settings).MaxOpenRequestBytes; got != want {
			t.Errorf("newCoreConfig with a limit of %v MB: got %d bytes for open requests, want %d", memoryMB, got, want)
		}
	}
}

// newCoreConfig divides the descriptors so that owners and hosts get connections even if the limit is low.
func TestCoreConfigDividesDescriptors(t *testing.T) {
	for _, c := range []struct{ descriptors, owners, protected, hosts, both int }{
		{0, 666, 341, 651, 992},
		{256, 154, 85, 139, 224},
		{64, 26, 20, 12, 32},
	} {
		cfg := &platform.Config{Settings: json.RawMessage(testSettings)}
		cfg.Limits.Sockets = c.descriptors
		info, settings, err := readSettings(cfg)
		if err != nil {
			t.Fatalf("readSettings: got error %v, want nil", err)
		}
		got := newCoreConfig(cfg, info, settings)
		if got.MaxOwnerConnections != c.owners || got.ProtectedOwnerConnections != c.protected || got.MaxHostConnections != c.hosts || got.MaxConnections != c.both {
			t.Errorf("newCoreConfig with a limit of %d descriptors: got owners %d, protected %d, hosts %d, both %d; want %+v", c.descriptors,
				got.MaxOwnerConnections, got.ProtectedOwnerConnections, got.MaxHostConnections, got.MaxConnections, c)
		}
	}
}
