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
			to, what := Next(p, in)
			if p.Settled() && to != p {
				t.Errorf("%v is settled, and %v leads to %v", p, in, to)
			}
			if p.MayRun() && !p.Settled() && to == Never && in != Declined && in != Missing {
				t.Errorf("%v may run; %v does not prove that it never did", p, in)
			}
			if to.Settled() && !p.Settled() && what == None {
				t.Errorf("%v on %v settles it without a word", p, in)
			}
			if p == Waiting && to.MayRun() && in != Written {
				t.Errorf("what was never written may run after %v", in)
			}
			if what == Bind && (p != Out || to != Placed) {
				t.Errorf("%v on %v binds", p, in)
			}
			if p.Live() && !to.Live() && what == None {
				t.Errorf("%v on %v stops counting without a word", p, in)
			}
		}
	}
}

func same(p forkhead.Domain, x, y Host) bool {
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
		to      Host
		at      time.Duration
		promise bool // a refusal may follow
		want    error
	}{
		"out":                      {Rules{Most: 4}, []Input{Written}, 3, 2 * s, false, ErrTwoOut},
		"out, parallel":            {Rules{Most: 4, Parallel: true}, []Input{Written}, 3, 2 * s, false, nil},
		"refused":                  {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Written, Declined}, 3, 2 * s, true, nil},
		"never written":            {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Broke}, 3, 2 * s, true, nil},
		"all used":                 {Rules{Most: 1}, []Input{Written, Declined}, 3, 2 * s, true, ErrMany},
		"late":                     {Rules{Most: 4}, []Input{Written, Declined}, 3, 11 * s, true, ErrLate},
		"safe, unknown":            {Rules{Most: 4}, []Input{Written, Broke}, 3, 2 * s, true, nil},
		"unsafe, unknown":          {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Written, Broke}, 3, 2 * s, false, ErrMayRun},
		"unsafe, called off":       {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Written, CalledOff}, 3, 2 * s, false, ErrMayRun},
		"unsafe, settled as never": {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Written, Broke, Missing}, 3, 2 * s, true, nil},
		"unsafe, died":             {Rules{Most: 4, Effect: forkhead.Unsafe}, []Input{Written, Died}, 3, 2 * s, false, ErrMayRun},
		"keyed, anywhere":          {Rules{Most: 4, Effect: forkhead.Keyed, Window: 5 * s}, []Input{Written, Broke}, 5, 5 * s, true, nil},
		"keyed, too late":          {Rules{Most: 4, Effect: forkhead.Keyed, Window: 5 * s}, []Input{Written, Broke}, 5, 6 * s, true, ErrWindow},
		"keyed, in its rack":       {Rules{Most: 4, Effect: forkhead.Keyed, Group: forkhead.CellDomain, Window: 5 * s}, []Input{Written, Broke}, 3, 2 * s, false, nil},
		"keyed, outside":           {Rules{Most: 4, Effect: forkhead.Keyed, Group: forkhead.CellDomain, Window: 5 * s}, []Input{Written, Broke}, 5, 2 * s, false, ErrGroup},
	} {
		a := Ask{Rules: c.rules, Deadline: 10 * s}
		n := a.Offer(s, 2)
		for _, in := range c.inputs {
			a.On(n, in)
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
	a := Ask{Rules: Rules{Most: 4, Effect: forkhead.Keyed, Window: 5 * s}, Deadline: 10 * s}
	first := a.Offer(s, 1)
	a.On(first, Written)
	a.On(first, Broke)
	second := a.Offer(5*s, 2)
	for at, want := range map[time.Duration]error{5 * s: nil, 6 * s: ErrWindow, 11 * s: ErrLate} {
		if err := a.MayWrite(at, second); err != want {
			t.Errorf("at %v: %v, want %v", at, err, want)
		}
	}
	a.On(second, CalledOff)
	a.End(true)
	if err := a.MayWrite(5*s, second); err != ErrAnswered {
		t.Errorf("answered: %v", err)
	}
}

// Whatever happens in whatever order, as long as what is illegal is not done: one answer, one
// attempt out, no repeat of what may have run, and an ask that is done stays done.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Ask{Deadline: time.Hour, Rules: Rules{Most: 4, Effect: forkhead.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Window: time.Minute}}
		answers := 0
		for now := range time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) {
			before := a.Answer
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				if a.MayOffer(now, 1, same) == nil {
					if a.Rules.Effect == forkhead.Unsafe && a.MayRun() {
						t.Fatal("an unsafe repeat")
					}
					a.Offer(now, 1)
				}
			case 1:
				if refuse := rapid.Bool().Draw(t, "refuse"); a.MayAnswer(refuse) == nil {
					a.End(refuse)
				}
			default:
				if len(a.Attempts) > 0 {
					i := rapid.IntRange(0, len(a.Attempts)-1).Draw(t, "attempt")
					wasDone := a.Done()
					a.On(i, Input(rapid.IntRange(0, int(inputs)-1).Draw(t, "input")))
					if wasDone && !a.Done() {
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
				if at.Phase.Out() {
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
