package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/decl"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

const (
	// majorityLimit is how long a change waits for the answers of a majority before it is written. It
	// leaves time for a second try over fresh connections.
	majorityLimit = 1500 * time.Millisecond
	// agreeLimit is above storeSettle: an entry that started just before the store did still takes the change.
	agreeLimit = 5 * time.Second
	// writeLimit bounds the tries to write a change while nothing can have been written.
	writeLimit = 3 * time.Second
	// settleLimit bounds the tries to find out whether a change was written.
	settleLimit = 6 * time.Second
	// confirmLimit bounds the wait for a majority to know a stored change. Together with the others it
	// stays within the time in which an operator expects an answer at the design size (11 s).
	confirmLimit = 8 * time.Second
	// applyLimit is above the sum of the limits above, but for store calls at their timeout.
	applyLimit = 20 * time.Second
	// confirmEvery is how often the record is sent again to members that have not confirmed it.
	confirmEvery = 300 * time.Millisecond
	// confirmPoll is how often answers are counted.
	confirmPoll = 10 * time.Millisecond
	// maxID is the longest change ID and author in bytes.
	maxID = 64
)

// change is one call of Apply.
type change struct {
	c       *Cluster
	req     *poplargwv1.ApplyRequest
	written bool // A write was sent whose reply did not arrive.
}

// Apply replaces the configuration. It is idempotent by change ID: a repeat of a change
// that took effect reports that. It goes on when the caller's context ends, so that a
// stored change is spread although the operator has gone; it ends within applyLimit.
func (c *Cluster) Apply(_ context.Context, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	a := &change{c: c, req: req, written: c.doubtful.has(req.GetChangeId())}
	ctx, cancel := context.WithTimeout(c.ctx, applyLimit)
	defer cancel()
	resp := a.run(ctx)
	if resp.GetState() == poplargwv1.ApplyState_APPLY_STATE_UNKNOWN {
		c.doubtful.add(req.GetChangeId())
	}
	c.o.Log.Info(event.ChangeEnded, event.Fields{
		"change": req.GetChangeId(), "author": req.GetAuthor(), "state": resp.GetState().String(), "version": resp.GetVersion(),
	})
	return resp, nil
}

func (a *change) run(ctx context.Context) *poplargwv1.ApplyResponse {
	if err := checkRequest(a.req); err != nil {
		return rejected(err.Error())
	}
	if version, ok := a.own(); ok {
		return a.confirm(ctx, version)
	}
	if err := a.agree(ctx); err != nil && !a.written {
		return rejected(err.Error())
	}
	if resp := a.write(ctx); resp != nil {
		return resp
	}
	version, _ := a.own()
	return a.confirm(ctx, version)
}

func checkRequest(r *poplargwv1.ApplyRequest) error {
	if n := len(r.GetChangeId()); n == 0 || n > maxID {
		return trace.BadParameter("change_id has %d bytes; allowed: 1 to %d", n, maxID)
	}
	if n := len(r.GetAuthor()); n > maxID {
		return trace.BadParameter("author has %d bytes; allowed: 0 to %d", n, maxID)
	}
	if err := decl.Validate(r.GetConfig()); err != nil {
		return err
	}
	if n := proto.Size(r.GetConfig()); n > store.MaxValue-1024 {
		return trace.BadParameter("the configuration has %d bytes; allowed: up to %d", n, store.MaxValue-1024)
	}
	return nil
}

// own returns the version under which this change is known to have taken effect.
func (a *change) own() (uint64, bool) {
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	version, ok := a.c.history.versions[a.req.GetChangeId()]
	return version, ok
}

// agree asks a majority for newer records. A store that went back to an older record would otherwise
// take this change under a version that an accepted change already has. Without a majority
// the change is allowed only if the store has been sound for a while.
func (a *change) agree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, agreeLimit)
	defer cancel()
	begin := time.Now()
	agreed := a.c.until(ctx, a.c.beatAll, func(st *member.State, now time.Time) bool {
		return st.HeardMajority(begin, now) || now.Sub(begin) > majorityLimit && st.StoreSettled()
	})
	if !agreed {
		return errors.New("nothing was written: no majority of the entries answers and the store has not answered long enough")
	}
	return nil
}

// write brings the change into the store. It returns nil when the change is the
// record in force or was it before, and the answer otherwise.
func (a *change) write(ctx context.Context) *poplargwv1.ApplyResponse {
	begin := time.Now()
	for {
		resp, err := a.try(ctx)
		if _, ok := a.own(); ok {
			return nil
		}
		if resp != nil {
			return resp
		}
		limit := writeLimit
		if a.written {
			limit = settleLimit
		}
		if time.Since(begin) > limit || !pause(ctx, retryPause) {
			return a.gaveUp(err)
		}
	}
}

// try reads the record in force and, if the change was planned on it, writes the
// change. It returns nil if that has to be tried again or has succeeded.
func (a *change) try(ctx context.Context) (*poplargwv1.ApplyResponse, error) {
	r, revision, err := a.c.read(ctx, configRecord)
	if err != nil {
		return nil, err
	}
	current := r.(*poplargwv1.ConfigRecord)
	if _, ok := a.own(); ok {
		return nil, nil
	}
	if current.GetVersion() != a.req.GetBaseVersion() {
		return a.overtaken(current), nil
	}
	next := &poplargwv1.ConfigRecord{
		Version: current.GetVersion() + 1, ChangeId: a.req.GetChangeId(), Author: a.req.GetAuthor(),
		CreatedUnixMs: time.Now().UnixMilli(), Config: a.req.GetConfig(),
	}
	_, err = a.c.swap(ctx, configRecord, next, revision)
	switch {
	case err == nil:
		a.c.Adopt(next, nil)
	case errors.Is(err, store.ErrUnavailable):
		a.written = true
	}
	return nil, err
}

// overtaken answers a change that is not the record in force.
func (a *change) overtaken(winner *poplargwv1.ConfigRecord) *poplargwv1.ApplyResponse {
	own := a.req.GetBaseVersion() + 1
	a.c.mu.Lock()
	_, seen := a.c.history.changes[own]
	a.c.mu.Unlock()
	if a.written && winner.GetVersion() > own && !seen {
		return &poplargwv1.ApplyResponse{
			State: poplargwv1.ApplyState_APPLY_STATE_UNKNOWN, Version: own, Conflict: winner,
			Message: fmt.Sprintf("version %d is in force; whether this change was version %d before cannot be told", winner.GetVersion(), own),
		}
	}
	return &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_CONFLICT, Version: winner.GetVersion(), Conflict: winner,
		Message: fmt.Sprintf("planned on version %d, but change %q of %q made version %d",
			a.req.GetBaseVersion(), winner.GetChangeId(), winner.GetAuthor(), winner.GetVersion()),
	}
}

// gaveUp answers a change when the store did not say what became of it.
func (a *change) gaveUp(err error) *poplargwv1.ApplyResponse {
	if a.written {
		return &poplargwv1.ApplyResponse{
			State:   poplargwv1.ApplyState_APPLY_STATE_UNKNOWN,
			Version: a.req.GetBaseVersion() + 1,
			Message: fmt.Sprintf("the change may have been written; ask again with the same change ID: %v", err),
		}
	}
	return rejected(fmt.Sprintf("nothing was written: %v", err))
}

// confirm sends the record to the other members until a majority knows it.
func (a *change) confirm(ctx context.Context, version uint64) *poplargwv1.ApplyResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	known := func(st *member.State, _ time.Time) bool {
		_, majority := st.KnownConfig(version)
		return majority
	}
	if a.c.until(ctx, func() { a.c.publishTo(version) }, known) {
		return &poplargwv1.ApplyResponse{State: poplargwv1.ApplyState_APPLY_STATE_ACCEPTED, Version: version}
	}
	var n int
	a.c.inspect(func(st *member.State, _ time.Time) { n, _ = st.KnownConfig(version) })
	return &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_STORED, Version: version,
		Message: fmt.Sprintf("the store holds the change; %d of %d entries have confirmed it", n, len(a.c.Table().GetMembers())),
	}
}

// until repeats the sending of messages until the condition holds or ctx ends.
func (c *Cluster) until(ctx context.Context, send func(), done func(*member.State, time.Time) bool) bool {
	var sent time.Time
	for {
		var ok bool
		c.inspect(func(st *member.State, now time.Time) { ok = done(st, now) })
		if ok {
			return true
		}
		if time.Since(sent) >= confirmEvery {
			send()
			sent = time.Now()
		}
		if !pause(ctx, confirmPoll) {
			return false
		}
	}
}

// beatAll sends a heartbeat to every other member.
func (c *Cluster) beatAll() {
	for _, m := range c.others() {
		c.background(func(ctx context.Context) { c.beat(ctx, m) })
	}
}

// publishTo sends the newest records to the members that have not confirmed the configuration version.
func (c *Cluster) publishTo(version uint64) {
	for _, m := range c.others() {
		var a member.Answer
		c.inspect(func(st *member.State, _ time.Time) { a, _ = st.Peer(m.GetId()) })
		if a.Config < version || !a.Synced {
			c.background(func(ctx context.Context) { c.publish(ctx, m) })
		}
	}
}

func rejected(message string) *poplargwv1.ApplyResponse {
	return &poplargwv1.ApplyResponse{State: poplargwv1.ApplyState_APPLY_STATE_REJECTED, Message: message}
}
