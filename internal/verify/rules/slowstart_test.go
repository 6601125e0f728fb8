package rules

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestCheckSlowStarts(t *testing.T) {
	warmingUp := hostUp(5*ms, "a", "r1")
	warmingUp.WarmingUp = true
	checkCases(t, testHosts(), []ruleCase{
		{"as many offers as it bears", []capture.Event{
			warmingUp, offer(10*ms, "a", "safe", 1), offer(20*ms, "a", "safe", 2), offer(30*ms, "a", "safe", 3),
		}, noBreach},
		{"one more", []capture.Event{
			warmingUp, offer(10*ms, "a", "safe", 1), offer(20*ms, "a", "safe", 2), offer(30*ms, "a", "safe", 3),
			offer(40*ms, "a", "safe", 4),
		}, invariant.SlowStart},
		{"overloaded", []capture.Event{{At: 10 * ms, Type: capture.Overloaded, Host: "a"}}, invariant.SlowStart},
	})
}
