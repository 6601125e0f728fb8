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
		{"two without an answer", []capture.Event{
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
		{"unsafe, read when its placer was dead", []capture.Event{
			offer(30*ms, "a", "unsafe", 1),
			{At: 20 * ms, Type: capture.PlacerDown, PlacerEpoch: 1},
			resubmitted(4 * time.Second),
		}, noBreach},
		{"unsafe, its placer died just now", []capture.Event{
			offer(10*ms, "a", "unsafe", 1), placerDown(20*ms, 0), resubmitted(time.Second),
		}, invariant.NoRepeat},
		{"keyed in its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "keyed"),
		}, noBreach},
		{"keyed after its window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), message(20*ms, capture.Disconnected, "a", 0), retry(6*time.Second, "c", "keyed"),
		}, invariant.NoRepeat},
		{"keyed in its domain", []capture.Event{
			offer(10*ms, "a", "racked", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "b", "racked"),
		}, noBreach},
		{"keyed outside its domain", []capture.Event{
			offer(10*ms, "a", "racked", 1), message(20*ms, capture.Disconnected, "a", 0), retry(time.Second, "c", "racked"),
		}, invariant.NoRepeat},
	})
}

// Both sides of each bound on what a placer may have known when it sent an offer that came to its host at 1s.
func TestCheckRepeatsBounds(t *testing.T) {
	first := func(class string) capture.Event { return offer(10*ms, "a", class, 1) }
	onFirst := func(at time.Duration, kind capture.EventType) capture.Event { return message(at, kind, "a", 1) }
	earlierIncarnationDown := capture.Event{At: 9 * ms, Type: capture.PlacerDown, PlacerEpoch: 7}
	safe, unsafe := retry(time.Second, "b", "safe"), retry(time.Second, "b", "unsafe")
	disconnected := onFirst(20*ms, capture.Disconnected)
	checkCases(t, testHosts(), []ruleCase{
		{"rejected by then", []capture.Event{first("unsafe"), onFirst(1000*ms, capture.Refused), unsafe}, noBreach},
		{"rejected a moment later", []capture.Event{first("unsafe"), unsafe, onFirst(1001*ms, capture.Refused)}, invariant.NoRepeat},
		{"ended by then", []capture.Event{first("unsafe"), onFirst(1000*ms, capture.Ended), unsafe}, noBreach},
		{"ended a moment later", []capture.Event{first("unsafe"), unsafe, onFirst(1001*ms, capture.Ended)}, invariant.NoRepeat},
		{"answered by then", []capture.Event{first("safe"), onFirst(1000*ms, capture.Accepted), safe}, noBreach},
		{"answered a moment later", []capture.Event{first("safe"), safe, onFirst(1001*ms, capture.Accepted)}, invariant.NoRepeat},
		{"withdrawn by then", []capture.Event{first("safe"), safe, onFirst(1100*ms, capture.Withdraw)}, noBreach},
		{"withdrawn a moment later", []capture.Event{first("safe"), safe, onFirst(1101*ms, capture.Withdraw)}, invariant.NoRepeat},
		{"disconnected by then", []capture.Event{first("safe"), safe, onFirst(1100*ms, capture.Disconnected)}, noBreach},
		{"disconnected a moment later", []capture.Event{first("safe"), safe, onFirst(1101*ms, capture.Disconnected)}, invariant.NoRepeat},
		{"host down by then", []capture.Event{first("unsafe"), unsafe, onFirst(1100*ms, capture.HostDown)}, noBreach},
		{"host down a moment later", []capture.Event{first("unsafe"), unsafe, onFirst(1101*ms, capture.HostDown)}, invariant.NoRepeat},

		{"forgotten by then", []capture.Event{first("unsafe"), placerDown(20*ms, 0), resubmitted(2920 * ms)}, noBreach},
		{"forgotten a moment later", []capture.Event{
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
		{"keyed a moment after its window", []capture.Event{
			first("keyed"), disconnected, retry(5111*ms, "c", "keyed"),
		}, invariant.NoRepeat},
		{"safe, of a class with a domain and a window", []capture.Event{
			first("safe, figures of keyed"), disconnected, retry(1*time.Second, "c", "safe, figures of keyed"),
		}, noBreach},
	})
}

func TestCheckRepeatsWhichAttempts(t *testing.T) {
	disconnected := message(20*ms, capture.Disconnected, "a", 0)
	unsafe := offer(10*ms, "a", "unsafe", 1)
	checkCases(t, testHosts(), []ruleCase{
		{"of an unknown class", []capture.Event{offer(10*ms, "a", "odd", 1)}, invariant.NoRepeat},
		{"of an unknown class, after another", []capture.Event{unsafe, retry(30*ms, "b", "odd")}, invariant.NoRepeat},
		{"after one that ended and one that may have run", []capture.Event{
			unsafe, message(11*ms, capture.Ended, "a", 1), retry(12*ms, "b", "unsafe"),
			message(13*ms, capture.Disconnected, "b", 0), thirdAttempt(30*ms, "unsafe"),
		}, invariant.NoRepeat},
		{"of other tasks", []capture.Event{unsafe, offer(11*ms, "b", "unsafe", 2)}, noBreach},
		{"two without an answer, unsafe", []capture.Event{unsafe, retry(30*ms, "b", "unsafe")}, invariant.NoRepeat},
		{"two of one time, the later number is the later", []capture.Event{unsafe, retry(10*ms, "b", "unsafe")}, invariant.NoRepeat},
		{"two of one time and number, neither is the later", []capture.Event{unsafe, resubmitted(10 * ms)}, noBreach},
		{"the later number came first", []capture.Event{retry(10*ms, "b", "unsafe"), offer(30*ms, "a", "unsafe", 1)}, invariant.NoRepeat},
		{"safe, of another placer", []capture.Event{
			offer(10*ms, "a", "safe", 1), ofPlacer(1, 1, retry(30*ms, "b", "safe")),
		}, noBreach},
		{"safe, of another incarnation of its placer", []capture.Event{
			offer(10*ms, "a", "safe", 1), ofPlacer(0, 2, retry(30*ms, "b", "safe")),
		}, invariant.NoRepeat},
		{"outside the domain, and after the window", []capture.Event{
			offer(10*ms, "a", "racked", 1), disconnected, retry(6*time.Second, "c", "racked"),
		}, invariant.NoRepeat},
		{"keyed, the first without an answer, after the window", []capture.Event{
			offer(10*ms, "a", "keyed", 1), retry(6*time.Second, "b", "keyed"),
		}, invariant.NoRepeat},
	})
	// The window begins with the first attempt: the third is late for it and for the second.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		offer(10*ms, "a", "keyed", 1), disconnected, retry(time.Second, "b", "keyed"),
		message(1001*ms, capture.Disconnected, "b", 0), thirdAttempt(5111*ms, "keyed"),
	}), invariant.NoRepeat, invariant.NoRepeat)
	// An offer of an unknown class hides none that comes after it.
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), []capture.Event{
		offer(9*ms, "a", "odd", 2), unsafe, retry(30*ms, "b", "unsafe"),
	}), invariant.NoRepeat, invariant.NoRepeat)
	// Each attempt that is without an answer, and each that may have run, is a breach.
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

// A message is on the attempt that has its host, its incarnations, its request and its number, and on no other.
func TestCheckRepeatsMessageOfAnotherAttempt(t *testing.T) {
	for name, change := range map[string]func(*capture.Event){
		"host":        func(e *capture.Event) { e.Host = "b" },
		"host epoch":  func(e *capture.Event) { e.Epoch = 2 },
		"placer":      func(e *capture.Event) { e.RefEpoch = 2 },
		"request":     func(e *capture.Event) { e.Task = 2 },
		"number":      func(e *capture.Event) { e.Attempt = 2 },
		"not another": nil,
	} {
		rejected := message(20*ms, capture.Refused, "a", 1)
		rejected.PlacerEpoch = 9 // whose connection it is doesn't matter
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

// What is judged at its placer's end is judged there only, but against attempts of others by what hosts saw.
func TestCheckRepeatsBothEnds(t *testing.T) {
	rejectedFirst := atPlacer(
		offer(10*ms, "a", "unsafe", 1), message(20*ms, capture.Refused, "a", 1), retry(30*ms, "b", "unsafe"),
	)
	rejectedLater := []capture.Event{
		offer(11*ms, "a", "unsafe", 1), retry(31*ms, "b", "unsafe"), message(32*ms, capture.Refused, "a", 1),
	}
	surroundings := slices.Concat(testHosts(), testPlacer())
	checkCases(t, surroundings, []ruleCase{
		{"no breach at its placer's end", slices.Concat(rejectedFirst, rejectedLater), noBreach},
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
		{"of the incarnation before the one that is captured", rejectedLater, invariant.NoRepeat},
	})
}

// What a placer knew is judged with no slack: each breach is of the least size, and hides behind the slack of the other end.
func TestCheckRepeatsAtPlacer(t *testing.T) {
	checkCases(t, append(testHosts(), testPlacer()...), []ruleCase{
		{"two without an answer", atPlacer(
			offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe"), message(12*ms, capture.Withdraw, "a", 1),
		), invariant.NoRepeat},
		{"keyed at the end of its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Disconnected, "a", 0), retry(5010*ms, "c", "keyed"),
		), noBreach},
		{"keyed a moment after its window", atPlacer(
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
		{"two without an answer, unsafe", atPlacer(
			offer(10*ms, "a", "unsafe", 1), retry(11*ms, "b", "unsafe"),
		), invariant.NoRepeat},
		{"of other tasks", atPlacer(offer(10*ms, "a", "unsafe", 1), offer(11*ms, "b", "unsafe", 2)), noBreach},
		{"safe, withdrawn", atPlacer(
			offer(10*ms, "a", "safe", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "safe"),
		), noBreach},
		{"safe, withdrawn, of a class with a domain and a window", atPlacer(
			offer(10*ms, "a", "safe, figures of keyed", 1), message(11*ms, capture.Withdraw, "a", 1),
			retry(20*ms, "c", "safe, figures of keyed"),
		), noBreach},
		{"unsafe, withdrawn", atPlacer(
			offer(10*ms, "a", "unsafe", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "unsafe"),
		), invariant.NoRepeat},
		{"keyed in its domain", atPlacer(
			offer(10*ms, "a", "racked", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "b", "racked"),
		), noBreach},
		{"keyed outside its domain", atPlacer(
			offer(10*ms, "a", "racked", 1), message(11*ms, capture.Withdraw, "a", 1), retry(12*ms, "c", "racked"),
		), invariant.NoRepeat},
		{"keyed, the first without an answer, after its window", atPlacer(
			offer(10*ms, "a", "keyed", 1), retry(6*time.Second, "c", "keyed"),
		), invariant.NoRepeat},
		{"keyed after the window of the first of two", atPlacer(
			offer(10*ms, "a", "keyed", 1), message(11*ms, capture.Withdraw, "a", 1),
			retry(12*ms, "b", "keyed"), message(13*ms, capture.Disconnected, "b", 0), thirdAttempt(5011*ms, "keyed"),
		), invariant.NoRepeat},
		{"of an unknown class", atPlacer(offer(10*ms, "a", "odd", 1), retry(11*ms, "b", "odd")), noBreach},
		{"unsafe, rejected on a connection that is over", atPlacer(
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

// Each attempt that is without an answer is a breach.
func TestCheckRepeatsAtPlacerThree(t *testing.T) {
	checkBreaches(t, testConfig(), slices.Concat(testHosts(), testPlacer(), atPlacer(
		offer(10*ms, "a", "safe", 1), retry(11*ms, "b", "safe"), thirdAttempt(12*ms, "safe"),
	)), invariant.NoRepeat, invariant.NoRepeat, invariant.NoRepeat)
}
