package runagent

import (
	"context"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/run"
)

// Announcement is the state that one incarnation of the backend server has announced.
type Announcement struct {
	Server run.Server
	// Incarnation identifies the incarnation; 0 means that there is no announcement.
	Incarnation int64
}

// AnnouncementStore stores the newest announcement so that a restarted agent can load it. Calls return
// when their context ends.
type AnnouncementStore interface {
	// Save replaces the stored announcement.
	Save(ctx context.Context, a Announcement) error
	// Load returns the stored announcement, or false if there is none.
	Load(ctx context.Context) (Announcement, bool, error)
}

const (
	// storeCallTimeout bounds one call, like other calls to the store.
	storeCallTimeout = 800 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed call, which doubles each
	// time.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
	// loadTimeout is how long a starting agent tries to load the announcement. By then its backend server
	// has announced itself.
	loadTimeout = 3 * time.Second
	// resaveInterval is the time between two saves of an unchanged announcement. The store deletes an
	// announcement that has not been saved for some minutes.
	resaveInterval = 3 * time.Minute
	// minSaveInterval is the time after a save during which changes are only collected: writes to the store
	// have a price, and the capacity may change with each announcement.
	minSaveInterval = time.Second
)

// queueSave passes an announcement to saveLoop, in place of one that is still queued. The caller must hold
// a.mu.
func (a *Agent) queueSave(n Announcement) {
	select {
	case <-a.pendingSave:
	default:
	}
	a.pendingSave <- n
}

// saveLoop saves the newest announcement after each change, at most once every minSaveInterval, and again every
// resaveInterval, until ctx ends.
func (a *Agent) saveLoop(ctx context.Context) {
	if a.Announcements == nil {
		return
	}
	var latest Announcement
	ticker := time.NewTicker(resaveInterval)
	defer ticker.Stop()
	for {
		select {
		case latest = <-a.pendingSave:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if latest.Incarnation == 0 {
			continue
		}
		a.save(ctx, latest)
		boottime.Sleep(ctx, minSaveInterval)
	}
}

// save retries until the announcement is saved, a newer one is queued or ctx ends. It logs only the first
// failure, because a store outage may last long.
func (a *Agent) save(ctx context.Context, n Announcement) {
	failed := false
	for delay := minStoreRetryDelay; ctx.Err() == nil && len(a.pendingSave) == 0; {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := a.Announcements.Save(callCtx, n)
		cancel()
		if err == nil {
			return
		}
		if !failed {
			failed = true
			a.Log.Warn(event.AnnouncementNotSaved, event.Fields{"instance": n.Server.Instance, "error": err.Error()})
		}
		boottime.Sleep(ctx, delay)
		delay = min(2*delay, maxStoreRetryDelay)
	}
}

// loadAnnouncement loads the announcement that a previous process of this agent saved. It retries failed
// calls until loadTimeout.
func (a *Agent) loadAnnouncement(ctx context.Context) {
	if a.Announcements == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for delay := minStoreRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxStoreRetryDelay) {
		callCtx, cancelCall := context.WithTimeout(ctx, storeCallTimeout)
		n, ok, err := a.Announcements.Load(callCtx)
		cancelCall()
		if err == nil {
			if ok {
				a.restoreAnnouncement(n)
			}
			return
		}
		a.Log.Warn(event.AnnouncementNotLoaded, event.Fields{"error": err.Error()})
		boottime.Sleep(ctx, delay)
	}
}

// restoreAnnouncement passes a loaded announcement to the table of runs.
func (a *Agent) restoreAnnouncement(n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RestoreServer(n.Server, n.Incarnation)
	a.Log.Info(event.AnnouncementRestored, event.Fields{"instance": n.Server.Instance, "state": int(n.Server.State)})
}
