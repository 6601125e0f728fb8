package rules

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/placing/guard"
	"forkhead/internal/protocol/record"
)

func facts() Facts {
	return Facts{
		Classes: map[string]Class{
			"safe": {}, "unsafe": {Effect: forkhead.Unsafe}, "spread": {Spread: forkhead.CellDomain, Most: 1},
			"keyed":  {Effect: forkhead.Keyed, Window: 5 * time.Second},
			"racked": {Effect: forkhead.Keyed, Group: forkhead.CellDomain, Window: 5 * time.Second},
		},
		Grace: 250 * time.Millisecond, LostAfter: 2 * time.Second, OwnerWait: 3 * time.Second, ColdFor: 5 * time.Second, ColdFrom: 0.2,
		ColdWindow: time.Second, ColdOffers: 3, ColdPace: 1, Multiple: 2, Transit: 100 * time.Millisecond, Late: time.Second,
	}
}

const ms = time.Millisecond

func up(at time.Duration, host, rack string, cold bool) record.Event {
	return record.Event{At: at, What: record.HostUp, Host: host, Epoch: 1, Rack: rack, Cold: cold}
}

func frame(at time.Duration, what record.What, host, class string, key uint64, task uint32, attempt uint8) record.Event {
	return record.Event{
		At: at, What: what, Host: host, Epoch: 1, Class: class, Key: key, Service: 9, Name: "p/s/1", RefEpoch: 1, PlacerEpoch: 1,
		Task: task, Attempt: attempt, Conn: 1,
	}
}

func fleet() []record.Event {
	return []record.Event{up(1, "a", "r1", false), up(1, "b", "r1", false), up(1, "c", "r2", false)}
}

// A task that ended while no life of its placer was there to be told of it is not named when the next
// one greets: it counts no more. Found on the bad day, where three such made a breach of what was none.
func TestEndedUntold(t *testing.T) {
	later := func(at time.Duration, what record.What, host string, key uint64, task uint32) record.Event {
		e := frame(at, what, host, "spread", key, task, 0)
		e.PlacerEpoch = 2
		return e
	}
	events := append(fleet(),
		frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Running, "a", "", 1, 1, 0),
		record.Event{At: 50 * ms, What: record.Killed}, later(4*time.Second, record.Hello, "a", 0, 0))
	offer := later(5*time.Second, record.Offer, "b", 2, 2)
	offer.RefEpoch = 2
	if v := Check(append(events, offer), facts()); !v.OK() {
		t.Errorf("ended untold: %v", v.Breaches)
	}
	events = append(events, later(4001*ms, record.Held, "a", 1, 1))
	if v := Check(append(events, offer), facts()); v.Counts[guard.Spread] != 1 {
		t.Errorf("named to the life that offers: %v", v.Breaches)
	}
}

// near makes an event at a placer's own end.
func near(at time.Duration, what record.What, host, class string, key uint64, task uint32, attempt uint8) record.Event {
	e := frame(at, what, host, class, key, task, attempt)
	e.Near = true
	return e
}

// What a placer knew when it sent something is judged with no slack: each breach here is of the
// least size, and hides behind the slacks of the other ends.
func TestNearBreaches(t *testing.T) {
	listed := record.Event{At: 2 * ms, What: record.Told, Near: true, PlacerEpoch: 1, Ready: []string{"a", "b", "c"}}
	opened := func(at time.Duration, host string) []record.Event {
		w := near(at, record.Welcome, host, "", 0, 0, 0)
		return []record.Event{near(at, record.Hello, host, "", 0, 0, 0), w}
	}
	const none = guard.Rules
	drained := record.Event{At: 100 * ms, What: record.Told, Near: true, PlacerEpoch: 1, Ready: []string{"b", "c"}}
	word := near(100*ms, record.Drain, "a", "", 0, 0, 0)
	word.On = true
	held := near(20*ms, record.Held, "a", "spread", 7, 70, 0)
	held.RefEpoch, held.Result = 9, "running"
	ended := near(40*ms, record.Ended, "a", "", 1, 1, 0)
	ended.Result = "done"
	for name, c := range map[string]struct {
		events []record.Event
		rule   guard.Rule
	}{
		"two in a rack, one batch":       {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(10*ms, record.Offer, "b", "spread", 2, 2, 0)}, guard.Spread},
		"called off in the same batch":   {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(30*ms, record.Withdraw, "a", "", 1, 1, 0), near(30*ms, record.Offer, "b", "spread", 2, 2, 0)}, none},
		"its end is read a moment later": {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(20*ms, record.Running, "a", "", 1, 1, 0), near(39*ms, record.Offer, "b", "spread", 2, 2, 0), ended}, guard.Spread},
		"its end is read just before":    {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(20*ms, record.Running, "a", "", 1, 1, 0), ended, near(40*ms, record.Offer, "b", "spread", 2, 2, 0)}, none},
		"of an earlier life, named":      {[]record.Event{held, near(21*ms, record.Offer, "b", "spread", 2, 2, 0)}, guard.Spread},
		"safe, silent until it lapses":   {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(20*ms, record.Running, "a", "", 1, 1, 0), near(100*ms, record.Gone, "a", "", 0, 0, 0), near(2100*ms, record.Offer, "b", "spread", 2, 2, 0)}, none},
		"a moment before it lapses":      {[]record.Event{near(10*ms, record.Offer, "a", "spread", 1, 1, 0), near(20*ms, record.Running, "a", "", 1, 1, 0), near(100*ms, record.Gone, "a", "", 0, 0, 0), near(2099*ms, record.Offer, "b", "spread", 2, 2, 0)}, guard.Spread},
		"two out":                        {[]record.Event{near(10*ms, record.Offer, "a", "safe", 1, 1, 0), near(11*ms, record.Offer, "b", "safe", 1, 1, 1), near(12*ms, record.Withdraw, "a", "", 1, 1, 0)}, guard.NoRepeat},
		"keyed at its window":            {[]record.Event{near(10*ms, record.Offer, "a", "keyed", 1, 1, 0), near(11*ms, record.Gone, "a", "", 0, 0, 0), near(5010*ms, record.Offer, "c", "keyed", 1, 1, 1)}, none},
		"keyed a moment behind it":       {[]record.Event{near(10*ms, record.Offer, "a", "keyed", 1, 1, 0), near(11*ms, record.Gone, "a", "", 0, 0, 0), near(5011*ms, record.Offer, "c", "keyed", 1, 1, 1)}, guard.NoRepeat},
		"unsafe, off an older connection": {[]record.Event{near(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), near(11*ms, record.Gone, "a", "", 0, 0, 0), near(12*ms, record.Refused, "a", "", 1, 1, 0),
			near(13*ms, record.Offer, "b", "unsafe", 1, 2, 0)}, guard.NoRepeat},
		"out on a connection that ends in the same step": {[]record.Event{near(10*ms, record.Gone, "a", "", 0, 0, 0), near(10*ms, record.Offer, "a", "safe", 1, 1, 0),
			near(10*ms, record.Offer, "b", "safe", 1, 1, 1)}, none},
		"at the end of the grace":   {[]record.Event{drained, near(350*ms, record.Offer, "a", "safe", 1, 1, 0)}, none},
		"a moment after the grace":  {[]record.Event{drained, near(351*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"a moment after, by a word": {[]record.Event{word, near(351*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"an offer that is not noted": {[]record.Event{near(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(11*ms, record.Offer, "a", "safe", 1, 1, 0),
			frame(12*ms, record.Offer, "b", "safe", 2, 2, 0)}, guard.OneAnswer},
	} {
		events := append(append(fleet(), listed), append(append(opened(3*ms, "a"), opened(3*ms, "b")...), opened(3*ms, "c")...)...)
		v := Check(append(events, c.events...), facts())
		for r := guard.Rule(0); r < guard.Rules; r++ {
			if want := r == c.rule; (v.Counts[r] > 0) != want {
				t.Errorf("%s: %d breaches of %v: %v", name, v.Counts[r], r, v.Breaches)
			}
		}
	}
}

// Each task is accounted for, and only a death before its outcome was due excuses a missing one.
func TestAccounts(t *testing.T) {
	submit := func(name string, placer int) record.Event {
		return record.Event{At: 10 * ms, What: record.Submit, Submission: name, Placer: placer, Count: 2, Within: time.Second}
	}
	told := func(name string, took time.Duration) record.Event {
		return record.Event{At: 20 * ms, What: record.Outcome, Submission: name, Name: "web/1", Result: "placed", Took: took}
	}
	kill := func(at time.Duration, placer int) record.Event {
		return record.Event{At: at, What: record.Killed, Placer: placer}
	}
	cut := record.Event{At: 30 * ms, What: record.Cut, Submission: "cut"}
	end := record.Event{At: time.Minute, What: record.PlacerUp, Placer: 9}
	for name, c := range map[string]struct {
		events []record.Event
		want   Accounts
	}{
		"died before it was due": {[]record.Event{submit("s", 1), told("s", ms), kill(time.Second, 1), end}, Accounts{Told: 1, Dead: 1}},
		"died when it was over":  {[]record.Event{submit("s", 1), told("s", ms), kill(1011*ms, 1), end}, Accounts{Told: 1, Forgotten: 1}},
		"another placer's death": {[]record.Event{submit("s", 1), told("s", ms), kill(50*ms, 2), end}, Accounts{Told: 1, Forgotten: 1}},
		"cut off, not asked for": {[]record.Event{submit("cut", 1), told("cut", ms), cut, end}, Accounts{Told: 1, Cut: 1}},
		"cut off, and asked for": {[]record.Event{submit("cut", 1), told("cut", ms), cut, {At: 40 * ms, What: record.Submit, Submission: "cut"}, end}, Accounts{Told: 1, Forgotten: 1}},
		"not due yet":            {[]record.Event{submit("s", 1), told("s", ms)}, Accounts{Told: 1, NotDue: 1}},
	} {
		v := Check(c.events, facts())
		if v.Accounts != c.want || v.Accounts.Sum() != v.Tasks || (v.Counts[guard.OneAnswer] > 0) != (c.want.Forgotten > 0) {
			t.Errorf("%s: %+v, want %+v; %v", name, v.Accounts, c.want, v.Breaches)
		}
	}
}

// An outcome that is settled late is a breach by the least that a client can see, unless the step
// that settled it ran late; what is settled in time has Late to be read.
func TestSettledLate(t *testing.T) {
	submit := record.Event{At: 10 * ms, What: record.Submit, Submission: "s", Count: 1, Within: time.Second}
	taken := record.Event{At: 9 * ms, What: record.Submit, Submission: "s", Near: true}
	outcome := func(at, took time.Duration) record.Event {
		return record.Event{At: at, What: record.Outcome, Submission: "s", Name: "web/1", Result: "refused", Took: took}
	}
	slept := record.Event{At: 2500 * ms, What: record.Late, Near: true, Within: 1600 * ms}
	for name, c := range map[string]struct {
		events []record.Event
		broken bool
	}{
		"in time":                   {[]record.Event{submit, taken, outcome(1010*ms, time.Second)}, false},
		"two milliseconds late":     {[]record.Event{submit, taken, outcome(1012*ms, 1002*ms)}, true},
		"the step ran late":         {[]record.Event{submit, taken, slept, outcome(2600*ms, 2491*ms)}, false},
		"and its client reads late": {[]record.Event{submit, taken, slept, outcome(3501*ms, 2491*ms)}, true},
		"read late while it stood":  {[]record.Event{submit, taken, slept, outcome(3500*ms, 900*ms)}, false},
		"and a moment more":         {[]record.Event{submit, taken, slept, outcome(3501*ms, 900*ms)}, true},
		"in time, and read late":    {[]record.Event{submit, taken, outcome(2011*ms, 900*ms)}, true},
	} {
		if v := Check(c.events, facts()); v.OK() == c.broken {
			t.Errorf("%s: %v", name, v.Breaches)
		}
	}
}

// Each record breaks one rule, or none; the checker says which.
func TestPlantedBreaches(t *testing.T) {
	submit := record.Event{At: 10 * ms, What: record.Submit, Submission: "s", Count: 1, Within: time.Second}
	outcome := func(at time.Duration, word string) record.Event {
		return record.Event{At: at, What: record.Outcome, Submission: "s", Name: "web/1", Result: word}
	}
	later := record.Event{At: time.Minute, What: record.PlacerUp, Placer: 7}
	told := func(at time.Duration, ready ...string) record.Event {
		return record.Event{At: at, What: record.Told, Ready: ready}
	}
	const none = guard.Rules
	for name, c := range map[string]struct {
		events []record.Event
		rule   guard.Rule
	}{
		"one outcome":                           {[]record.Event{submit, outcome(50*ms, "placed"), later}, none},
		"no outcome":                            {[]record.Event{submit, later}, guard.OneAnswer},
		"two outcomes":                          {[]record.Event{submit, outcome(50*ms, "refused"), outcome(60*ms, "placed"), later}, guard.OneAnswer},
		"late outcome":                          {[]record.Event{submit, outcome(5*time.Second, "placed"), later}, guard.OneAnswer},
		"made-up word":                          {[]record.Event{submit, outcome(50*ms, "perhaps"), later}, guard.OneAnswer},
		"nobody's outcome":                      {[]record.Event{outcome(50*ms, "placed"), later}, guard.OneAnswer},
		"read again after a cut":                {[]record.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, What: record.Cut, Submission: "s"}, outcome(90*ms, "placed")}, none},
		"changed after a cut":                   {[]record.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, What: record.Cut, Submission: "s"}, outcome(90*ms, "failed")}, guard.OneAnswer},
		"lost with its placer":                  {[]record.Event{submit, {At: 60 * ms, What: record.Killed}, later}, none},
		"refused, then elsewhere":               {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Refused, "a", "", 1, 1, 0), frame(30*ms, record.Offer, "b", "unsafe", 1, 1, 1)}, none},
		"two out":                               {[]record.Event{frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(30*ms, record.Offer, "b", "safe", 1, 1, 1)}, guard.NoRepeat},
		"safe after a break":                    {[]record.Event{frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(30*ms, record.Offer, "b", "safe", 1, 1, 1)}, none},
		"unsafe after a break":                  {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(30*ms, record.Offer, "b", "unsafe", 1, 1, 1)}, guard.NoRepeat},
		"unsafe in another ask":                 {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Running, "a", "", 1, 1, 0), frame(3*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, guard.NoRepeat},
		"unsafe, its host died":                 {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.HostDown, Host: "a", Epoch: 1}, frame(3*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died":               {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.Killed}, frame(4*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, read when its placer was dead": {[]record.Event{frame(30*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.Killed, PlacerEpoch: 1}, frame(4*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died just now":      {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.Killed}, frame(time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, guard.NoRepeat},
		"keyed in its window":                   {[]record.Event{frame(10*ms, record.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "c", "keyed", 1, 1, 1)}, none},
		"keyed after its window":                {[]record.Event{frame(10*ms, record.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(6*time.Second, record.Offer, "c", "keyed", 1, 1, 1)}, guard.NoRepeat},
		"keyed in its group":                    {[]record.Event{frame(10*ms, record.Offer, "a", "racked", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "b", "racked", 1, 1, 1)}, none},
		"keyed outside its group":               {[]record.Event{frame(10*ms, record.Offer, "a", "racked", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "c", "racked", 1, 1, 1)}, guard.NoRepeat},
		"within the grace":                      {[]record.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(200*ms, record.Offer, "a", "safe", 1, 1, 0)}, none},
		"after the grace, gone":                 {[]record.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"after the grace, listed":               {[]record.Event{{At: 10 * ms, What: record.Told, Draining: []string{"a"}}, frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"after the grace, by its word":          {[]record.Event{{At: 10 * ms, What: record.Drain, Host: "a", On: true}, frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"ready again":                           {[]record.Event{told(5*ms, "a"), told(10 * ms), told(400*ms, "a"), frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, none},
		"cold, within its budget":               {[]record.Event{up(5*ms, "a", "r1", true), frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(20*ms, record.Offer, "a", "safe", 2, 2, 0), frame(30*ms, record.Offer, "a", "safe", 3, 3, 0)}, none},
		"cold, over its budget": {[]record.Event{up(5*ms, "a", "r1", true), frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(20*ms, record.Offer, "a", "safe", 2, 2, 0),
			frame(30*ms, record.Offer, "a", "safe", 3, 3, 0), frame(40*ms, record.Offer, "a", "safe", 4, 4, 0)}, guard.Cold},
		"two in one rack, the reply broke off": {[]record.Event{frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Accepted, "a", "", 1, 1, 0),
			frame(30*ms, record.Gone, "a", "", 0, 0, 0), frame(500*ms, record.Offer, "b", "spread", 1, 1, 1)}, none},
		"two in one rack, bound and cut off": {[]record.Event{frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Running, "a", "", 1, 1, 0),
			frame(300*ms, record.Gone, "a", "", 0, 0, 0), frame(900*ms, record.Offer, "b", "spread", 2, 2, 0)}, guard.Spread},
		"fell":                     {[]record.Event{{At: 10 * ms, What: record.Fell, Host: "a"}}, guard.Cold},
		"two racks":                {[]record.Event{frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Accepted, "a", "", 1, 1, 0), frame(500*ms, record.Offer, "c", "spread", 2, 2, 0)}, none},
		"two in one rack":          {[]record.Event{frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Accepted, "a", "", 1, 1, 0), frame(500*ms, record.Offer, "b", "spread", 2, 2, 0)}, guard.Spread},
		"two in one rack, in turn": {[]record.Event{frame(10*ms, record.Offer, "a", "spread", 1, 1, 0), frame(20*ms, record.Accepted, "a", "", 1, 1, 0), frame(400*ms, record.Ended, "a", "", 1, 1, 0), frame(500*ms, record.Offer, "b", "spread", 2, 2, 0)}, none},
	} {
		v := Check(append(fleet(), c.events...), facts())
		for r := guard.Rule(0); r < guard.Rules; r++ {
			if want := r == c.rule; (v.Counts[r] > 0) != want {
				t.Errorf("%s: %d breaches of %v: %v", name, v.Counts[r], r, v.Breaches)
			}
		}
	}
}
