package jobs

import (
	"math"
	"time"
)

// admissionWindow is the time constant of the average rate of admitted work. It is short enough for the
// average to follow a burst.
const admissionWindow = 500 * time.Millisecond

// admissionRate is an exponentially decaying average of the admitted work, in millicores.
type admissionRate struct {
	sum float64   // millicore-seconds; decays by a factor of e in each admissionWindow
	at  time.Time // time of the last add
}

// add records admitted work, in millicore-seconds.
func (r *admissionRate) add(now time.Time, work float64) {
	r.sum = r.rate(now)*admissionWindow.Seconds() + work
	r.at = now
}

// rate returns the average rate of admitted work, in millicores.
func (r *admissionRate) rate(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/admissionWindow.Seconds()) / admissionWindow.Seconds()
}
