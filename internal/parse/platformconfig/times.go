package platformconfig

import (
	"math"
	"time"
)

// maxMicroseconds limits durations to about 32 years. The limit of time.Duration is 292 years.
const maxMicroseconds = 1e15

// Duration converts milliseconds to a duration of whole microseconds, from -maxMicroseconds to maxMicroseconds. NaN becomes 0.
func Duration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if math.IsNaN(us) {
		return 0
	}
	us = min(max(us, -maxMicroseconds), maxMicroseconds)
	return time.Duration(us) * time.Microsecond
}

// Milliseconds converts a duration to milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
