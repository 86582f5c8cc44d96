package jobs

import (
	"math"
	"time"
)

// maxSpan bounds the durations that are computed from estimates, measured speeds and objectives, so that a few
// of them can be added or multiplied without overflow.
const maxSpan = 365 * 24 * time.Hour

// span converts nanoseconds to a duration of at most maxSpan, in either direction. The conversion of a number
// beyond the range of an int64 has a result that depends on the processor. A number that is not one becomes 0.
func span(nanoseconds float64) time.Duration {
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= float64(maxSpan):
		return maxSpan
	case nanoseconds <= -float64(maxSpan):
		return -maxSpan
	}
	return time.Duration(nanoseconds)
}
