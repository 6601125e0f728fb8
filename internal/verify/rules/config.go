package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
)

// Defaults of Config.MaxTransit and Config.MaxOutcomeDelay.
const (
	defaultMaxTransit      = 200 * time.Millisecond
	defaultMaxOutcomeDelay = time.Second
)

// Config holds the parameters of the rules.
type Config struct {
	Classes map[string]Class // by the name of the class in offers

	Durable          bool          // placers keep accepted requests over a restart, so that their death excuses no missing outcome
	ParallelAttempts bool          // a request may have two unanswered attempts at once
	BoundWhenRunning bool          // a task is bound when it runs, not already when its host accepts it
	DrainGrace       time.Duration // time for which a placer may still send offers after it was notified of a drain
	LostAfter        time.Duration // time for which a placer counts a safe task on an unreachable host as placed
	OwnerBackoff     time.Duration // least time from a placer's death until an owner requests its tasks again

	SlowStartDuration    time.Duration
	SlowStartInitialRate float64       // fraction of WarmStartRate that a host sustains when it has just started
	SlowStartWindow      time.Duration // sliding window in which offers to a host that is warming up are counted
	SlowStartMaxOffers   float64       // offers in a window that are always allowed
	SlowStartOverload    float64       // offers allowed in a window, as a multiple of the tasks that a host starts in it
	WarmStartRate        float64       // tasks per second that a warm host starts

	// MaxTransit is the timing error of the capture itself: the longest time from sending a message at one end of a
	// connection to its record at the other end.
	MaxTransit time.Duration
	// MaxOutcomeDelay is the longest time that an outcome may take from its placer to its client.
	MaxOutcomeDelay time.Duration
}

// Class holds the settings of a class of tasks that the rules need.
type Class struct {
	Effect       forkhead.Effect
	DedupDomain  forkhead.Domain // for a keyed class: domain whose hosts deduplicate repeated starts
	DedupWindow  time.Duration   // for a keyed class: duration of deduplication, from the first attempt that may have run
	SpreadDomain forkhead.Domain
	MaxPerDomain int // largest number of tasks of one service in a SpreadDomain
}

// ConfigFromSettings returns the parameters of the rules from settings. warmStartRate is the number of tasks per second
// that a warm host starts.
func ConfigFromSettings(s *settings.Settings, warmStartRate float64) Config {
	m := &s.Module
	classes := map[string]Class{}
	for i, class := range m.Classes {
		classes[s.Classes[i].Name] = Class{
			Effect:       class.Effect,
			DedupDomain:  class.DedupDomain,
			DedupWindow:  class.DedupWindow,
			SpreadDomain: class.SpreadDomain,
			MaxPerDomain: class.MaxPerDomain,
		}
	}
	return Config{
		Classes:              classes,
		ParallelAttempts:     m.ParallelAttempts,
		BoundWhenRunning:     m.BoundWhenRunning,
		DrainGrace:           m.DrainGrace,
		LostAfter:            s.HostConnections.LostAfter,
		OwnerBackoff:         m.OwnerBackoff,
		SlowStartDuration:    m.SlowStartDuration,
		SlowStartInitialRate: m.SlowStartInitialRate,
		SlowStartWindow:      m.SlowStartWindow,
		SlowStartMaxOffers:   m.SlowStartMaxOffers,
		SlowStartOverload:    m.SlowStartOverload,
		WarmStartRate:        warmStartRate,
		MaxTransit:           defaultMaxTransit,
		MaxOutcomeDelay:      defaultMaxOutcomeDelay,
	}
}
