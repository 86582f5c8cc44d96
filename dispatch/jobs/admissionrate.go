package jobs

import (
	"math"
	"time"
)

// admissionWindow is the time constant with which the rate of admitted work is averaged. It is short
// enough for a burst to show.
const admissionWindow = 500 * time.Millisecond

// admissionRate is an exponentially decaying average of the admitted work, in millicores.
type admissionRate struct {
	sum float64   // millicore-seconds; decays by a factor of e in each admissionWindow
	at  time.Time // time of the last add
}

// add records admitted work, in millicore-seconds.
func (i *admissionRate) add(now time.Time, work float64) {
	i.sum = i.rate(now)*admissionWindow.Seconds() + work
	i.at = now
}

// rate returns the average rate of admitted work, in millicores.
func (i *admissionRate) rate(now time.Time) float64 {
	if i.at.IsZero() {
		return 0
	}
	return i.sum * math.Exp(-now.Sub(i.at).Seconds()/admissionWindow.Seconds()) / admissionWindow.Seconds()
}
