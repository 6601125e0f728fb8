package attempt

import (
	"errors"
	"forkhead/internal/verify/doccheck"
	"testing"
	"time"

	"pgregory.net/rapid"

	"forkhead"
)

// The table has an entry for each phase and input, and these hold of all of them.
func TestTable(t *testing.T) {
	for p := range phases {
		for in := range inputs {
			to, what := Transition(p, in)
			if p.IsSettled() && to != p {
				t.Errorf("%v is settled, and %v leads to %v", p, in, to)
			}
			if p.MayHaveRun() && !p.IsSettled() && to == NeverRan && in != Rejected && in != NotListedByHost {
				t.Errorf("%v may run; %v does not prove that it never did", p, in)
			}
			if to.IsSettled() && !p.IsSettled() && what == NoEffect {
				t.Errorf("%v on %v settles it without a word", p, in)
			}
			if p == Waiting && to.MayHaveRun() && in != OfferWritten {
				t.Errorf("what was never written may run after %v", in)
			}
			if what == ReportBound && (p != InFlight || to != Placed) {
				t.Errorf("%v on %v binds", p, in)
			}
			if p.IsLive() && !to.IsLive() && what == NoEffect {
				t.Errorf("%v on %v stops counting without a word", p, in)
			}
		}
	}
}

func same(p forkhead.Domain, x, y HostID) bool {
	switch p {
	case forkhead.MachineDomain:
		return x == y
	case forkhead.CellDomain:
		return x/2 == y/2
	}
	return true
}

func TestMayOffer(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		rules   Rules
		inputs  []Input // of a first attempt, made at 1s to host 2
		to      HostID
		at      time.Duration
		promise bool // a refusal may follow
		want    error
	}{
		"out":                      {Rules{MaxAttempts: 4}, []Input{OfferWritten}, 3, 2 * s, false, ErrAttemptInFlight},
		"out, parallel":            {Rules{MaxAttempts: 4, Parallel: true}, []Input{OfferWritten}, 3, 2 * s, false, nil},
		"refused":                  {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{OfferWritten, Rejected}, 3, 2 * s, true, nil},
		"never written":            {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{ConnectionLost}, 3, 2 * s, true, nil},
		"all used":                 {Rules{MaxAttempts: 1}, []Input{OfferWritten, Rejected}, 3, 2 * s, true, ErrAttemptsExhausted},
		"late":                     {Rules{MaxAttempts: 4}, []Input{OfferWritten, Rejected}, 3, 11 * s, true, ErrDeadlinePassed},
		"safe, unknown":            {Rules{MaxAttempts: 4}, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, true, nil},
		"unsafe, unknown":          {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, false, ErrMayHaveRun},
		"unsafe, called off":       {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{OfferWritten, Abandoned}, 3, 2 * s, false, ErrMayHaveRun},
		"unsafe, settled as never": {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{OfferWritten, ConnectionLost, NotListedByHost}, 3, 2 * s, true, nil},
		"unsafe, died":             {Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}, []Input{OfferWritten, HostRestarted}, 3, 2 * s, false, ErrMayHaveRun},
		"keyed, anywhere":          {Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s}, []Input{OfferWritten, ConnectionLost}, 5, 5 * s, true, nil},
		"keyed, too late":          {Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s}, []Input{OfferWritten, ConnectionLost}, 5, 6 * s, true, ErrDedupWindowPassed},
		"keyed, in its rack":       {Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: 5 * s}, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, false, nil},
		"keyed, outside":           {Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: 5 * s}, []Input{OfferWritten, ConnectionLost}, 5, 2 * s, false, ErrOutsideDedupDomain},
	} {
		a := Request{Rules: c.rules, Deadline: 10 * s}
		n := a.AddOffer(s, 2)
		for _, in := range c.inputs {
			a.Handle(n, in)
		}
		if err := a.MayOffer(c.at, c.to, same); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if err := a.MayAnswer(true); (err == nil) != c.promise {
			t.Errorf("%s: a refusal: %v", name, err)
		}
	}
}

// An offer that waited for its connection is written only while it is still legal.
func TestMayWrite(t *testing.T) {
	const s = time.Second
	a := Request{Rules: Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s}, Deadline: 10 * s}
	first := a.AddOffer(s, 1)
	a.Handle(first, OfferWritten)
	a.Handle(first, ConnectionLost)
	second := a.AddOffer(5*s, 2)
	for at, want := range map[time.Duration]error{5 * s: nil, 6 * s: ErrDedupWindowPassed, 11 * s: ErrDeadlinePassed} {
		if err := a.MayWrite(at, second); err != want {
			t.Errorf("at %v: %v, want %v", at, err, want)
		}
	}
	a.Handle(second, Abandoned)
	a.Finish(true)
	if err := a.MayWrite(5*s, second); err != ErrAnswered {
		t.Errorf("answered: %v", err)
	}
}

// Whatever happens in whatever order, as long as what is illegal is not done: one answer, one
// attempt out, no repeat of what may have run, and an ask that is done stays done.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Request{Deadline: time.Hour, Rules: Rules{MaxAttempts: 4, Effect: forkhead.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), DedupWindow: time.Minute}}
		answers := 0
		for now := range time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) {
			before := a.Answer
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				if a.MayOffer(now, 1, same) == nil {
					if a.Rules.Effect == forkhead.Unsafe && a.MayHaveRun() {
						t.Fatal("an unsafe repeat")
					}
					a.AddOffer(now, 1)
				}
			case 1:
				if refuse := rapid.Bool().Draw(t, "refuse"); a.MayAnswer(refuse) == nil {
					a.Finish(refuse)
				}
			default:
				if len(a.Attempts) > 0 {
					i := rapid.IntRange(0, len(a.Attempts)-1).Draw(t, "attempt")
					wasDone := a.IsDone()
					a.Handle(i, Input(rapid.IntRange(0, int(inputs)-1).Draw(t, "input")))
					if wasDone && !a.IsDone() {
						t.Fatal("an ask that was done is not any more")
					}
				}
			}
			if a.Answer != before {
				if answers++; answers > 1 {
					t.Fatal("two answers")
				}
			}
			out := 0
			for _, at := range a.Attempts {
				if at.Phase.IsInFlight() {
					out++
				}
			}
			if out > 1 {
				t.Fatal("two attempts out")
			}
		}
	})
}

// The page holds the table as the code has it.
func TestTableOnPage(t *testing.T) { doccheck.Holds(t, "docs/design/attempts.md", Table()) }
