package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/decl"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

const (
	// majorityTimeout is how long a change waits for the answers of a majority before it may be
	// written without them. It leaves time for a second attempt over new connections.
	majorityTimeout = 1500 * time.Millisecond
	// agreementTimeout is longer than storeSettle, so that an entry that started just before the
	// store did still accepts the change.
	agreementTimeout = 5 * time.Second
	// writeTimeout bounds the attempts to write a change while nothing can have been written.
	writeTimeout = 3 * time.Second
	// unknownWriteTimeout bounds the attempts to find out whether a change was written.
	unknownWriteTimeout = 6 * time.Second
	// confirmTimeout bounds the wait until a majority knows a stored change. With writeTimeout it takes
	// up the 11 s in which an operator expects an answer at the design size.
	confirmTimeout = 8 * time.Second
	// applyTimeout is longer than the longest sequence of waits in one call of Apply, not counting store
	// calls that time out: agreementTimeout, unknownWriteTimeout and confirmTimeout, 19 s together.
	applyTimeout = 20 * time.Second
	// resendInterval is how often a message is sent again until the awaited answers have arrived.
	resendInterval = 300 * time.Millisecond
	// pollInterval is how often the answers are counted.
	pollInterval = 10 * time.Millisecond
	// maxIDBytes is the largest size of a change ID and of an author.
	maxIDBytes = 64
)

// change is the state of one call of Apply.
type change struct {
	c            *Cluster
	req          *poplargwv1.ApplyRequest
	maybeWritten bool // A write was sent, but no reply arrived.
}

// Apply replaces the configuration. It is idempotent by change ID: repeating a change that took
// effect returns its version. It does not depend on the caller's context, so that a stored change
// is propagated even if the operator disconnects; it ends within applyTimeout. The outcome is in
// the response; the error is always nil.
func (c *Cluster) Apply(_ context.Context, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	a := &change{c: c, req: req, maybeWritten: c.uncertain.has(req.GetChangeId())}
	ctx, cancel := context.WithTimeout(c.ctx, applyTimeout)
	defer cancel()
	resp := a.run(ctx)
	if resp.GetState() == poplargwv1.ApplyState_APPLY_STATE_UNKNOWN {
		c.uncertain.add(req.GetChangeId())
	}
	c.opts.Log.Info(event.ChangeEnded, event.Fields{
		"change": req.GetChangeId(), "author": req.GetAuthor(), "state": resp.GetState().String(), "version": resp.GetVersion(),
	})
	return resp, nil
}

// run validates, writes and confirms the change.
func (a *change) run(ctx context.Context) *poplargwv1.ApplyResponse {
	if err := validateRequest(a.req); err != nil {
		return rejected(err.Error())
	}
	if version, ok := a.ownVersion(); ok {
		return a.confirm(ctx, version)
	}
	if err := a.awaitAgreement(ctx); err != nil && !a.maybeWritten {
		return rejected(err.Error())
	}
	if resp := a.writeRecord(ctx); resp != nil {
		return resp
	}
	version, _ := a.ownVersion()
	return a.confirm(ctx, version)
}

// validateRequest checks the sizes and the configuration of the request.
func validateRequest(r *poplargwv1.ApplyRequest) error {
	if n := len(r.GetChangeId()); n == 0 || n > maxIDBytes {
		return trace.BadParameter("change_id has %d bytes; allowed: 1 to %d", n, maxIDBytes)
	}
	if n := len(r.GetAuthor()); n > maxIDBytes {
		return trace.BadParameter("author has %d bytes; allowed: 0 to %d", n, maxIDBytes)
	}
	if err := decl.Validate(r.GetConfig()); err != nil {
		return err
	}
	if n := proto.Size(r.GetConfig()); n > store.MaxValue-1024 {
		return trace.BadParameter("the configuration has %d bytes; allowed: up to %d", n, store.MaxValue-1024)
	}
	return nil
}

// ownVersion returns the version with which this change is known to have taken effect.
func (a *change) ownVersion() (uint64, bool) {
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	version, ok := a.c.history.versionByChange[a.req.GetChangeId()]
	return version, ok
}

// awaitAgreement asks a majority for newer records. A store that was restored to an older record
// would otherwise accept this change with the version of a change accepted before. Without a
// majority the change is allowed only if the store has answered for storeSettle.
func (a *change) awaitAgreement(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, agreementTimeout)
	defer cancel()
	begin := time.Now()
	agreed := a.c.sendUntil(ctx, a.c.heartbeatAll, func(st *member.State, now time.Time) bool {
		return st.MajorityKnowsNothingNewer(begin, now) || now.Sub(begin) > majorityTimeout && st.StoreSettled()
	})
	if !agreed {
		return errors.New("nothing was written: no majority of the entries answered, and the store has not been reachable long enough")
	}
	return nil
}

// writeRecord writes the change to the store. It returns nil if the change is or was in force,
// and otherwise the response to the operator.
func (a *change) writeRecord(ctx context.Context) *poplargwv1.ApplyResponse {
	begin := time.Now()
	for {
		resp, err := a.tryWrite(ctx)
		if _, ok := a.ownVersion(); ok {
			return nil
		}
		if resp != nil {
			return resp
		}
		limit := writeTimeout
		if a.maybeWritten {
			limit = unknownWriteTimeout
		}
		if time.Since(begin) > limit || !boottime.Sleep(ctx, retryDelay) {
			return a.unresolvedResponse(err)
		}
	}
}

// tryWrite reads the record in force and, if the change is based on it, writes the change. The
// response is nil if the write succeeded or has to be attempted again.
func (a *change) tryWrite(ctx context.Context) (*poplargwv1.ApplyResponse, error) {
	r, revision, err := a.c.read(ctx, configRecord)
	if err != nil {
		return nil, err
	}
	current := r.(*poplargwv1.ConfigRecord)
	if _, ok := a.ownVersion(); ok {
		return nil, nil
	}
	if current.GetVersion() != a.req.GetBaseVersion() {
		return a.conflictResponse(current), nil
	}
	next := &poplargwv1.ConfigRecord{
		Version: current.GetVersion() + 1, ChangeId: a.req.GetChangeId(), Author: a.req.GetAuthor(),
		CreatedUnixMs: time.Now().UnixMilli(), Config: a.req.GetConfig(),
	}
	_, err = a.c.compareAndSwap(ctx, configRecord, next, revision)
	switch {
	case err == nil:
		a.c.Adopt(next, nil)
	case errors.Is(err, store.ErrUnavailable):
		a.maybeWritten = true
	}
	return nil, err
}

// conflictResponse returns the response to a change that is not based on the record in force. The
// state is unknown, not conflict, if the change may have been in force before that record.
func (a *change) conflictResponse(current *poplargwv1.ConfigRecord) *poplargwv1.ApplyResponse {
	ownVersion := a.req.GetBaseVersion() + 1
	a.c.mu.Lock()
	_, seen := a.c.history.changeByVersion[ownVersion]
	a.c.mu.Unlock()
	if a.maybeWritten && current.GetVersion() > ownVersion && !seen {
		return &poplargwv1.ApplyResponse{
			State: poplargwv1.ApplyState_APPLY_STATE_UNKNOWN, Version: ownVersion, Conflict: current,
			Message: fmt.Sprintf("version %d is in force; it is unknown whether this change was version %d before", current.GetVersion(), ownVersion),
		}
	}
	return &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_CONFLICT, Version: current.GetVersion(), Conflict: current,
		Message: fmt.Sprintf("planned on version %d, but change %q by %q created version %d",
			a.req.GetBaseVersion(), current.GetChangeId(), current.GetAuthor(), current.GetVersion()),
	}
}

// unresolvedResponse returns the response to a change for which the store calls failed until the
// timeout.
func (a *change) unresolvedResponse(err error) *poplargwv1.ApplyResponse {
	if a.maybeWritten {
		return &poplargwv1.ApplyResponse{
			State:   poplargwv1.ApplyState_APPLY_STATE_UNKNOWN,
			Version: a.req.GetBaseVersion() + 1,
			Message: fmt.Sprintf("the change may have been written; retry with the same change ID: %v", err),
		}
	}
	return rejected(fmt.Sprintf("nothing was written: %v", err))
}

// confirm sends the record to the other members until a majority knows it.
func (a *change) confirm(ctx context.Context, version uint64) *poplargwv1.ApplyResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := func(st *member.State, _ time.Time) bool {
		_, majority := st.KnownConfig(version)
		return majority
	}
	if a.c.sendUntil(ctx, func() { a.c.publishToUnconfirmed(version) }, confirmed) {
		return &poplargwv1.ApplyResponse{State: poplargwv1.ApplyState_APPLY_STATE_ACCEPTED, Version: version}
	}
	var n int
	a.c.inspect(func(st *member.State, _ time.Time) { n, _ = st.KnownConfig(version) })
	return &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_STORED, Version: version,
		Message: fmt.Sprintf("the store holds the change; %d of %d entries have confirmed it", n, len(a.c.Table().GetMembers())),
	}
}

// sendUntil calls send every resendInterval until done returns true or ctx ends. It reports whether
// done returned true.
func (c *Cluster) sendUntil(ctx context.Context, send func(), done func(*member.State, time.Time) bool) bool {
	var sent time.Time
	for {
		var ok bool
		c.inspect(func(st *member.State, now time.Time) { ok = done(st, now) })
		if ok {
			return true
		}
		if time.Since(sent) >= resendInterval {
			send()
			sent = time.Now()
		}
		if !boottime.Sleep(ctx, pollInterval) {
			return false
		}
	}
}

// heartbeatAll sends a heartbeat to every other member.
func (c *Cluster) heartbeatAll() {
	for _, m := range c.otherMembers() {
		c.goBackground(func(ctx context.Context) { c.sendHeartbeat(ctx, m) })
	}
}

// publishToUnconfirmed sends the newest records to the members that have not confirmed the
// configuration version.
func (c *Cluster) publishToUnconfirmed(version uint64) {
	for _, m := range c.otherMembers() {
		var a member.Answer
		c.inspect(func(st *member.State, _ time.Time) { a, _ = st.Peer(m.GetId()) })
		if a.Config < version || !a.Synced {
			c.goBackground(func(ctx context.Context) { c.publish(ctx, m) })
		}
	}
}

func rejected(message string) *poplargwv1.ApplyResponse {
	return &poplargwv1.ApplyResponse{State: poplargwv1.ApplyState_APPLY_STATE_REJECTED, Message: message}
}
