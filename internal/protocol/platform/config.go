package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Config is what a placer is told when it starts.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // where owners connect
	Seed   string `json:"seed"`   // hex
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"` // descriptors
	} `json:"limits"`
	PeerListen   string   `json:"peer_listen"`
	Peers        []string `json:"peers"` // by their numbers in the settings, this placer's own included
	PeersAll     string   `json:"peers_all"`
	WatchAddress string   `json:"changelog"`
	Initial      struct {
		Seq     uint64       `json:"seq"`
		Results []WatchEvent `json:"results"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// ReadConfig reads a configuration and says what it lacks.
func ReadConfig(text []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	switch {
	case c.Listen == "":
		return nil, errors.New("configuration: listen names no address")
	case len(c.Settings) == 0:
		return nil, errors.New("configuration: it has no settings")
	case c.WatchAddress == "":
		return nil, errors.New("configuration: changelog names no address")
	case c.Limits.Sockets < 0 || !(c.Limits.MemoryMB >= 0) || !(c.Limits.Cores >= 0):
		return nil, errors.New("configuration: a limit is below 0")
	}
	return &c, nil
}

// SeedNumber is the seed as a number; one that is not hex is hashed.
func (c *Config) SeedNumber() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		for _, b := range []byte(c.Seed) {
			n = n*1099511628211 + uint64(b)
		}
	}
	return n
}
