package platform

import (
	"fmt"
	"net"
	"net/netip"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// Division of the process's descriptors. The limit of descriptors is the sum of reservedDescriptors, acceptReserve and
// the core's MaxConnections. CheckConfig rejects limits for which that leaves too few.
const (
	defaultDescriptors = 1024 // limit of descriptors if the configuration sets none
	// minDescriptors is the least limit with which owners, hosts and everything else get descriptors within the limit.
	minDescriptors = 64
	// reservedDescriptors are descriptors for everything but connections. They are also for connections that are
	// half-closed or linger after the core has given their slots to other connections.
	reservedDescriptors = 24
	acceptReserve       = 8 // descriptors for accepted connections that the core does not know yet
)

// openRequestShare is the share of the memory limit that open requests may hold. The core may use twice as much of it, and
// the garbage of decoding a flood of requests takes several times as much again.
const openRequestShare = 1.0 / 16

// takenOverShare is the share of the memory limit that tasks may hold which owners have handed over, each of them
// takenOverBytes in all tables together.
const (
	takenOverShare = 1.0 / 4
	takenOverBytes = 2 << 10
)

// ConfigError is the error of a configuration that cannot be used.
type ConfigError struct{ Err error }

// Error describes what is wrong with the configuration.
func (e ConfigError) Error() string { return "configuration: " + e.Err.Error() }

// Unwrap returns the error that Err holds.
func (e ConfigError) Unwrap() error { return e.Err }

// CheckConfig returns a ConfigError if a placer cannot use the configuration.
func CheckConfig(cfg *platform.Config) error {
	if err := platformconfig.Check(cfg.Settings); err != nil {
		return ConfigError{err}
	}
	if _, err := parsePeers(cfg.Peers); err != nil {
		return ConfigError{err}
	}
	if n := cfg.Limits.Sockets; n != 0 && n < minDescriptors {
		return ConfigError{fmt.Errorf("limits.sockets: got %d, want 0 for the default of %d or at least %d", n, defaultDescriptors, minDescriptors)}
	}
	if _, err := netip.ParseAddrPort(cfg.PeersBroadcast); cfg.PeersBroadcast != "" && err != nil {
		return ConfigError{fmt.Errorf("peers_all: %w", err)}
	}
	addresses := []struct{ key, value string }{
		{"changelog", cfg.WatchAddress}, {"listen", cfg.Listen}, {"peer_listen", cfg.PeerListen},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); address.value != "" && err != nil {
			return ConfigError{fmt.Errorf("%s: %w", address.key, err)}
		}
	}
	return nil
}

// parsePeers returns the gossip addresses of all placers, indexed by placer number.
func parsePeers(peers []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, len(peers))
	for i, peer := range peers {
		var err error
		if addresses[i], err = netip.ParseAddrPort(peer); err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return addresses, nil
}

// readSettings parses the settings object of the configuration and converts it to settings of the forkhead module.
func readSettings(cfg *platform.Config) (*platformconfig.Info, forkhead.Settings, error) {
	info, err := platformconfig.Parse(cfg.Settings)
	if err != nil {
		return nil, forkhead.Settings{}, ConfigError{err}
	}
	settings, err := platformconfig.ModuleSettings(info)
	if err != nil {
		return nil, forkhead.Settings{}, ConfigError{err}
	}
	return info, settings, nil
}

// newCoreConfig returns the core's configuration. The number of connections is the number of descriptors minus
// reservedDescriptors. A third of the descriptors, or half of the connections if that is
// less, is reserved for connections of owners. Owners may use up to two thirds of the connections. Hosts may use all
// connections except those reserved for owners and those of acceptReserve.
func newCoreConfig(cfg *platform.Config, info *platformconfig.Info, settings forkhead.Settings) platformcore.Config {
	descriptors := cfg.Limits.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	connections := descriptors - reservedDescriptors
	protected := min(descriptors/3, connections/2)
	config := platformcore.NewConfig(info, settings)
	config.Seed = cfg.SeedNumber()
	config.InitialEvents = cfg.Initial.Events
	config.MaxOpenRequestBytes = int(cfg.Limits.MemoryMB * openRequestShare * (1 << 20))
	config.MaxTakenOverTasks = int(cfg.Limits.MemoryMB * takenOverShare * (1 << 20) / takenOverBytes)
	config.MaxOwnerConnections = connections * 2 / 3
	config.ProtectedOwnerConnections = protected
	config.MaxHostConnections = connections - acceptReserve - protected
	config.MaxConnections = connections - acceptReserve
	return config
}
