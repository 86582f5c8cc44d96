package runagent

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/run"
)

// Announcement is what one life of the backend server says of itself.
type Announcement struct {
	Server run.Server
	// Born names the life.
	Born int64
}

// Memory keeps the newest announcement while the agent is away. Calls end with their context.
type Memory interface {
	Save(ctx context.Context, a Announcement) error
	// Load returns the announcement that was kept, and false if there is none.
	Load(ctx context.Context) (Announcement, bool, error)
}

const (
	// memoryLimit bounds one call, as other calls of the store.
	memoryLimit = 800 * time.Millisecond
	// memoryFirst and memoryLast bound the pause after a failed call, which doubles.
	memoryFirst = 100 * time.Millisecond
	memoryLast  = 2 * time.Second
	// recallFor is how long after its start an agent tries to load the announcement: by then its backend
	// server has announced itself.
	recallFor = 3 * time.Second
	// saveAgain is the time between two saves of an unchanged announcement: the store forgets it some
	// minutes after the agent is gone for good.
	saveAgain = 3 * time.Minute
)

// remember hands the newest announcement to the goroutine that keeps it. The caller holds the lock.
func (a *Agent) remember(n Announcement) {
	select {
	case <-a.announced:
	default:
	}
	a.announced <- n
}

// keep saves announcements until ctx ends.
func (a *Agent) keep(ctx context.Context) {
	if a.Memory == nil {
		return
	}
	var last Announcement
	again := time.NewTicker(saveAgain)
	defer again.Stop()
	for {
		select {
		case last = <-a.announced:
		case <-again.C:
		case <-ctx.Done():
			return
		}
		if last.Born != 0 {
			a.save(ctx, last)
		}
	}
}

// save tries until the announcement is kept or a newer one waits. It logs the first failure only: the
// store may be away for long.
func (a *Agent) save(ctx context.Context, n Announcement) {
	failed := false
	for pause := memoryFirst; ctx.Err() == nil && len(a.announced) == 0; {
		call, cancel := context.WithTimeout(ctx, memoryLimit)
		err := a.Memory.Save(call, n)
		cancel()
		if err == nil {
			return
		}
		if !failed {
			failed = true
			a.Log.Warn(event.AnnouncementNotSaved, event.Fields{"instance": n.Server.Instance, "error": err.Error()})
		}
		steady.Sleep(ctx, pause)
		pause = min(2*pause, memoryLast)
	}
}

// recall loads the announcement to a former life of the agent, once.
func (a *Agent) recall(ctx context.Context) {
	if a.Memory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recallFor)
	defer cancel()
	for pause := memoryFirst; ctx.Err() == nil; pause = min(2*pause, memoryLast) {
		call, done := context.WithTimeout(ctx, memoryLimit)
		n, ok, err := a.Memory.Load(call)
		done()
		if err == nil {
			if ok {
				a.adopt(n)
			}
			return
		}
		a.Log.Warn(event.AnnouncementNotLoaded, event.Fields{"error": err.Error()})
		steady.Sleep(ctx, pause)
	}
}

func (a *Agent) adopt(n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Recall(n.Server, n.Born)
	a.Log.Info(event.AnnouncementRecalled, event.Fields{"instance": n.Server.Instance, "state": int(n.Server.State)})
}
