package invariant

import (
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// now is the time at which the tests check offers.
const now = time.Minute

// offer returns an offer that keeps every rule: the first offer of an unsafe task, to a host that meets its
// constraints.
func offer() *Offer {
	hosts := []*Host{
		{ID: 1, State: forkhead.Ready, Cell: 1, Zone: 1, Labels: 0b11},
		{ID: 2, State: forkhead.Ready, Cell: 1, Zone: 1},
		{ID: 3, State: forkhead.Ready, Cell: 2, Zone: 1},
	}
	return &Offer{
		SpreadCheck: SpreadCheck{
			Task:         &forkhead.Task{RequiredLabels: 0b01},
			Class:        &forkhead.Class{MachineType: -1, SpreadDomain: forkhead.AnyDomain},
			To:           hosts[0],
			ServiceHosts: slices.Values(hosts[1:]),
		},
		Request:    &attempt.Request{Deadline: 2 * now, Rules: attempt.Rules{Effect: forkhead.Unsafe, MaxAttempts: 2}},
		DrainGrace: time.Second,
		HostByID: func(id attempt.HostID) *Host {
			if i := slices.IndexFunc(hosts, func(h *Host) bool { return h.ID == id }); i >= 0 {
				return hosts[i]
			}
			return nil
		},
	}
}

// lose adds an attempt at a host whose connection was lost after the offer was written, so that it may have run.
func lose(r *attempt.Request, host attempt.HostID) {
	number := r.AddOffer(now-time.Second, host)
	r.Handle(number, attempt.OfferWritten)
	r.Handle(number, attempt.ConnectionLost)
}

func TestCheckOfferReturnsViolatedRule(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Offer)
		want   Rule // RuleCount for no violation
	}{
		"legal":               {func(*Offer) {}, RuleCount},
		"answered":            {func(o *Offer) { o.Request.Answer = attempt.AnsweredFailed }, OneAnswer},
		"past the deadline":   {func(o *Offer) { o.Request.Deadline = now - 1 }, OneAnswer},
		"attempts exhausted":  {func(o *Offer) { o.Request.Rules.MaxAttempts = 0 }, OneAnswer},
		"in flight":           {func(o *Offer) { o.Request.AddOffer(0, 2) }, NoRepeat},
		"unsafe repeat":       {func(o *Offer) { lose(o.Request, 2) }, NoRepeat},
		"keyed in its cell":   {func(o *Offer) { keyByCell(o); lose(o.Request, 2) }, RuleCount},
		"keyed outside":       {func(o *Offer) { keyByCell(o); lose(o.Request, 3) }, NoRepeat},
		"keyed, unknown host": {func(o *Offer) { keyByCell(o); lose(o.Request, 9) }, NoRepeat},
		"drains, in grace":    {func(o *Offer) { drain(o, now-time.Second) }, RuleCount},
		"drains, past grace":  {func(o *Offer) { drain(o, now-time.Second-1) }, Drain},
		"other machine type":  {func(o *Offer) { o.Class.MachineType = 1 }, Fit},
		"label missing":       {func(o *Offer) { o.Task.RequiredLabels = 0b101 }, Fit},
		"spread":              {func(o *Offer) { o.Task.SpreadLimits[forkhead.CellDomain] = 1 }, Spread},
	} {
		o := offer()
		c.change(o)
		checkViolation(t, "CheckOffer: "+name, CheckOffer(now, o), c.want)
	}
}

func keyByCell(o *Offer) {
	o.Request.Rules = attempt.Rules{Effect: forkhead.Keyed, MaxAttempts: 2, DedupDomain: forkhead.CellDomain, DedupWindow: time.Hour}
}

func drain(o *Offer, since time.Duration) { o.To.State, o.To.DrainingSince = forkhead.Draining, since }

// One other task of the service is in the cell of the offer's host, and two are in its zone.
func TestCheckSpreadFindsExceededLimits(t *testing.T) {
	for name, c := range map[string]struct {
		task  forkhead.SpreadLimits
		level forkhead.Domain // domain of the class's limit
		limit int             // limit of the class
		want  Rule            // RuleCount for no violation
	}{
		"no limits":                    {forkhead.SpreadLimits{}, forkhead.AnyDomain, 0, RuleCount},
		"machine, at most one":         {forkhead.SpreadLimits{forkhead.MachineDomain: 1}, forkhead.AnyDomain, 0, RuleCount},
		"cell, at most two":            {forkhead.SpreadLimits{forkhead.CellDomain: 2}, forkhead.AnyDomain, 0, RuleCount},
		"cell, at most one":            {forkhead.SpreadLimits{forkhead.CellDomain: 1}, forkhead.AnyDomain, 0, Spread},
		"zone, at most three":          {forkhead.SpreadLimits{forkhead.ZoneDomain: 3}, forkhead.AnyDomain, 0, RuleCount},
		"zone, at most two":            {forkhead.SpreadLimits{forkhead.ZoneDomain: 2}, forkhead.AnyDomain, 0, Spread},
		"by the class":                 {forkhead.SpreadLimits{}, forkhead.ZoneDomain, 2, Spread},
		"the class is stricter":        {forkhead.SpreadLimits{forkhead.ZoneDomain: 3}, forkhead.ZoneDomain, 2, Spread},
		"the task is stricter":         {forkhead.SpreadLimits{forkhead.ZoneDomain: 2}, forkhead.ZoneDomain, 3, Spread},
		"both, on levels of their own": {forkhead.SpreadLimits{forkhead.CellDomain: 1}, forkhead.ZoneDomain, 3, Spread},
	} {
		o := offer()
		o.Task.SpreadLimits, o.Class.SpreadDomain, o.Class.MaxPerDomain = c.task, c.level, c.limit
		checkViolation(t, "CheckSpread: "+name, CheckSpread(&o.SpreadCheck), c.want)
	}
}
