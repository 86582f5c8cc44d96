package jobs

import (
	"math"
	"time"
)

// intakeTime is the time over which the rate of admitted work is averaged: a burst shows within it.
const intakeTime = 500 * time.Millisecond

// intake is the rate at which work is admitted, in thousandths of a core.
type intake struct {
	sum float64 // work, of which the share e is forgotten in each intakeTime
	at  time.Time
}

// add takes in work, in thousandths of a core times seconds.
func (i *intake) add(now time.Time, work float64) {
	i.sum = i.rate(now)*intakeTime.Seconds() + work
	i.at = now
}

func (i *intake) rate(now time.Time) float64 {
	if i.at.IsZero() {
		return 0
	}
	return i.sum * math.Exp(-now.Sub(i.at).Seconds()/intakeTime.Seconds()) / intakeTime.Seconds()
}
