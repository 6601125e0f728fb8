// Package seedtest chooses the seeds of tests that draw at random: a few fixed ones, or those that the environment names.
package seedtest

import (
	"os"
	"strconv"
	"testing"
)

// Seeds are the seeds of a test: Count of them from First on. Both may be set by the environment variables with the names in
// FirstVariable and CountVariable.
type Seeds struct {
	First, Count                 int
	FirstVariable, CountVariable string
}

// Range returns the first seed and the one after the last. It fails the test if a variable is no number.
func (s Seeds) Range(t *testing.T) (first, end int) {
	t.Helper()
	first = variable(t, s.FirstVariable, s.First)
	return first, first + variable(t, s.CountVariable, s.Count)
}

func variable(t *testing.T, name string, ifUnset int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return ifUnset
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
