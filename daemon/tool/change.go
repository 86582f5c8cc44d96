package tool

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/operator"
	"poplargw.example/dispatch/decl"
)

const (
	// retryInterval is the pause before a call is repeated.
	retryInterval = 300 * time.Millisecond
	// defaultWait is the time within which a change must be in force everywhere at the largest system
	// size that the design covers.
	defaultWait = 11 * time.Second
)

// errOutcomeUnknown reports a change whose outcome could not be determined in time.
var errOutcomeUnknown = errors.New("the outcome of the change is unknown")

// applyUntilFinal calls Apply until the outcome of the change is known or ctx ends. A call without an
// answer is repeated with the same change ID, so that the change cannot be made twice.
func applyUntilFinal(ctx context.Context, pool *entryPool, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	maybeStored := false
	for {
		resp, err := pool.apply(ctx, req)
		if refused := (exitError{}); errors.As(err, &refused) {
			return nil, err
		}
		if err == nil {
			if isFinal(req, resp, maybeStored) {
				return resp, nil
			}
			err = errors.New(resp.GetMessage())
		}
		maybeStored = maybeStored || !isDialError(err)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			if !maybeStored {
				return nil, withExitCode(ExitUnreachable, err)
			}
			return nil, withExitCode(ExitUnknown, fmt.Errorf("%w: change %s on version %d: %w", errOutcomeUnknown, req.GetChangeId(), req.GetBaseVersion(), err))
		}
	}
}

// isFinal tells whether an answer settles the outcome of the change. maybeStored is true if an earlier
// call may have written the change without its outcome being known. A rejection is then not final,
// because an entry that did not get that call cannot know whether it wrote the change. A conflict is then
// final only if the other change made the version right after the base: with later versions, this change
// may have made one of those in between.
func isFinal(req *poplargwv1.ApplyRequest, r *poplargwv1.ApplyResponse, maybeStored bool) bool {
	switch r.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED, poplargwv1.ApplyState_APPLY_STATE_STORED:
		return true
	case poplargwv1.ApplyState_APPLY_STATE_CONFLICT:
		return !maybeStored || r.GetVersion() <= req.GetBaseVersion()+1
	case poplargwv1.ApplyState_APPLY_STATE_REJECTED:
		return !maybeStored
	}
	return false
}

// newApplyRequest returns a request, with a new change ID, to replace the configuration of base.
func newApplyRequest(c *cli.Command, base *poplargwv1.ConfigRecord, config *poplargwv1.Config) *poplargwv1.ApplyRequest {
	return &poplargwv1.ApplyRequest{
		BaseVersion: base.GetVersion(), ChangeId: uuid.NewString(), Author: author(c), Config: config,
	}
}

// author returns the --author flag, or else the name of the current user.
func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeFlags returns the flags of commands that change the configuration, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return commonFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with the change; default: the user name"},
		&cli.DurationFlag{Name: "wait", Usage: "`TIME` limit for every process to confirm an accepted change", Value: defaultWait},
	}, more...)...)
}

// modifyConfig reads the configuration, changes it by f and applies it. After a conflict it starts
// again from the newer configuration. If f changes nothing, it only reports the state.
func modifyConfig(ctx context.Context, c *cli.Command, f func(*poplargwv1.Config) (*poplargwv1.Config, error)) error {
	pool := newEntryPool(c)
	for {
		base, err := pool.currentConfig(ctx)
		if err != nil {
			return err
		}
		next, err := f(base.GetConfig())
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		lines := decl.Diff(base.GetConfig(), next)
		if len(lines) == 0 {
			return reportUnchanged(ctx, c, pool, base)
		}
		req := newApplyRequest(c, base, next)
		resp, err := applyUntilFinal(ctx, pool, req)
		if err != nil {
			return err
		}
		if resp.GetState() != poplargwv1.ApplyState_APPLY_STATE_CONFLICT || ctx.Err() != nil {
			return reportChange(ctx, c, pool, req.GetChangeId(), base, lines, resp)
		}
		// The conflicting record may reach this entry only a moment later.
		time.Sleep(retryInterval)
	}
}

// reportUnchanged reports that the configuration already is as requested. Its state is "stored" while
// only a minority of the entries has confirmed the version, which an earlier change may have made just
// before.
func reportUnchanged(ctx context.Context, c *cli.Command, pool *entryPool, base *poplargwv1.ConfigRecord) error {
	st, err := pool.status(ctx)
	if err != nil {
		return err
	}
	resp := &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_STORED, Version: base.GetVersion(), Message: "nothing to change",
	}
	confirmation := operator.NewConfirmation(base.GetVersion(), nil)
	confirmation.Observe(st)
	resp.Unconfirmed = confirmation.Unconfirmed()
	confirmed := 0
	for _, e := range st.GetEntries() {
		if e.GetConfigVersion() >= base.GetVersion() {
			confirmed++
		}
	}
	if confirmed > len(st.GetEntries())/2 {
		resp.State = poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	}
	return reportChange(ctx, c, pool, "", base, nil, resp)
}
