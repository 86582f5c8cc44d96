package entry

import (
	"context"
	"errors"
	"sync"

	"poplargw.example/dispatch/result"
)

// errIsolated is the cause of calls that end because this entry is cut off from the others.
var errIsolated = errors.New("this entry reaches neither the store nor a majority of the entries")

// isolation tells the calls of this entry's callers when the entry has been cut off for
// so long that the others may have replaced it. A caller is then better served elsewhere.
type isolation struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newIsolation() *isolation {
	i := &isolation{}
	i.ctx, i.cancel = context.WithCancelCause(context.Background())
	return i
}

// set notes whether the entry is cut off, and tells whether it has just been. That ends
// the contexts of while.
func (i *isolation) set(isolated bool) (entered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch was := i.ctx.Err() != nil; {
	case isolated && !was:
		i.cancel(errIsolated)
		return true
	case !isolated && was:
		i.ctx, i.cancel = context.WithCancelCause(context.Background())
	}
	return false
}

// while returns a context that ends, with errIsolated as its cause, when the entry is cut off.
func (i *isolation) while(ctx context.Context) (context.Context, context.CancelFunc) {
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

func isolated(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errIsolated) }

// abandoned is the reply to a call whose context has ended before the outcome was known.
func abandoned(ctx context.Context, message string) reply {
	if isolated(ctx) {
		return reply{failure: notFresh()}
	}
	return reply{failure: outcomeUnknown(message)}
}

// notFresh is the failure of a submission at an entry that is cut off. Its effect is
// unknown: other entries may have become home of the submission and run it.
func notFresh() *result.Failure {
	return &result.Failure{Code: result.NotReady, Effect: result.Unknown, RetryAfter: retrySoon, Message: errIsolated.Error()}
}
