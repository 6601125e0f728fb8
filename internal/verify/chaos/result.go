package chaos

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/verify/rules"
	"forkhead/internal/verify/testcluster"
)

// maxSummaryBreaches bounds the breaches that Result.Summary lists.
const maxSummaryBreaches = 20

// Result is the result of a run.
type Result struct {
	Rules               map[string]int          `json:"rules"` // breaches by rule
	Vetoes              uint64                  `json:"vetoes"`
	Defects             uint64                  `json:"defects"`
	Tasks               int                     `json:"tasks"`
	Outcomes            map[string]int          `json:"outcomes"` // tasks by outcome
	Submissions         int                     `json:"submissions"`
	RejectedSubmissions int                     `json:"turned_away"` // submissions that no placer accepted
	ResentSubmissions   int                     `json:"resent"`      // submissions that were accepted again after a lost reply
	Offers              int                     `json:"offers"`      // offers that reached hosts
	RejectedOffers      int                     `json:"refused"`     // offers that the hosts rejected
	HostIncarnations    int                     `json:"host_lives"`
	Faults              int                     `json:"troubles"`
	Events              int                     `json:"events"` // captured events
	P50MS               float64                 `json:"p50_ms"` // median time from a submission to a placed outcome
	P99MS               float64                 `json:"p99_ms"`
	Seconds             float64                 `json:"seconds"`
	Accounts            rules.Accounts          `json:"accounts"`          // the submitted tasks by what became of them
	StoreCommits        uint64                  `json:"commits,omitempty"` // fsyncs of placers' stores
	Captured            []capture.Event         `json:"-"`
	Recordings          []testcluster.Recording `json:"-"`
	Verdict             rules.Verdict           `json:"-"`
}

// OK reports whether no rule was broken and nothing was vetoed.
func (r *Result) OK() bool { return r.Verdict.OK() && r.Vetoes == 0 }

// result checks the rules on the captured events and returns the result of the run. The cluster must have stopped.
func (r *runner) result(events []capture.Event, vetoes, defects uint64) *Result {
	startsPerSecond := float64(r.scenario.Host.MaxStarting) / r.scenario.Host.StartTime.Seconds()
	config := rules.ConfigFromSettings(r.scenario.Settings, startsPerSecond)
	config.Durable = r.scenario.Durable
	verdict := rules.Check(events, config)
	result := &Result{
		Rules:               map[string]int{},
		Vetoes:              vetoes,
		Defects:             defects,
		Tasks:               verdict.Tasks,
		Outcomes:            verdict.Outcomes,
		Submissions:         int(r.submissions.Load()),
		RejectedSubmissions: int(r.rejectedSubmissions.Load()),
		ResentSubmissions:   int(r.resentSubmissions.Load()),
		Offers:              verdict.Offers,
		RejectedOffers:      verdict.Rejected,
		HostIncarnations:    verdict.HostIncarnations,
		Faults:              len(r.scenario.Faults),
		Events:              len(events),
		P50MS:               r.latencies.quantileMS(50),
		P99MS:               r.latencies.quantileMS(99),
		Seconds:             time.Since(r.start).Seconds(),
		Accounts:            verdict.Accounts,
		StoreCommits:        r.cluster.StoreCommits.Load(),
		Captured:            events,
		Recordings:          r.cluster.Recordings(),
		Verdict:             verdict,
	}
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		result.Rules[rule.String()] = verdict.Counts[rule]
	}
	for _, kind := range []core.OutcomeKind{core.OutcomePlaced, core.OutcomeRejected, core.OutcomeFailed} {
		result.Outcomes[string(kind)] += 0 // adds an entry for a kind of outcome that no task had
	}
	return result
}

// Summary returns the result as lines of text.
func (r *Result) Summary() string {
	w := &strings.Builder{}
	fmt.Fprintf(w, "%d tasks in %d submissions: %d placed, %d refused, %d failed; %d submissions not accepted, %d accepted again\n",
		r.Tasks, r.Submissions, r.Outcomes["placed"], r.Outcomes["refused"], r.Outcomes["failed"], r.RejectedSubmissions, r.ResentSubmissions)
	fmt.Fprintf(w, "%d offers reached hosts, %d were rejected there; %d host incarnations; %d faults; %d events in %.0f s\n",
		r.Offers, r.RejectedOffers, r.HostIncarnations, r.Faults, r.Events, r.Seconds)
	fmt.Fprintf(w, "placed after %.1f ms (median), %.1f ms (99th percentile)\n", r.P50MS, r.P99MS)
	a := &r.Accounts
	fmt.Fprintf(w, "outcomes: %d read, %d due after their placer had died, %d not read since the client disconnected and did not submit again, "+
		"%d due after the end, %d missing\n", a.Answered, a.PlacerDied, a.Disconnected, a.NotDue, a.Unanswered)
	for rule := invariant.OneAnswer; rule <= invariant.Spread; rule++ {
		fmt.Fprintf(w, "rule %-10s %d breaches\n", rule, r.Rules[rule.String()])
	}
	fmt.Fprintf(w, "%d vetoes, %d defects\n", r.Vetoes, r.Defects)
	for i, b := range r.Verdict.Breaches {
		if i == maxSummaryBreaches {
			fmt.Fprintln(w, "...")
			break
		}
		fmt.Fprintf(w, "  %v: %s\n", b.Rule, b.Text)
	}
	return w.String()
}

// latencies collects the times from submissions to placed outcomes. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

// maxLatency is the longest latency that is recorded.
const maxLatency = 2 * time.Minute

// add records a latency, unless it is longer than maxLatency.
func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1)) // fails only above maxLatency
}

// quantileMS returns a quantile of the latencies, in milliseconds. The quantile is given as a percentage, from 0 to
// 100.
func (l *latencies) quantileMS(quantile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
}
