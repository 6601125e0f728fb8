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

// The descriptors of the process: its limit is reservedDescriptors + acceptReserve + the core's MaxConnections.
const (
	defaultDescriptors  = 1024 // where the configuration sets no limit
	reservedDescriptors = 24   // for all but connections, and for those that are half-closed or linger beyond the core's slots
	acceptReserve       = 8    // for accepted connections that the core has not seen yet
	minConnections      = 16   // of both kinds together, before acceptReserve is taken off, however low the limit is
)

// ConfigError means that the configuration cannot be used.
type ConfigError struct{ Err error }

// Error describes what is wrong with the configuration.
func (e ConfigError) Error() string { return "configuration: " + e.Err.Error() }

// Unwrap returns the cause.
func (e ConfigError) Unwrap() error { return e.Err }

// CheckConfig returns a ConfigError for what a placer cannot use of a configuration.
func CheckConfig(cfg *platform.Config) error {
	if err := platformconfig.Check(cfg.Settings); err != nil {
		return ConfigError{err}
	}
	if _, err := parsePeers(cfg.Peers); err != nil {
		return ConfigError{err}
	}
	addresses := []struct{ key, value string }{
		{"changelog", cfg.WatchAddress}, {"listen", cfg.Listen}, {"peer_listen", cfg.PeerListen}, {"peers_all", cfg.PeersBroadcast},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); address.value != "" && err != nil {
			return ConfigError{fmt.Errorf("%s: %w", address.key, err)}
		}
	}
	return nil
}

// parsePeers returns the gossip addresses of all placers, by their numbers.
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

// readSettings returns the settings object as the platform writes it and as the module takes it.
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

// newCoreConfig returns what the core runs with. A third of the descriptors is reserved for owners, who may use two thirds of
// the connections; hosts may use all but that third.
func newCoreConfig(cfg *platform.Config, info *platformconfig.Info, settings forkhead.Settings) platformcore.Config {
	descriptors := cfg.Limits.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	connections := max(descriptors-reservedDescriptors, minConnections)
	protected := min(descriptors/3, connections/2)
	config := platformcore.NewConfig(info, settings)
	config.Seed = cfg.SeedNumber()
	config.InitialEvents = cfg.Initial.Events
	config.MaxOwnerConnections = connections * 2 / 3
	config.ProtectedOwnerConnections = protected
	config.MaxHostConnections = connections - acceptReserve - protected
	config.MaxConnections = connections - acceptReserve
	return config
}
