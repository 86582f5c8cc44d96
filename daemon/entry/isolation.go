package entry

import (
	"context"
	"errors"
	"sync"

	"poplargw.example/dispatch/result"
)

// errIsolated is the cancellation cause of calls that end because this entry is isolated
// from the other entries.
var errIsolated = errors.New("this entry reaches neither the store nor a majority of the entries")

// isolation ends the calls of callers when this entry has been isolated for so long that
// the other entries may have replaced it. The callers can then turn to another entry. It is
// safe for concurrent use.
type isolation struct {
	mu sync.Mutex
	// ctx has ended while the entry is isolated.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newIsolation() *isolation {
	i := &isolation{}
	i.ctx, i.cancel = context.WithCancelCause(context.Background())
	return i
}

// update records whether the entry is isolated, and reports whether it has just become
// isolated. In that case it ends the contexts that untilIsolated returned.
func (i *isolation) update(isolated bool) (entered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch wasIsolated := i.ctx.Err() != nil; {
	case isolated && !wasIsolated:
		i.cancel(errIsolated)
		return true
	case !isolated && wasIsolated:
		i.ctx, i.cancel = context.WithCancelCause(context.Background())
	}
	return false
}

// untilIsolated returns a context that ends, with errIsolated as its cause, when the entry
// is isolated.
func (i *isolation) untilIsolated(ctx context.Context) (context.Context, context.CancelFunc) {
	i.mu.Lock()
	isolated := i.ctx
	i.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(isolated, func() { cancel(errIsolated) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endedByIsolation reports whether ctx has ended because the entry is isolated.
func endedByIsolation(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errIsolated) }

// abandonedReply returns the reply to a call whose context ended before the outcome was known.
func abandonedReply(ctx context.Context, message string) reply {
	if endedByIsolation(ctx) {
		return reply{failure: isolatedFailure()}
	}
	return reply{failure: outcomeUnknown(message)}
}

// isolatedFailure returns the failure of a submission at an isolated entry. Its effect is
// unknown: another entry may have become the home of the submission and run it.
func isolatedFailure() *result.Failure {
	return &result.Failure{Code: result.NotReady, Effect: result.Unknown, RetryAfter: shortRetryAfter, Message: errIsolated.Error()}
}
