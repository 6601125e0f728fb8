package platformconfig

import (
	"math"
	"time"
)

// maxMicroseconds bounds durations to about 32 years; a time.Duration holds 292.
const maxMicroseconds = 1e15

// Duration turns milliseconds into a duration of whole microseconds, of at most 10^15 either way; NaN into 0.
func Duration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if math.IsNaN(us) {
		return 0
	}
	us = min(max(us, -maxMicroseconds), maxMicroseconds)
	return time.Duration(us) * time.Microsecond
}

// Milliseconds turns a duration into milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
