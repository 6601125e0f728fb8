// Package rules is a trace checker: it checks the scheduler's five rules on captured traffic. It uses nothing that a
// placer reports about itself, and shares no code with the scheduler beyond the types that name rules, effects and
// domains.
//
// Each rule has a file. Most rules are checked in two ways. The traffic that hosts and clients captured shows a placer
// from the other end of the wire, which needs a slack of Config.MaxTransit. The traffic that was captured at the
// placer's own sockets (placerView) shows exactly what the placer had read and written before each offer, which needs
// no slack. If that traffic was captured, the second check replaces the first.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// checker checks one trace. Its methods are in the files of the rules.
type checker struct {
	config  Config
	trace   *trace
	verdict Verdict
}

// Check checks captured traffic. The events may be in any order; those with equal times are processed in the order given.
func Check(events []capture.Event, config Config) Verdict {
	t := newTrace(events, config.BoundWhenRunning)
	c := &checker{config: config, trace: t, verdict: Verdict{
		Outcomes:         map[string]int{},
		Offers:           len(t.attempts),
		Rejected:         t.rejected,
		HostIncarnations: t.hostIncarnations,
	}}
	views := c.checkPlacerViews()
	c.checkOffersCaptured(views)
	c.checkAnswers()
	c.checkRepeats()
	c.checkDrains()
	c.checkSlowStarts()
	c.checkSpreads()
	slices.SortStableFunc(c.verdict.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.verdict
}

// breach counts a breach of a rule, and lists it unless maxBreaches are listed already.
func (c *checker) breach(rule invariant.Rule, at time.Duration, format string, args ...any) {
	c.verdict.Counts[rule]++
	if len(c.verdict.Breaches) < maxBreaches {
		c.verdict.Breaches = append(c.verdict.Breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
	}
}

// checkPlacerViews checks each offer against what its placer knew when the placer sent it. It returns the final view of
// each incarnation of a placer.
func (c *checker) checkPlacerViews() map[incarnation]*placerView {
	views := map[incarnation]*placerView{}
	for i := range c.trace.placerEvents {
		e := &c.trace.placerEvents[i]
		view := views[incarnationOf(e)]
		if view == nil {
			view = newPlacerView(c.config.BoundWhenRunning)
			views[incarnationOf(e)] = view
		}
		if e.Type == capture.Offer {
			c.checkSentOffer(view, e)
		}
		view.apply(e)
	}
	return views
}

// checkSentOffer checks an offer against the traffic that its placer had read and written before.
func (c *checker) checkSentOffer(view *placerView, offer *capture.Event) {
	class, known := c.config.Classes[offer.Class]
	if !known {
		return // checkRepeats reports an unknown class
	}
	c.checkSentToDrained(view, offer)
	c.checkSentRepeat(view, offer, class)
	c.checkSentSpread(view, offer, class)
}
