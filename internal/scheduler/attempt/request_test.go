package attempt

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"forkhead"
)

// sameDomain is a topology with two hosts in each cell: 2 and 3, 4 and 5, and so on.
func sameDomain(level forkhead.Domain, x, y HostID) bool {
	switch level {
	case forkhead.MachineDomain:
		return x == y
	case forkhead.CellDomain:
		return x/2 == y/2
	}
	return true
}

// The first attempt offers the task to host 2 after one second. Once the first attempt has received the inputs of the
// case, the test checks whether the task may be offered to another host, and whether the request may be rejected.
func TestRequestMayOffer(t *testing.T) {
	const s = time.Second
	var (
		safe         = Rules{MaxAttempts: 4, Effect: forkhead.Safe}
		parallel     = Rules{MaxAttempts: 4, Effect: forkhead.Safe, Parallel: true}
		once         = Rules{MaxAttempts: 1, Effect: forkhead.Safe}
		unsafe       = Rules{MaxAttempts: 4, Effect: forkhead.Unsafe}
		keyed        = Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s}
		keyedInCells = Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s, DedupDomain: forkhead.CellDomain}
	)
	for name, c := range map[string]struct {
		rules     Rules
		inputs    []Input // inputs of the first attempt
		to        HostID
		at        time.Duration
		mayReject bool
		want      error
	}{
		"in flight":                  {safe, []Input{OfferWritten}, 3, 2 * s, false, ErrAttemptInFlight},
		"in flight, parallel":        {parallel, []Input{OfferWritten}, 3, 2 * s, false, nil},
		"rejected":                   {unsafe, []Input{OfferWritten, Rejected}, 3, 2 * s, true, nil},
		"never written":              {unsafe, []Input{ConnectionLost}, 3, 2 * s, true, nil},
		"attempts exhausted":         {once, []Input{OfferWritten, Rejected}, 3, 2 * s, true, ErrAttemptsExhausted},
		"past the deadline":          {safe, []Input{OfferWritten, Rejected}, 3, 11 * s, true, ErrDeadlinePassed},
		"safe, unknown":              {safe, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, true, nil},
		"unsafe, unknown":            {unsafe, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, false, ErrMayHaveRun},
		"unsafe, withdrawn":          {unsafe, []Input{OfferWritten, Abandoned}, 3, 2 * s, false, ErrMayHaveRun},
		"unsafe, never received":     {unsafe, []Input{OfferWritten, ConnectionLost, NotListedByHost}, 3, 2 * s, true, nil},
		"unsafe, host restarted":     {unsafe, []Input{OfferWritten, HostRestarted}, 3, 2 * s, false, ErrMayHaveRun},
		"keyed anywhere":             {keyed, []Input{OfferWritten, ConnectionLost}, 5, 5 * s, true, nil},
		"keyed, after the window":    {keyed, []Input{OfferWritten, ConnectionLost}, 5, 6 * s, true, ErrDedupWindowPassed},
		"keyed in cells, its cell":   {keyedInCells, []Input{OfferWritten, ConnectionLost}, 3, 2 * s, false, nil},
		"keyed in cells, other cell": {keyedInCells, []Input{OfferWritten, ConnectionLost}, 5, 2 * s, false, ErrOutsideDedupDomain},
	} {
		r := Request{Rules: c.rules, Deadline: 10 * s}
		first := r.AddOffer(s, 2)
		for _, in := range c.inputs {
			r.Handle(first, in)
		}
		if err := r.MayOffer(c.at, c.to, sameDomain); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
			t.Errorf("%s: MayOffer(%v, %d) = %v, want %v", name, c.at, c.to, err, c.want)
		}
		if err := r.MayAnswer(true); (err == nil) != c.mayReject {
			t.Errorf("%s: MayAnswer(true) = %v, want a nil error: %v", name, err, c.mayReject)
		}
	}
}

// An offer that waited for its connection is written only while it is still allowed.
func TestRequestMayWrite(t *testing.T) {
	const s = time.Second
	r := Request{Rules: Rules{MaxAttempts: 4, Effect: forkhead.Keyed, DedupWindow: 5 * s}, Deadline: 10 * s}
	first := r.AddOffer(s, 1)
	r.Handle(first, OfferWritten)
	r.Handle(first, ConnectionLost)
	second := r.AddOffer(5*s, 2)
	for at, want := range map[time.Duration]error{5 * s: nil, 6 * s: ErrDedupWindowPassed, 11 * s: ErrDeadlinePassed} {
		if err := r.MayWrite(at, second); !errors.Is(err, want) {
			t.Errorf("MayWrite(%v, %d) = %v, want %v", at, second, err, want)
		}
	}
	r.Handle(second, Abandoned)
	r.Finish(true)
	if err := r.MayWrite(5*s, second); !errors.Is(err, ErrAnswered) {
		t.Errorf("MayWrite(%v, %d) of an answered request = %v, want %v", 5*s, second, err, ErrAnswered)
	}
}

// Offers, answers and inputs come in any order; offers and answers that the request forbids are left out. The request
// has at most one answer and at most one attempt in flight, and does not repeat an unsafe task that may have run. Once
// IsDone has returned true, it still returns true after any further input.
func TestRequestKeepsInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := forkhead.Effect(rapid.IntRange(0, 2).Draw(t, "effect"))
		r := Request{Deadline: time.Hour, Rules: Rules{MaxAttempts: 4, Effect: effect, DedupWindow: time.Minute}}
		answers := 0
		for now := range time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) {
			before := r.Answer
			takeRandomStep(t, &r, now)
			if r.Answer != before {
				if answers++; answers > 1 {
					t.Fatalf("the request got %d answers, want at most 1", answers)
				}
			}
			if n := countInFlight(&r); n > 1 {
				t.Fatalf("the request has %d attempts in flight, want at most 1", n)
			}
		}
	})
}

// takeRandomStep draws an offer, an answer or an input and applies it to the request, if the request allows it.
func takeRandomStep(t *rapid.T, r *Request, now time.Duration) {
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		if r.MayOffer(now, 1, sameDomain) != nil {
			return
		}
		if r.Rules.Effect == forkhead.Unsafe && r.MayHaveRun() {
			t.Fatalf("MayOffer(%v, 1) = nil for an unsafe task that may have run, want an error", now)
		}
		r.AddOffer(now, 1)
	case 1:
		if reject := rapid.Bool().Draw(t, "reject"); r.MayAnswer(reject) == nil {
			r.Finish(reject)
		}
	default:
		if len(r.Attempts) == 0 {
			return
		}
		number := rapid.IntRange(0, len(r.Attempts)-1).Draw(t, "attempt")
		wasDone := r.IsDone()
		r.Handle(number, Input(rapid.IntRange(0, int(inputCount)-1).Draw(t, "input")))
		if wasDone && !r.IsDone() {
			t.Fatal("IsDone() = false after an input to a request that was done, want true")
		}
	}
}

func countInFlight(r *Request) int {
	n := 0
	for i := range r.Attempts {
		if r.Attempts[i].Phase.IsInFlight() {
			n++
		}
	}
	return n
}
