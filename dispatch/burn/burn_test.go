package burn

import (
	"testing"
	"time"
)

// Guards against an alert that continues after its cause has ended, and against one for a short loss.
func TestAlertNeedsBothWindows(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sample := func(age time.Duration, good, total uint64) Sample {
		return Sample{Begin: now.Add(-age), Length: 10 * time.Second, Count: Count{good, total}}
	}
	for name, c := range map[string]struct {
		Report
		samples []Sample
	}{
		"continues":               {Report{ShortRate: 50, LongRate: 50, Alert: true}, []Sample{sample(time.Minute, 20, 50), sample(time.Minute, 30, 50)}},
		"ended":                   {Report{ShortRate: 0, LongRate: 50}, []Sample{sample(20*time.Minute, 0, 100), sample(time.Minute, 100, 100)}},
		"short loss":              {Report{ShortRate: 100, LongRate: 10}, []Sample{sample(20*time.Minute, 900, 900), sample(time.Minute, 0, 100)}},
		"outside the long window": {Report{ShortRate: 0, LongRate: 0}, []Sample{sample(2*time.Hour, 0, 100), sample(time.Minute, 100, 100)}},
	} {
		got := Compute(now, c.samples, func(Series) *Objective { return &Objective{time.Second, 0.99} }, Rule{DefaultShort, DefaultLong, DefaultFactor})[0]
		if int(got.ShortRate+0.5) != int(c.ShortRate) || int(got.LongRate+0.5) != int(c.LongRate) || got.Alert != c.Alert {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}
