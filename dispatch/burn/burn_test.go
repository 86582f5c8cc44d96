package burn

import (
	"testing"
	"time"
)

// Guards against an alert that continues after its cause is gone, and against one for a short loss.
func TestAlertNeedsBothWindows(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sample := func(age time.Duration, good, total uint64) Sample {
		return Sample{Begin: now.Add(-age), Length: 10 * time.Second, Count: Count{good, total}}
	}
	for name, c := range map[string]struct {
		Report
		samples []Sample
	}{
		"continues":               {Report{Short: 50, Long: 50, Alert: true}, []Sample{sample(time.Minute, 20, 50), sample(time.Minute, 30, 50)}},
		"ended":                   {Report{Short: 0, Long: 50}, []Sample{sample(20*time.Minute, 0, 100), sample(time.Minute, 100, 100)}},
		"short loss":              {Report{Short: 100, Long: 10}, []Sample{sample(20*time.Minute, 900, 900), sample(time.Minute, 0, 100)}},
		"outside the long window": {Report{Short: 0, Long: 0}, []Sample{sample(2*time.Hour, 0, 100), sample(time.Minute, 100, 100)}},
	} {
		got := Compute(now, c.samples, func(Series) *Objective { return &Objective{time.Second, 0.99} }, Rule{DefaultShort, DefaultLong, DefaultFactor})[0]
		if int(got.Short+0.5) != int(c.Short) || int(got.Long+0.5) != int(c.Long) || got.Alert != c.Alert {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}
