package runtable

import (
	"math"
	"time"
)

const (
	// startRateWindow is the time constant of the rates at which tasks start.
	startRateWindow = 5 * time.Second
	// maxKinds bounds the number of kinds of request whose rates are kept.
	maxKinds = 256
)

// StartRates are exponentially decaying averages of the starts per second, by kind of request. The zero value is
// ready to use.
type StartRates struct {
	kinds map[string]startRate
}

type startRate struct {
	perSecond float64
	at        time.Time // time of the newest start
}

// Add counts a start.
func (r *StartRates) Add(now time.Time, kind string) {
	if r.kinds == nil || len(r.kinds) >= maxKinds {
		r.kinds = map[string]startRate{}
	}
	r.kinds[kind] = startRate{perSecond: r.kinds[kind].rate(now) + 1/startRateWindow.Seconds(), at: now}
}

// PerSecond returns the rate of each kind.
func (r *StartRates) PerSecond(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(r.kinds))
	for kind, v := range r.kinds {
		rates[kind] = v.rate(now)
	}
	return rates
}

func (r startRate) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/startRateWindow.Seconds())
}
