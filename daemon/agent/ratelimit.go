package agent

import "time"

// slotReportRate returns how many slot-change reports one entry may get per second.
func (a *Agent) slotReportRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slotReportsPerSecond / float64(max(1, len(a.reporters)))
}

// tokenBucket is a rate limiter. Tokens may become negative: each call of take
// reserves one, and the caller waits until it is available.
type tokenBucket struct {
	burst, tokens float64
	refilled      time.Time
}

func newTokenBucket(burst float64) tokenBucket { return tokenBucket{burst: burst, tokens: burst} }

// take reserves one token at the given refill rate and returns how long to wait for it.
func (b *tokenBucket) take(now time.Time, perSecond float64) time.Duration {
	if !b.refilled.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilled).Seconds()*perSecond)
	}
	b.refilled = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}
