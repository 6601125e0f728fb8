package noderules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/emulator/platformmodel"
)

// Tolerances of the rules, as the platform states them.
const (
	limitSlack    = 50 * time.Millisecond  // added to each time limit of a rule
	departedSlack = 100 * time.Millisecond // an attempt may begin this long after its owner has left
	deadlineSlack = 150 * time.Millisecond // a host may be told this much more time than its owner has left
	answerSlack   = 500 * time.Millisecond // an answer may come this long after the owner's timeout
	noticeLimit   = 8 * time.Second        // an owner hears of its task's end within this time
	crossingSlack = 50 * time.Millisecond  // a request that crosses the close of its connection within this time is sent again
	lastRequestAt = 700 * time.Millisecond // a request that came later than this after SIGTERM must be answered before a kill
)

// Rule is a rule of the platform.
type Rule string

// The rules.
const (
	RuleAnswer    Rule = "answer"     // each request gets one answer in time, and the end of its task is notified
	RuleNoRepeat  Rule = "no repeat"  // a task that may have run is offered again only as its class allows
	RuleDrain     Rule = "drain"      // no offer to a host that has been listed as draining for longer than the grace
	RuleSlowStart Rule = "slow start" // a host that has just started gets no more offers than it bears
	RuleSpread    Rule = "spread"     // a placer has no more tasks of a service in one domain than the class allows
	RuleDeadline  Rule = "deadline"   // a host is told no more time than the owner has left
	RuleDeparted  Rule = "departed"   // no attempt begins for an owner that has left
)

// Class holds the limits of a class of requests.
type Class struct {
	Effect       forkhead.Effect
	SpreadDomain forkhead.Domain
	MaxPerDomain int
}

// Config is the configuration of a check.
type Config struct {
	Platform   *platformmodel.Config
	Classes    []Class // by the index of the class in the owners' configuration
	DrainGrace time.Duration
	// SlowStartMaxOffers is the number of offers that a host bears within SlowStartWindow during SlowStartDuration
	// after its start; 0: no limit.
	SlowStartDuration, SlowStartWindow time.Duration
	SlowStartMaxOffers                 int
	Stalls                             []Stall // when placers could not act
	Shutdowns                          []Shutdown
}

// Stall is a span in which a placer did not run: it was stopped, killed or starting. A request that was open in one is
// not checked for its answer.
type Stall struct {
	Placer   int
	From, To time.Duration
}

// Shutdown is the shutdown of a placer after SIGTERM.
type Shutdown struct {
	Placer      int
	RequestedAt time.Duration
	EndedAt     time.Duration // when the process had ended
	Killed      bool          // the process was killed, as it had not ended in time
}

// Breach is a violation of a rule.
type Breach struct {
	At   time.Duration // time in the journal
	Rule Rule
	Ref  string // the request concerned
	Text string
}

// String returns the breach as one line. The time counts from begin.
func (b Breach) String() string {
	return fmt.Sprintf("%s: %s: request %s: %s", b.At, b.Rule, b.Ref, b.Text)
}

// Check returns the breaches of the rules in a run, in the order of their times.
func Check(cfg *Config, reports [][]platformmodel.RequestReport, journal *platformmodel.Journal) []Breach {
	c := newChecker(cfg, reports)
	for _, m := range readMessages(journal) {
		c.handle(&m)
	}
	for _, p := range c.parallel {
		c.breaches = append(c.breaches, p.breach)
	}
	c.checkRequests()
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.breaches
}

// slowStartLimit returns the largest number of offers within SlowStartWindow: the allowed number and what chance adds
// when placers share it without a common counter.
func (cfg *Config) slowStartLimit() float64 {
	n := float64(cfg.SlowStartMaxOffers)
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
