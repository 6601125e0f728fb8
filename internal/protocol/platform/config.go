package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Config is the JSON configuration that a placer is started with.
type Config struct {
	Name           string          `json:"name"`
	Listen         string          `json:"listen"` // host:port where owners connect
	Seed           string          `json:"seed"`   // hex digits, which SeedNumber converts
	Limits         Limits          `json:"limits"`
	PeerListen     string          `json:"peer_listen"` // host:port for gossip datagrams from other placers; empty: none
	Peers          []string        `json:"peers"`       // host:port of all placers, by their numbers in the settings
	PeersBroadcast string          `json:"peers_all"`   // broadcast host:port that reaches all peers; empty: none
	WatchAddress   string          `json:"changelog"`   // host:port of the watch
	Initial        InitialList     `json:"known"`
	Settings       json.RawMessage `json:"settings"` // parsed by package parse/platformconfig
}

// Limits bound the resources that a placer may use on the machine that it runs on; 0: the configuration sets no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// InitialList holds the events of the endpoint list up to the placer's start.
type InitialList struct {
	Seq    uint64       `json:"seq"` // number of the event after which the placer subscribes to the watch
	Events []WatchEvent `json:"results"`
}

// ParseConfig parses a configuration. Its error says what is missing or out of range; unknown keys are ignored.
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

// SeedNumber returns the seed as a number. A seed that is not a hex number of at most 64 bits is hashed.
func (c *Config) SeedNumber() uint64 {
	const prime = 1099511628211 // the 64-bit prime of FNV-1
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		for _, b := range []byte(c.Seed) {
			n = n*prime + uint64(b)
		}
	}
	return n
}
