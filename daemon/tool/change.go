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
	// askPause is the pause before the same change is asked for again.
	askPause = 300 * time.Millisecond
	// defaultWait is the time in which a change has to be in force everywhere at the design size.
	defaultWait = 11 * time.Second
)

// errUnsettled reports a change whose outcome could not be found out in time.
var errUnsettled = errors.New("the outcome of the change is unknown")

// propose asks for a change until its outcome is known or ctx ends. A call without an answer is
// repeated with the same change ID, which cannot make the change twice.
func propose(ctx context.Context, es *entries, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	doubt := false
	for {
		resp, err := es.apply(ctx, req)
		if refused := (failure{}); errors.As(err, &refused) {
			return nil, err
		}
		if err == nil {
			if settled(req, resp, doubt) {
				return resp, nil
			}
			err = errors.New(resp.GetMessage())
		}
		doubt = doubt || !neverSent(err)
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			if !doubt {
				return nil, fail(ExitUnreachable, err)
			}
			return nil, fail(ExitUnknown, fmt.Errorf("%w: change %s on version %d: %w", errUnsettled, req.GetChangeId(), req.GetBaseVersion(), err))
		}
	}
}

// settled tells whether an answer is final. Once a call has gone without an answer, an entry that
// did not get that call cannot tell that nothing was written. It can tell that another change won
// only if that change took the next version; after later ones, this one may have been in between.
func settled(req *poplargwv1.ApplyRequest, r *poplargwv1.ApplyResponse, doubt bool) bool {
	switch r.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED, poplargwv1.ApplyState_APPLY_STATE_STORED:
		return true
	case poplargwv1.ApplyState_APPLY_STATE_CONFLICT:
		return !doubt || r.GetVersion() <= req.GetBaseVersion()+1
	case poplargwv1.ApplyState_APPLY_STATE_REJECTED:
		return !doubt
	}
	return false
}

// request returns a change of the record with a new change ID.
func request(c *cli.Command, base *poplargwv1.ConfigRecord, config *poplargwv1.Config) *poplargwv1.ApplyRequest {
	return &poplargwv1.ApplyRequest{
		BaseVersion: base.GetVersion(), ChangeId: uuid.NewString(), Author: author(c), Config: config,
	}
}

func author(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeFlags are the flags of commands that change the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return commonFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with the change; default: the user name"},
		&cli.DurationFlag{Name: "wait", Usage: "`TIME` limit for every process to confirm an accepted change", Value: defaultWait},
	}, more...)...)
}

// modify reads the configuration, changes it and applies it, again after a conflict if the
// change is still wanted.
func modify(ctx context.Context, c *cli.Command, f func(*poplargwv1.Config) (*poplargwv1.Config, error)) error {
	es := entriesOf(c)
	for {
		base, err := es.current(ctx)
		if err != nil {
			return err
		}
		next, err := f(base.GetConfig())
		if err != nil {
			return fail(ExitFailed, err)
		}
		lines := decl.Diff(base.GetConfig(), next)
		if len(lines) == 0 {
			return unchanged(ctx, c, es, base)
		}
		req := request(c, base, next)
		resp, err := propose(ctx, es, req)
		if err != nil {
			return err
		}
		if resp.GetState() != poplargwv1.ApplyState_APPLY_STATE_CONFLICT || ctx.Err() != nil {
			return report(ctx, c, es, req.GetChangeId(), base, lines, resp)
		}
		// The conflict can be with a record that this entry adopts a moment later.
		time.Sleep(askPause)
	}
}

// unchanged reports that the wanted configuration is in force already. An earlier change may
// have brought it there that a majority has not confirmed yet.
func unchanged(ctx context.Context, c *cli.Command, es *entries, base *poplargwv1.ConfigRecord) error {
	st, err := es.status(ctx)
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
	return report(ctx, c, es, "", base, nil, resp)
}
