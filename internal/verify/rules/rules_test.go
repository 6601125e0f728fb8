package rules

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func facts() Config {
	return Config{
		Classes: map[string]Class{
			"safe": {}, "unsafe": {Effect: forkhead.Unsafe}, "spread": {SpreadDomain: forkhead.CellDomain, MaxPerDomain: 1},
			"keyed":  {Effect: forkhead.Keyed, DedupWindow: 5 * time.Second},
			"racked": {Effect: forkhead.Keyed, DedupDomain: forkhead.CellDomain, DedupWindow: 5 * time.Second},
		},
		DrainGrace: 250 * time.Millisecond, LostAfter: 2 * time.Second, OwnerBackoff: 3 * time.Second, SlowStartDuration: 5 * time.Second, SlowStartInitialRate: 0.2,
		SlowStartWindow: time.Second, SlowStartMaxOffers: 3, WarmStartRate: 1, SlowStartOverload: 2, MaxTransit: 100 * time.Millisecond, MaxOutcomeDelay: time.Second,
	}
}

const ms = time.Millisecond

func up(at time.Duration, host, rack string, cold bool) capture.Event {
	return capture.Event{At: at, Type: capture.HostUp, Host: host, Epoch: 1, Rack: rack, WarmingUp: cold}
}

func frame(at time.Duration, what capture.EventType, host, class string, key uint64, task uint32, attempt uint8) capture.Event {
	return capture.Event{
		At: at, Type: what, Host: host, Epoch: 1, Class: class, Key: key, Service: 9, Name: "p/s/1", RefEpoch: 1, PlacerEpoch: 1,
		Task: task, Attempt: attempt, Conn: 1,
	}
}

func fleet() []capture.Event {
	return []capture.Event{up(1, "a", "r1", false), up(1, "b", "r1", false), up(1, "c", "r2", false)}
}

// A task that ended while no life of its placer was there to be told of it is not named when the next
// one greets: it counts no more. Found on the bad day, where three such made a breach of what was none.
func TestEndedUntold(t *testing.T) {
	later := func(at time.Duration, what capture.EventType, host string, key uint64, task uint32) capture.Event {
		e := frame(at, what, host, "spread", key, task, 0)
		e.PlacerEpoch = 2
		return e
	}
	events := append(fleet(),
		frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Running, "a", "", 1, 1, 0),
		capture.Event{At: 50 * ms, Type: capture.PlacerDown}, later(4*time.Second, capture.Hello, "a", 0, 0))
	offer := later(5*time.Second, capture.Offer, "b", 2, 2)
	offer.RefEpoch = 2
	if v := Check(append(events, offer), facts()); !v.OK() {
		t.Errorf("ended untold: %v", v.Breaches)
	}
	events = append(events, later(4001*ms, capture.Holds, "a", 1, 1))
	if v := Check(append(events, offer), facts()); v.Counts[invariant.Spread] != 1 {
		t.Errorf("named to the life that offers: %v", v.Breaches)
	}
}

// near makes an event at a placer's own end.
func near(at time.Duration, what capture.EventType, host, class string, key uint64, task uint32, attempt uint8) capture.Event {
	e := frame(at, what, host, class, key, task, attempt)
	e.AtPlacer = true
	return e
}

// What a placer knew when it sent something is judged with no slack: each breach here is of the
// least size, and hides behind the slacks of the other ends.
func TestNearBreaches(t *testing.T) {
	listed := capture.Event{At: 2 * ms, Type: capture.ListDelivered, AtPlacer: true, PlacerEpoch: 1, Ready: []string{"a", "b", "c"}}
	opened := func(at time.Duration, host string) []capture.Event {
		w := near(at, capture.Welcome, host, "", 0, 0, 0)
		return []capture.Event{near(at, capture.Hello, host, "", 0, 0, 0), w}
	}
	const none = invariant.RuleCount
	drained := capture.Event{At: 100 * ms, Type: capture.ListDelivered, AtPlacer: true, PlacerEpoch: 1, Ready: []string{"b", "c"}}
	word := near(100*ms, capture.Drain, "a", "", 0, 0, 0)
	word.HostDraining = true
	held := near(20*ms, capture.Holds, "a", "spread", 7, 70, 0)
	held.RefEpoch, held.Result = 9, "running"
	ended := near(40*ms, capture.Ended, "a", "", 1, 1, 0)
	ended.Result = "done"
	for name, c := range map[string]struct {
		events []capture.Event
		rule   invariant.Rule
	}{
		"two in a rack, one batch":       {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(10*ms, capture.Offer, "b", "spread", 2, 2, 0)}, invariant.Spread},
		"called off in the same batch":   {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(30*ms, capture.Withdraw, "a", "", 1, 1, 0), near(30*ms, capture.Offer, "b", "spread", 2, 2, 0)}, none},
		"its end is read a moment later": {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(20*ms, capture.Running, "a", "", 1, 1, 0), near(39*ms, capture.Offer, "b", "spread", 2, 2, 0), ended}, invariant.Spread},
		"its end is read just before":    {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(20*ms, capture.Running, "a", "", 1, 1, 0), ended, near(40*ms, capture.Offer, "b", "spread", 2, 2, 0)}, none},
		"of an earlier life, named":      {[]capture.Event{held, near(21*ms, capture.Offer, "b", "spread", 2, 2, 0)}, invariant.Spread},
		"safe, silent until it lapses":   {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(20*ms, capture.Running, "a", "", 1, 1, 0), near(100*ms, capture.Disconnected, "a", "", 0, 0, 0), near(2100*ms, capture.Offer, "b", "spread", 2, 2, 0)}, none},
		"a moment before it lapses":      {[]capture.Event{near(10*ms, capture.Offer, "a", "spread", 1, 1, 0), near(20*ms, capture.Running, "a", "", 1, 1, 0), near(100*ms, capture.Disconnected, "a", "", 0, 0, 0), near(2099*ms, capture.Offer, "b", "spread", 2, 2, 0)}, invariant.Spread},
		"two out":                        {[]capture.Event{near(10*ms, capture.Offer, "a", "safe", 1, 1, 0), near(11*ms, capture.Offer, "b", "safe", 1, 1, 1), near(12*ms, capture.Withdraw, "a", "", 1, 1, 0)}, invariant.NoRepeat},
		"keyed at its window":            {[]capture.Event{near(10*ms, capture.Offer, "a", "keyed", 1, 1, 0), near(11*ms, capture.Disconnected, "a", "", 0, 0, 0), near(5010*ms, capture.Offer, "c", "keyed", 1, 1, 1)}, none},
		"keyed a moment behind it":       {[]capture.Event{near(10*ms, capture.Offer, "a", "keyed", 1, 1, 0), near(11*ms, capture.Disconnected, "a", "", 0, 0, 0), near(5011*ms, capture.Offer, "c", "keyed", 1, 1, 1)}, invariant.NoRepeat},
		"unsafe, off an older connection": {[]capture.Event{
			near(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), near(11*ms, capture.Disconnected, "a", "", 0, 0, 0), near(12*ms, capture.Refused, "a", "", 1, 1, 0),
			near(13*ms, capture.Offer, "b", "unsafe", 1, 2, 0),
		}, invariant.NoRepeat},
		"out on a connection that ends in the same step": {[]capture.Event{
			near(10*ms, capture.Disconnected, "a", "", 0, 0, 0), near(10*ms, capture.Offer, "a", "safe", 1, 1, 0),
			near(10*ms, capture.Offer, "b", "safe", 1, 1, 1),
		}, none},
		"at the end of the grace":   {[]capture.Event{drained, near(350*ms, capture.Offer, "a", "safe", 1, 1, 0)}, none},
		"a moment after the grace":  {[]capture.Event{drained, near(351*ms, capture.Offer, "a", "safe", 1, 1, 0)}, invariant.Drain},
		"a moment after, by a word": {[]capture.Event{word, near(351*ms, capture.Offer, "a", "safe", 1, 1, 0)}, invariant.Drain},
		"an offer that is not noted": {[]capture.Event{
			near(10*ms, capture.Offer, "a", "safe", 1, 1, 0), frame(11*ms, capture.Offer, "a", "safe", 1, 1, 0),
			frame(12*ms, capture.Offer, "b", "safe", 2, 2, 0),
		}, invariant.OneAnswer},
	} {
		events := append(append(fleet(), listed), append(append(opened(3*ms, "a"), opened(3*ms, "b")...), opened(3*ms, "c")...)...)
		v := Check(append(events, c.events...), facts())
		for r := invariant.Rule(0); r < invariant.RuleCount; r++ {
			if want := r == c.rule; (v.Counts[r] > 0) != want {
				t.Errorf("%s: %d breaches of %v: %v", name, v.Counts[r], r, v.Breaches)
			}
		}
	}
}

// Each task is accounted for, and only a death before its outcome was due excuses a missing one.
func TestAccounts(t *testing.T) {
	submit := func(name string, placer int) capture.Event {
		return capture.Event{At: 10 * ms, Type: capture.Submit, Submission: name, Placer: placer, Count: 2, Within: time.Second}
	}
	told := func(name string, took time.Duration) capture.Event {
		return capture.Event{At: 20 * ms, Type: capture.Outcome, Submission: name, Name: "web/1", Result: "placed", Took: took}
	}
	kill := func(at time.Duration, placer int) capture.Event {
		return capture.Event{At: at, Type: capture.PlacerDown, Placer: placer}
	}
	cut := capture.Event{At: 30 * ms, Type: capture.ClientDisconnected, Submission: "cut"}
	end := capture.Event{At: time.Minute, Type: capture.PlacerUp, Placer: 9}
	for name, c := range map[string]struct {
		events []capture.Event
		want   Accounts
	}{
		"died before it was due": {[]capture.Event{submit("s", 1), told("s", ms), kill(time.Second, 1), end}, Accounts{Answered: 1, PlacerDied: 1}},
		"died when it was over":  {[]capture.Event{submit("s", 1), told("s", ms), kill(1011*ms, 1), end}, Accounts{Answered: 1, Unanswered: 1}},
		"another placer's death": {[]capture.Event{submit("s", 1), told("s", ms), kill(50*ms, 2), end}, Accounts{Answered: 1, Unanswered: 1}},
		"cut off, not asked for": {[]capture.Event{submit("cut", 1), told("cut", ms), cut, end}, Accounts{Answered: 1, Disconnected: 1}},
		"cut off, and asked for": {[]capture.Event{submit("cut", 1), told("cut", ms), cut, {At: 40 * ms, Type: capture.Submit, Submission: "cut"}, end}, Accounts{Answered: 1, Unanswered: 1}},
		"not due yet":            {[]capture.Event{submit("s", 1), told("s", ms)}, Accounts{Answered: 1, NotDue: 1}},
	} {
		v := Check(c.events, facts())
		if v.Accounts != c.want || v.Accounts.Sum() != v.Tasks || (v.Counts[invariant.OneAnswer] > 0) != (c.want.Unanswered > 0) {
			t.Errorf("%s: %+v, want %+v; %v", name, v.Accounts, c.want, v.Breaches)
		}
	}
}

// An outcome that is settled late is a breach by the least that a client can see, unless the step
// that settled it ran late; what is settled in time has Late to be read.
func TestSettledLate(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	taken := capture.Event{At: 9 * ms, Type: capture.Submit, Submission: "s", AtPlacer: true}
	outcome := func(at, took time.Duration) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	slept := capture.Event{At: 2500 * ms, Type: capture.LateStep, AtPlacer: true, Within: 1600 * ms}
	for name, c := range map[string]struct {
		events []capture.Event
		broken bool
	}{
		"in time":                   {[]capture.Event{submit, taken, outcome(1010*ms, time.Second)}, false},
		"two milliseconds late":     {[]capture.Event{submit, taken, outcome(1012*ms, 1002*ms)}, true},
		"the step ran late":         {[]capture.Event{submit, taken, slept, outcome(2600*ms, 2491*ms)}, false},
		"and its client reads late": {[]capture.Event{submit, taken, slept, outcome(3501*ms, 2491*ms)}, true},
		"read late while it stood":  {[]capture.Event{submit, taken, slept, outcome(3500*ms, 900*ms)}, false},
		"and a moment more":         {[]capture.Event{submit, taken, slept, outcome(3501*ms, 900*ms)}, true},
		"in time, and read late":    {[]capture.Event{submit, taken, outcome(2011*ms, 900*ms)}, true},
	} {
		if v := Check(c.events, facts()); v.OK() == c.broken {
			t.Errorf("%s: %v", name, v.Breaches)
		}
	}
}

// Each record breaks one rule, or none; the checker says which.
func TestPlantedBreaches(t *testing.T) {
	submit := capture.Event{At: 10 * ms, Type: capture.Submit, Submission: "s", Count: 1, Within: time.Second}
	outcome := func(at time.Duration, word string) capture.Event {
		return capture.Event{At: at, Type: capture.Outcome, Submission: "s", Name: "web/1", Result: word}
	}
	later := capture.Event{At: time.Minute, Type: capture.PlacerUp, Placer: 7}
	told := func(at time.Duration, ready ...string) capture.Event {
		return capture.Event{At: at, Type: capture.ListDelivered, Ready: ready}
	}
	const none = invariant.RuleCount
	for name, c := range map[string]struct {
		events []capture.Event
		rule   invariant.Rule
	}{
		"one outcome":                           {[]capture.Event{submit, outcome(50*ms, "placed"), later}, none},
		"no outcome":                            {[]capture.Event{submit, later}, invariant.OneAnswer},
		"two outcomes":                          {[]capture.Event{submit, outcome(50*ms, "refused"), outcome(60*ms, "placed"), later}, invariant.OneAnswer},
		"late outcome":                          {[]capture.Event{submit, outcome(5*time.Second, "placed"), later}, invariant.OneAnswer},
		"made-up word":                          {[]capture.Event{submit, outcome(50*ms, "perhaps"), later}, invariant.OneAnswer},
		"nobody's outcome":                      {[]capture.Event{outcome(50*ms, "placed"), later}, invariant.OneAnswer},
		"read again after a cut":                {[]capture.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, Type: capture.ClientDisconnected, Submission: "s"}, outcome(90*ms, "placed")}, none},
		"changed after a cut":                   {[]capture.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, Type: capture.ClientDisconnected, Submission: "s"}, outcome(90*ms, "failed")}, invariant.OneAnswer},
		"lost with its placer":                  {[]capture.Event{submit, {At: 60 * ms, Type: capture.PlacerDown}, later}, none},
		"refused, then elsewhere":               {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, capture.Refused, "a", "", 1, 1, 0), frame(30*ms, capture.Offer, "b", "unsafe", 1, 1, 1)}, none},
		"two out":                               {[]capture.Event{frame(10*ms, capture.Offer, "a", "safe", 1, 1, 0), frame(30*ms, capture.Offer, "b", "safe", 1, 1, 1)}, invariant.NoRepeat},
		"safe after a break":                    {[]capture.Event{frame(10*ms, capture.Offer, "a", "safe", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(30*ms, capture.Offer, "b", "safe", 1, 1, 1)}, none},
		"unsafe after a break":                  {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(30*ms, capture.Offer, "b", "unsafe", 1, 1, 1)}, invariant.NoRepeat},
		"unsafe in another ask":                 {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, capture.Running, "a", "", 1, 1, 0), frame(3*time.Second, capture.Offer, "b", "unsafe", 1, 2, 0)}, invariant.NoRepeat},
		"unsafe, its host died":                 {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, Type: capture.HostDown, Host: "a", Epoch: 1}, frame(3*time.Second, capture.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died":               {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, Type: capture.PlacerDown}, frame(4*time.Second, capture.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, read when its placer was dead": {[]capture.Event{frame(30*ms, capture.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, Type: capture.PlacerDown, PlacerEpoch: 1}, frame(4*time.Second, capture.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died just now":      {[]capture.Event{frame(10*ms, capture.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, Type: capture.PlacerDown}, frame(time.Second, capture.Offer, "b", "unsafe", 1, 2, 0)}, invariant.NoRepeat},
		"keyed in its window":                   {[]capture.Event{frame(10*ms, capture.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(time.Second, capture.Offer, "c", "keyed", 1, 1, 1)}, none},
		"keyed after its window":                {[]capture.Event{frame(10*ms, capture.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(6*time.Second, capture.Offer, "c", "keyed", 1, 1, 1)}, invariant.NoRepeat},
		"keyed in its group":                    {[]capture.Event{frame(10*ms, capture.Offer, "a", "racked", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(time.Second, capture.Offer, "b", "racked", 1, 1, 1)}, none},
		"keyed outside its group":               {[]capture.Event{frame(10*ms, capture.Offer, "a", "racked", 1, 1, 0), frame(20*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(time.Second, capture.Offer, "c", "racked", 1, 1, 1)}, invariant.NoRepeat},
		"within the grace":                      {[]capture.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(200*ms, capture.Offer, "a", "safe", 1, 1, 0)}, none},
		"after the grace, gone":                 {[]capture.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(500*ms, capture.Offer, "a", "safe", 1, 1, 0)}, invariant.Drain},
		"after the grace, listed":               {[]capture.Event{{At: 10 * ms, Type: capture.ListDelivered, Draining: []string{"a"}}, frame(500*ms, capture.Offer, "a", "safe", 1, 1, 0)}, invariant.Drain},
		"after the grace, by its word":          {[]capture.Event{{At: 10 * ms, Type: capture.Drain, Host: "a", HostDraining: true}, frame(500*ms, capture.Offer, "a", "safe", 1, 1, 0)}, invariant.Drain},
		"ready again":                           {[]capture.Event{told(5*ms, "a"), told(10 * ms), told(400*ms, "a"), frame(500*ms, capture.Offer, "a", "safe", 1, 1, 0)}, none},
		"cold, within its budget":               {[]capture.Event{up(5*ms, "a", "r1", true), frame(10*ms, capture.Offer, "a", "safe", 1, 1, 0), frame(20*ms, capture.Offer, "a", "safe", 2, 2, 0), frame(30*ms, capture.Offer, "a", "safe", 3, 3, 0)}, none},
		"cold, over its budget": {[]capture.Event{
			up(5*ms, "a", "r1", true), frame(10*ms, capture.Offer, "a", "safe", 1, 1, 0), frame(20*ms, capture.Offer, "a", "safe", 2, 2, 0),
			frame(30*ms, capture.Offer, "a", "safe", 3, 3, 0), frame(40*ms, capture.Offer, "a", "safe", 4, 4, 0),
		}, invariant.SlowStart},
		"two in one rack, the reply broke off": {[]capture.Event{
			frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Accepted, "a", "", 1, 1, 0),
			frame(30*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(500*ms, capture.Offer, "b", "spread", 1, 1, 1),
		}, none},
		"two in one rack, bound and cut off": {[]capture.Event{
			frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Running, "a", "", 1, 1, 0),
			frame(300*ms, capture.Disconnected, "a", "", 0, 0, 0), frame(900*ms, capture.Offer, "b", "spread", 2, 2, 0),
		}, invariant.Spread},
		"fell":                     {[]capture.Event{{At: 10 * ms, Type: capture.Overloaded, Host: "a"}}, invariant.SlowStart},
		"two racks":                {[]capture.Event{frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Accepted, "a", "", 1, 1, 0), frame(500*ms, capture.Offer, "c", "spread", 2, 2, 0)}, none},
		"two in one rack":          {[]capture.Event{frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Accepted, "a", "", 1, 1, 0), frame(500*ms, capture.Offer, "b", "spread", 2, 2, 0)}, invariant.Spread},
		"two in one rack, in turn": {[]capture.Event{frame(10*ms, capture.Offer, "a", "spread", 1, 1, 0), frame(20*ms, capture.Accepted, "a", "", 1, 1, 0), frame(400*ms, capture.Ended, "a", "", 1, 1, 0), frame(500*ms, capture.Offer, "b", "spread", 2, 2, 0)}, none},
	} {
		v := Check(append(fleet(), c.events...), facts())
		for r := invariant.Rule(0); r < invariant.RuleCount; r++ {
			if want := r == c.rule; (v.Counts[r] > 0) != want {
				t.Errorf("%s: %d breaches of %v: %v", name, v.Counts[r], r, v.Breaches)
			}
		}
	}
}
