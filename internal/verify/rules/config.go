package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
)

// How far the two ends of a connection may lie apart in a capture.
const (
	defaultMaxTransit      = 200 * time.Millisecond
	defaultMaxOutcomeDelay = time.Second
)

// Config has the figures of the rules.
type Config struct {
	Classes map[string]Class // by the name that offers carry

	Durable          bool          // placers remember accepted requests over a restart: their death excuses no missing outcome
	ParallelAttempts bool          // one request may have two attempts without an answer
	BoundWhenRunning bool          // a task is bound when it runs, not when its host accepts it
	DrainGrace       time.Duration // offers may still be sent so long after the placer was notified of a drain
	LostAfter        time.Duration // a safe task on an unreachable host counts for its placer so long
	OwnerBackoff     time.Duration // an owner requests its tasks again no sooner than this after its placer's death

	SlowStartDuration    time.Duration
	SlowStartInitialRate float64       // share of WarmStartRate that a host bears when it has just started
	SlowStartWindow      time.Duration // offers to a host that is warming up are counted over this
	SlowStartMaxOffers   float64       // a window; always borne
	SlowStartOverload    float64       // multiple of what a host starts in a window that it bears as offers
	WarmStartRate        float64       // tasks a second that a host starts once it is warm

	// MaxTransit is the error of the capture itself: what is sent at one end is noted at the other so much later at most.
	MaxTransit time.Duration
	// MaxOutcomeDelay is the longest that an outcome takes from its placer to its client.
	MaxOutcomeDelay time.Duration
}

// Class is what the rules need of a class of tasks.
type Class struct {
	Effect       forkhead.Effect
	DedupDomain  forkhead.Domain // of a keyed class
	DedupWindow  time.Duration   // of a keyed class, from the first attempt that may have run
	SpreadDomain forkhead.Domain
	MaxPerDomain int // tasks of one service in a SpreadDomain
}

// ConfigFromSettings returns the figures of settings. warmStartRate is the tasks a second that a warm host starts.
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
