// Package rules is a trace checker: it checks the scheduler's five rules on captured traffic, and on nothing that a placer
// reports of itself. It shares no code with what it checks.
//
// Each rule has a file. Most are checked twice. By what hosts and clients saw, a placer is judged from the other end of the
// wire, with Config.MaxTransit of slack. By what the placer's own sockets carried (placerView), it is judged by exactly what
// it had read and written before each offer, with no slack; where that was captured, it takes the place of the first.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// checker checks one trace. Its methods stand in the files of the rules.
type checker struct {
	config  Config
	trace   *trace
	verdict Verdict
}

// Check judges captured traffic. The events may come in any order; those of one time are taken in theirs.
func Check(events []capture.Event, config Config) Verdict {
	t := newTrace(events, config.BoundWhenRunning)
	c := &checker{config: config, trace: t, verdict: Verdict{
		Outcomes:         map[string]int{},
		Offers:           len(t.attempts),
		Rejected:         t.rejected,
		HostIncarnations: t.hostIncarnations,
	}}
	views := c.checkPlacerViews()
	c.checkOffersNoted(views)
	c.checkAnswers()
	c.checkRepeats()
	c.checkDrains()
	c.checkSlowStarts()
	c.checkSpreads()
	slices.SortStableFunc(c.verdict.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.verdict
}

// breach counts a breach of a rule, and lists it while there is room.
func (c *checker) breach(rule invariant.Rule, at time.Duration, format string, args ...any) {
	c.verdict.Counts[rule]++
	if len(c.verdict.Breaches) < maxBreaches {
		c.verdict.Breaches = append(c.verdict.Breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
	}
}

// checkPlacerViews judges each offer by what its placer knew when it sent it. It returns what each incarnation knew in the
// end.
func (c *checker) checkPlacerViews() map[incarnation]*placerView {
	views := map[incarnation]*placerView{}
	for i := range c.trace.atPlacers {
		e := &c.trace.atPlacers[i]
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

// checkSentOffer judges an offer that a placer is about to send.
func (c *checker) checkSentOffer(view *placerView, offer *capture.Event) {
	class, known := c.config.Classes[offer.Class]
	if !known {
		return // checkRepeats reports it
	}
	c.checkSentToDrained(view, offer)
	c.checkSentRepeat(view, offer, class)
	c.checkSentSpread(view, offer, class)
}
