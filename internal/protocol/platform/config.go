package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Config is what a placer is given when it starts, as JSON.
type Config struct {
	Name           string          `json:"name"`
	Listen         string          `json:"listen"` // host:port where owners connect
	Seed           string          `json:"seed"`   // hex; see SeedNumber
	Limits         Limits          `json:"limits"`
	PeerListen     string          `json:"peer_listen"` // host:port for datagrams of other placers; empty: none
	Peers          []string        `json:"peers"`       // host:port, by their numbers in the settings, this placer's own included
	PeersBroadcast string          `json:"peers_all"`   // host:port that reaches all peers; empty: none
	WatchAddress   string          `json:"changelog"`   // host:port of the watch
	Initial        InitialList     `json:"known"`
	Settings       json.RawMessage `json:"settings"` // as parse/platformconfig reads it
}

// Limits are what a placer may use of its own machine; 0 is no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// InitialList is the endpoint list's events up to the start.
type InitialList struct {
	Seq    uint64       `json:"seq"` // number of the event to subscribe after
	Events []WatchEvent `json:"results"`
}

// ParseConfig reads a configuration. Its error names what is missing or out of range; unknown keys are ignored.
func ParseConfig(text []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return &c, nil
}

func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return errors.New("listen names no address")
	case len(c.Settings) == 0:
		return errors.New("it has no settings")
	case c.WatchAddress == "":
		return errors.New("changelog names no address")
	case c.Limits.Sockets < 0 || !(c.Limits.MemoryMB >= 0) || !(c.Limits.Cores >= 0):
		return errors.New("a limit is below 0")
	}
	return nil
}

// SeedNumber is the seed as a number; one that is not hex of at most 64 bits is hashed.
func (c *Config) SeedNumber() uint64 {
	const prime = 1099511628211 // of FNV-1
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		for _, b := range []byte(c.Seed) {
			n = n*prime + uint64(b)
		}
	}
	return n
}
