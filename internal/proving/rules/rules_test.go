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
			"safe": {}, "unsafe": {Effect: forkhead.Unsafe}, "spread": {Spread: forkhead.InCell, Most: 1},
			"keyed":  {Effect: forkhead.Keyed, Window: 5 * time.Second},
			"racked": {Effect: forkhead.Keyed, Group: forkhead.InCell, Window: 5 * time.Second},
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
		"one outcome":                      {[]record.Event{submit, outcome(50*ms, "placed"), later}, none},
		"no outcome":                       {[]record.Event{submit, later}, guard.OneAnswer},
		"two outcomes":                     {[]record.Event{submit, outcome(50*ms, "refused"), outcome(60*ms, "placed"), later}, guard.OneAnswer},
		"late outcome":                     {[]record.Event{submit, outcome(5*time.Second, "placed"), later}, guard.OneAnswer},
		"made-up word":                     {[]record.Event{submit, outcome(50*ms, "perhaps"), later}, guard.OneAnswer},
		"nobody's outcome":                 {[]record.Event{outcome(50*ms, "placed"), later}, guard.OneAnswer},
		"read again after a cut":           {[]record.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, What: record.Cut, Submission: "s"}, outcome(90*ms, "placed")}, none},
		"changed after a cut":              {[]record.Event{submit, outcome(50*ms, "placed"), {At: 60 * ms, What: record.Cut, Submission: "s"}, outcome(90*ms, "failed")}, guard.OneAnswer},
		"lost with its placer":             {[]record.Event{submit, {At: 60 * ms, What: record.Killed}, later}, none},
		"refused, then elsewhere":          {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Refused, "a", "", 1, 1, 0), frame(30*ms, record.Offer, "b", "unsafe", 1, 1, 1)}, none},
		"two out":                          {[]record.Event{frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(30*ms, record.Offer, "b", "safe", 1, 1, 1)}, guard.NoRepeat},
		"safe after a break":               {[]record.Event{frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(30*ms, record.Offer, "b", "safe", 1, 1, 1)}, none},
		"unsafe after a break":             {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(30*ms, record.Offer, "b", "unsafe", 1, 1, 1)}, guard.NoRepeat},
		"unsafe in another ask":            {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), frame(20*ms, record.Running, "a", "", 1, 1, 0), frame(3*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, guard.NoRepeat},
		"unsafe, its host died":            {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.HostDown, Host: "a", Epoch: 1}, frame(3*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died":          {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.Killed}, frame(4*time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, none},
		"unsafe, its placer died just now": {[]record.Event{frame(10*ms, record.Offer, "a", "unsafe", 1, 1, 0), {At: 20 * ms, What: record.Killed}, frame(time.Second, record.Offer, "b", "unsafe", 1, 2, 0)}, guard.NoRepeat},
		"keyed in its window":              {[]record.Event{frame(10*ms, record.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "c", "keyed", 1, 1, 1)}, none},
		"keyed after its window":           {[]record.Event{frame(10*ms, record.Offer, "a", "keyed", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(6*time.Second, record.Offer, "c", "keyed", 1, 1, 1)}, guard.NoRepeat},
		"keyed in its group":               {[]record.Event{frame(10*ms, record.Offer, "a", "racked", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "b", "racked", 1, 1, 1)}, none},
		"keyed outside its group":          {[]record.Event{frame(10*ms, record.Offer, "a", "racked", 1, 1, 0), frame(20*ms, record.Gone, "a", "", 0, 0, 0), frame(time.Second, record.Offer, "c", "racked", 1, 1, 1)}, guard.NoRepeat},
		"within the grace":                 {[]record.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(200*ms, record.Offer, "a", "safe", 1, 1, 0)}, none},
		"after the grace, gone":            {[]record.Event{told(5*ms, "a", "b"), told(10*ms, "b"), frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"after the grace, listed":          {[]record.Event{{At: 10 * ms, What: record.Told, Draining: []string{"a"}}, frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"after the grace, by its word":     {[]record.Event{{At: 10 * ms, What: record.Drain, Host: "a", On: true}, frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, guard.Drain},
		"ready again":                      {[]record.Event{told(5*ms, "a"), told(10 * ms), told(400*ms, "a"), frame(500*ms, record.Offer, "a", "safe", 1, 1, 0)}, none},
		"cold, within its budget":          {[]record.Event{up(5*ms, "a", "r1", true), frame(10*ms, record.Offer, "a", "safe", 1, 1, 0), frame(20*ms, record.Offer, "a", "safe", 2, 2, 0), frame(30*ms, record.Offer, "a", "safe", 3, 3, 0)}, none},
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
