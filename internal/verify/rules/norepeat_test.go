package rules

import (
	"slices"
	"testing"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckRepeats(t *testing.T) {
	checkCases(t, testHosts(), []ruleCase{
		{"rejected, then elsewhere", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Refused, "a", 1), retry(30*ms, "b", "unsafe"),
		}, noBreach},
		{"two unanswered attempts", []capture.Event{
			offer(10*ms, "a", "safe", 1), retry(30*ms, "b", "safe"),
		}, invariant.NoRepeat},
		{"safe after a disconnect", []capture.Event{
			offer(10*ms, "a", "safe", 1), message(20*ms, capture.Disconnected, "a", 0), retry(30*ms, "b", "safe"),
		}, noBreach},
		{"unsafe after a disconnect", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Disconnected, "a", 0), retry(30*ms, "b", "unsafe"),
		}, invariant.NoRepeat},
		{"unsafe in another request", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Running, "a", 1), resubmitted(3 * time.Second),
		}, invariant.NoRepeat},
		{"unsafe, its host died", []capture.Event{
			offer(10*ms, "a", "unsafe", 1),
			{At: 20 * ms, Type: capture.HostDown, Host: "a", Epoch: 1},
			resubmitted(3 * time.Second),
		}, noBreach},
		{"unsafe, its placer died", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), placerDown(20*ms, 0), resubmitted(4 * time.Second),
		}, noBreach},
		{"unsafe, read after the death of its placer", []capture.Event{
			offer(30*ms, "a", "unsafe", 1),
			{At: 20 * ms, Type: capture.PlacerDown, PlacerEpoch: 1},
			resubmitted(4 * time.Second),
		}, noBreach},
		{"unsafe, its placer died less than the owner's backoff ago", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), placerDown(20*ms, 0), resubmitted(time.Second),
		}, invariant.NoRepeat},
		{"keyed in its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "keyed"),
		}, noBreach},
		{"keyed after its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(6*time.Second, "c", "keyed"),
		}, invariant.NoRepeat},
		{"keyed in its domain", []capture.Event{
			offer(10*ms, "a", "keyed, rack", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "b", "keyed, rack"),
		}, noBreach},
		{"keyed outside its domain", []capture.Event{
			offer(10*ms, "a", "keyed, rack", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "keyed, rack"),
		}, invariant.NoRepeat},
	})
}

// Each case has an event and a further offer. The event is at the latest time at which the placer may have known of the
// event when it sent the offer, or 1ms later. Most of these offers reach their host at 1s.
func TestCheckRepeatsBounds(t *testing.T) {
	first := func(class string) capture.Event { return offer(10*ms, "a", class, 1) }
	onFirst := func(at time.Duration, kind capture.EventType) capture.Event { return message(at, kind, "a", 1) }
	earlierIncarnationDown := capture.Event{At: 9 * ms, Type: capture.PlacerDown, PlacerEpoch: 7}
	safe, unsafe := retry(time.Second, "b", "safe"), retry(time.Second, "b", "unsafe")
	disconnected := onFirst(20*ms, capture.Disconnected)
	checkCases(t, testHosts(), []ruleCase{
		{"rejected at the limit", []capture.Event{first("unsafe"), onFirst(1000*ms, capture.Refused), unsafe}, noBreach},
		{"rejected 1ms after the limit", []capture.Event{first("unsafe"), unsafe, onFirst(1001*ms, capture.Refused)}, invariant.NoRepeat},
		{"ended at the limit", []capture.Event{first("unsafe"), onFirst(1000*ms, capture.Ended), unsafe}, noBreach},
		{"ended 1ms after the limit", []capture.Event{first("unsafe"), unsafe, onFirst(1001*ms, capture.Ended)}, invariant.NoRepeat},
		{"answered at the limit", []capture.Event{first("safe"), onFirst(1000*ms, capture.Accepted), safe}, noBreach},
		{"answered 1ms after the limit", []capture.Event{first("safe"), safe, onFirst(1001*ms, capture.Accepted)}, invariant.NoRepeat},
		{"withdrawn at the limit", []capture.Event{first("safe"), safe, onFirst(1100*ms, capture.Withdraw)}, noBreach},
		{"withdrawn 1ms after the limit", []capture.Event{first("safe"), safe, onFirst(1101*ms, capture.Withdraw)}, invariant.NoRepeat},
		{"disconnected at the limit", []capture.Event{first("safe"), safe, onFirst(1100*ms, capture.Disconnected)}, noBreach},
		{"disconnected 1ms after the limit", []capture.Event{first("safe"), safe, onFirst(1101*ms, capture.Disconnected)}, invariant.NoRepeat},
		{"host down at the limit", []capture.Event{first("unsafe"), unsafe, onFirst(1100*ms, capture.HostDown)}, noBreach},
		{"host down 1ms after the limit", []capture.Event{first("unsafe"), unsafe, onFirst(1101*ms, capture.HostDown)}, invariant.NoRepeat},

		{"owner's backoff over at the limit", []capture.Event{first("unsafe"), placerDown(20*ms, 0), resubmitted(2920 * ms)}, noBreach},
		{"owner's backoff over 1ms after the limit", []capture.Event{
			first("unsafe"), placerDown(20*ms, 0), resubmitted(2919 * ms),
		}, invariant.NoRepeat},
		{"its placer died as it was read", []capture.Event{first("unsafe"), placerDown(10*ms, 0), resubmitted(4 * time.Second)}, noBreach},
		{"its placer died before it was read", []capture.Event{
			first("unsafe"), placerDown(9*ms, 0), resubmitted(4 * time.Second),
		}, invariant.NoRepeat},
		{"an earlier incarnation of its placer died", []capture.Event{
			first("unsafe"), earlierIncarnationDown, resubmitted(4 * time.Second),
		}, invariant.NoRepeat},
		{"its placer died before it was read, both of unknown incarnation", []capture.Event{
			ofPlacer(0, 0, first("unsafe")), placerDown(9*ms, 0), resubmitted(4 * time.Second),
		}, invariant.NoRepeat},
		{"another placer died", []capture.Event{first("unsafe"), placerDown(20*ms, 1), resubmitted(4 * time.Second)}, invariant.NoRepeat},
		{"the placer of the next offer died", []capture.Event{
			first("unsafe"), placerDown(20*ms, 1), ofPlacer(1, 1, resubmitted(4*time.Second)),
		}, invariant.NoRepeat},

		{"keyed at the end of its window", []capture.Event{first("keyed"), disconnected, retry(5110*ms, "c", "keyed")}, noBreach},
		{"keyed 1ms after its window", []capture.Event{
			first("keyed"), disconnected, retry(5111*ms, "c", "keyed"),
		}, invariant.NoRepeat},
		{"safe, of a class with a domain and a window", []capture.Event{
			first("safe, dedup settings"), disconnected, retry(1*time.Second, "c", "safe, dedup settings"),
		}, noBreach},
	})
}

// An offer is compared with each earlier attempt of its task that may have run, and with no other.
func TestCheckRepeatsComparesWithEarlierAttempts(t *testing.T) {
	disconnected := message(20*ms, capture.Disconnected, "a", 0)
	unsafe := offer(10*ms, "a", "unsafe", 1)
	checkCases(t, testHosts(), []ruleCase{
		{"of an unknown class", []capture.Event{offer(10*ms, "a", "unknown", 1)}, invariant.NoRepeat},
		{"of an unknown class, after another", []capture.Event{unsafe, retry(30*ms, "b", "unknown")}, invariant.NoRepeat},
		{"after one that ended and one that may have run", []capture.Event{
			unsafe, message(11*ms, capture.Ended, "a", 1), retry(12*ms, "b", "unsafe"),
			message(13*ms, capture.Disconnected, "b", 0), thirdAttempt(30*ms, "unsafe"),
		}, invariant.NoRepeat},
		{"of other tasks", []capture.Event{unsafe, offer(11*ms, "b", "unsafe", 2)}, noBreach},
		{"two unanswered attempts, unsafe", []capture.Event{unsafe, retry(30*ms, "b", "unsafe")}, invariant.NoRepeat},
		{"two at one time, the higher number is the later attempt", []capture.Event{unsafe, retry(10*ms, "b", "unsafe")}, invariant.NoRepeat},
		{"two at one time with one number, neither is the later attempt", []capture.Event{unsafe, resubmitted(10 * ms)}, noBreach},
		{"the higher number reached its host first", []capture.Event{retry(10*ms, "b", "unsafe"), offer(30*ms, "a", "unsafe", 1)}, invariant.NoRepeat},
		{"safe, of another placer", []capture.Event{
			offer(10*ms, "a", "safe", 1), ofPlacer(1, 1, retry(30*ms, "b", "safe")),
		}, noBreach},
		{"safe, of another incarnation of its placer", []capture.Event{
			offer(10*ms, "a", "safe", 1), ofPlacer(0, 2, retry(30*ms, "b", "safe")),
		}, invariant.NoRepeat},
		{"outside the domain, and after the window", []capture.Event{
			offer(10*ms, "a", "keyed, rack", 1), disconnected, retry(6*time.Second, "c", "keyed, rack"),
		}, invariant.NoRepeat},
		{"keyed, the first unanswered, after the window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), retry(6*time.Second, "b", "keyed"),
		}, invariant.NoRepeat},
	})
	// The deduplication window begins with the first attempt. The third attempt comes after the end of the window,
	// which is one breach for each of the two earlier attempts.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		offer(10*ms, "a", "keyed", 1), disconnected, retry(time.Second, "b", "keyed"),
		message(1001*ms, capture.Disconnected, "b", 0), thirdAttempt(5111*ms, "keyed"),
	}), invariant.NoRepeat, invariant.NoRepeat)
	// An offer of an unknown class does not hide breaches after it.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		offer(9*ms, "a", "unknown", 2), unsafe, retry(30*ms, "b", "unsafe"),
	}), invariant.NoRepeat, invariant.NoRepeat)
	// Each earlier attempt that is unanswered or may have run is a breach.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		offer(10*ms, "a", "unsafe", 1), retry(20*ms, "b", "unsafe"), thirdAttempt(30*ms, "unsafe"),
	}), invariant.NoRepeat, invariant.NoRepeat, invariant.NoRepeat)

	parallel := testConfig()
	parallel.ParallelAttempts = true
	checkCasesWithConfig(t, parallel, testHosts(), []ruleCase{
		{"safe, parallel", []capture.Event{offer(10*ms, "a", "safe", 1), retry(30*ms, "b", "safe")}, noBreach},
		{"unsafe, parallel", []capture.Event{unsafe, retry(30*ms, "b", "unsafe")}, invariant.NoRepeat},
	})
}

// A message concerns only the attempt with the same host, incarnations, request and number.
func TestCheckRepeatsIgnoresMessagesOfOtherAttempts(t *testing.T) {
	for name, change := range map[string]func(*capture.Event){
		"host":         func(e *capture.Event) { e.Host = "b" },
		"host epoch":   func(e *capture.Event) { e.Epoch = 2 },
		"placer epoch": func(e *capture.Event) { e.RefEpoch = 2 },
		"request":      func(e *capture.Event) { e.Task = 2 },
		"number":       func(e *capture.Event) { e.Attempt = 2 },
		"nothing":      nil,
	} {
		rejected := message(20*ms, capture.Refused, "a", 1)
		rejected.PlacerEpoch = 9 // it doesn't matter which incarnation of the placer reads the message
		want := noBreach
		if change != nil {
			change(&rejected)
			want = invariant.NoRepeat
		}
		checkCases(t, testHosts(), []ruleCase{
			{name, []capture.Event{offer(10*ms, "a", "unsafe", 1), rejected, retry(30*ms, "b", "unsafe")}, want},
		})
	}
}

// An offer of a placer whose sockets were captured is checked against that placer's own attempts only there. It is
// checked against attempts of other placers on the capture at the hosts.
func TestCheckRepeatsBothEnds(t *testing.T) {
	rejectedFirst := atPlacer(
		offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Refused, "a", 1), retry(30*ms, "b", "unsafe"),
	)
	rejectedLater := []capture.Event{
		offer(11*ms, "a", "unsafe", 1), retry(31*ms, "b", "unsafe"), message(32*ms, capture.Refused, "a", 1),
	}
	surroundings := slices.Concat(testHosts(), testPlacer())
	checkCases(t, surroundings, []ruleCase{
		{"breach only in the capture at the hosts", slices.Concat(rejectedFirst, rejectedLater), noBreach},
		{"of another placer", []capture.Event{
			ofPlacer(1, 1, rejectedLater[0]), ofPlacer(1, 1, rejectedLater[1]),
		}, invariant.NoRepeat},
		{"of another incarnation of its placer", []capture.Event{
			ofPlacer(0, 2, rejectedLater[0]), ofPlacer(0, 2, rejectedLater[1]),
		}, invariant.NoRepeat},
		{"after an attempt of another placer", append(
			atPlacer(offer(30*ms, "b", "unsafe", 1)), ofPlacer(1, 1, offer(10*ms, "a", "unsafe", 1)), offer(31*ms, "b", "unsafe", 1),
		), invariant.NoRepeat},
	})
	secondCaptured := append(testHosts(), atPlacer(ofPlacer(0, 2, listDelivered(2*ms, "a", "b", "c")))...)
	checkCases(t, secondCaptured, []ruleCase{
		{"of the incarnation before the captured one", rejectedLater, invariant.NoRepeat},
	})
}

// The capture at the placer is checked without slack. Each breach exceeds its limit by only 1ms, which the slack of the
// checks at the hosts would hide.
func TestCheckRepeatsAtPlacer(t *testing.T) {
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"two unanswered attempts", atPlacer(
			offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe"), message(12*ms, capture.Withdraw, "a", 1),
		), invariant.NoRepeat},
		{"keyed at the end of its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Disconnected, "a", 0), retry(5010*ms, "c", "keyed"),
		), noBreach},
		{"keyed 1ms after its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Disconnected, "a", 0), retry(5011*ms, "c", "keyed"),
		), invariant.NoRepeat},
		{"rejected", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Refused, "a", 1), retry(12*ms, "b", "unsafe"),
		), noBreach},
		{"ended", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Ended, "a", 1), retry(12*ms, "b", "unsafe"),
		), noBreach},
		{"ended, then elsewhere, disconnected", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Ended, "a", 1), retry(12*ms, "b", "unsafe"),
			message(13*ms, capture.Disconnected, "b", 0), thirdAttempt(14*ms, "unsafe"),
		), invariant.NoRepeat},
		{"two unanswered attempts, unsafe", atPlacer(
			offer(10*ms, "a", "unsafe", 1), retry(11*ms, "b", "unsafe"),
		), invariant.NoRepeat},
		{"of other tasks", atPlacer(offer(10*ms, "a", "unsafe", 1), offer(11*ms, "b", "unsafe", 2)), noBreach},
		{"safe, withdrawn", atPlacer(
			offer(10*ms, "a", "safe", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "safe"),
		), noBreach},
		{"safe, withdrawn, of a class with a domain and a window", atPlacer(
			offer(10*ms, "a", "safe, dedup settings", 1), message(11*ms, capture.Withdraw, "a", 1),
			retry(20*ms, "c", "safe, dedup settings"),
		), noBreach},
		{"unsafe, withdrawn", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "unsafe"),
		), invariant.NoRepeat},
		{"keyed in its domain", atPlacer(
			offer(10*ms, "a", "keyed, rack", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "keyed, rack"),
		), noBreach},
		{"keyed outside its domain", atPlacer(
			offer(10*ms, "a", "keyed, rack", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "c", "keyed, rack"),
		), invariant.NoRepeat},
		{"keyed, the first unanswered, after its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), retry(6*time.Second, "c", "keyed"),
		), invariant.NoRepeat},
		{"keyed after the window of the first of two", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Withdraw, "a", 1),
			retry(12*ms, "b", "keyed"), message(13*ms, capture.Disconnected, "b", 0), thirdAttempt(5011*ms, "keyed"),
		), invariant.NoRepeat},
		{"of an unknown class", atPlacer(offer(10*ms, "a", "unknown", 1), retry(11*ms, "b", "unknown")), noBreach},
		{"unsafe, rejected on a connection that has ended", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Disconnected, "a", 0), message(12*ms, capture.Refused, "a", 1),
			resubmitted(13*ms),
		), invariant.NoRepeat},
		{"sent on a connection that ends in the same step", atPlacer(
			message(10*ms, capture.Disconnected, "a", 0), offer(10*ms, "a", "safe", 1), retry(10*ms, "b", "safe"),
		), noBreach},
	})
}

func TestCheckRepeatsAtPlacerParallel(t *testing.T) {
	parallel := testConfig()
	parallel.ParallelAttempts = true
	checkCasesWithConfig(t, parallel, append(testHosts(), testPlacer()...), []ruleCase{
		{"safe, parallel", atPlacer(offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe")), noBreach},
		{"unsafe, parallel", atPlacer(offer(10*ms, "a", "unsafe", 1), retry(11*ms, "b", "unsafe")), invariant.NoRepeat},
	})
}

// Each unanswered earlier attempt is a breach.
func TestCheckRepeatsAtPlacerCountsEachUnansweredAttempt(t *testing.T) {
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), testPlacer(), atPlacer(
		offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe"), thirdAttempt(12*ms, "safe"),
	)), invariant.NoRepeat, invariant.NoRepeat, invariant.NoRepeat)
}
