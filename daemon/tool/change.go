package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/decl"
)

const (
	// askLimit bounds one Apply call. It is above the time that an entry takes at most.
	askLimit = 25 * time.Second
	// askPause is the pause before the same change is asked for again.
	askPause = 300 * time.Millisecond
)

// errUnsettled reports a change whose outcome could not be found out in time.
var errUnsettled = errors.New("the outcome of the change is unknown")

// current reads the configuration in force.
func current(ctx context.Context, op poplargwv1connect.OperatorClient) (*poplargwv1.ConfigRecord, error) {
	resp, err := op.GetConfig(ctx, connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return nil, callFailed(err)
	}
	return resp.Msg.GetRecord(), nil
}

// propose asks for a change until its outcome is known or ctx ends. A call without an answer is
// repeated with the same change ID, which cannot make the change twice.
func propose(ctx context.Context, op poplargwv1connect.OperatorClient, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	doubt := false
	for {
		resp, err := ask(ctx, op, req)
		if err != nil && !unanswered(err) {
			return nil, fail(ExitFailed, err)
		}
		if err == nil {
			if settled(req, resp, doubt) {
				return resp, nil
			}
			err = errors.New(resp.GetMessage())
		}
		doubt = true
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			return nil, fail(ExitUnknown, fmt.Errorf("%w: change %s: %w", errUnsettled, req.GetChangeId(), err))
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

func ask(ctx context.Context, op poplargwv1connect.OperatorClient, req *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	resp, err := op.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
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

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`NAME` recorded with the change; default: the user name"}
}

// modify reads the configuration, changes it and applies it, again after a conflict if the
// change is still wanted.
func modify(ctx context.Context, c *cli.Command, f func(*poplargwv1.Config) (*poplargwv1.Config, error)) error {
	op := operator(c)
	for {
		base, err := current(ctx, op)
		if err != nil {
			return err
		}
		next, err := f(base.GetConfig())
		if err != nil {
			return fail(ExitFailed, err)
		}
		lines := decl.Diff(base.GetConfig(), next)
		if len(lines) == 0 {
			return unchanged(ctx, c, base)
		}
		resp, err := propose(ctx, op, request(c, base, next))
		if err != nil {
			return err
		}
		if resp.GetState() != poplargwv1.ApplyState_APPLY_STATE_CONFLICT || ctx.Err() != nil {
			return report(c, base.GetVersion(), lines, resp)
		}
		// The conflict can be with a record that this entry adopts a moment later.
		time.Sleep(askPause)
	}
}

// unchanged reports that the wanted configuration is in force already. An earlier change may
// have brought it there that a majority has not confirmed yet.
func unchanged(ctx context.Context, c *cli.Command, base *poplargwv1.ConfigRecord) error {
	st, err := operator(c).GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return callFailed(err)
	}
	resp := &poplargwv1.ApplyResponse{
		State: poplargwv1.ApplyState_APPLY_STATE_STORED, Version: base.GetVersion(), Message: "nothing to change",
	}
	confirmed := 0
	for _, e := range st.Msg.GetEntries() {
		if e.GetConfigVersion() >= base.GetVersion() {
			confirmed++
		} else {
			resp.Unconfirmed = append(resp.Unconfirmed, "entry "+e.GetId())
		}
	}
	if confirmed > len(st.Msg.GetEntries())/2 {
		resp.State = poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	}
	return report(c, base.GetVersion(), nil, resp)
}

// report shows the outcome of a change and returns the error for its exit code.
func report(c *cli.Command, base uint64, lines []string, r *poplargwv1.ApplyResponse) error {
	err := show(c, r, func(w io.Writer) {
		printDiff(w, base, lines)
		row(w, fmt.Sprintf("%s: version %d", stateName(r.GetState()), r.GetVersion()))
		if r.GetMessage() != "" {
			row(w, r.GetMessage())
		}
		for _, id := range r.GetUnconfirmed() {
			row(w, "not confirmed yet: "+id)
		}
	})
	if err != nil {
		return fail(ExitFailed, err)
	}
	return outcome(r)
}

func outcome(r *poplargwv1.ApplyResponse) error {
	switch r.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED:
		return nil
	case poplargwv1.ApplyState_APPLY_STATE_CONFLICT:
		w := r.GetConflict()
		return fail(ExitConflict, fmt.Errorf("conflict: change %s of %s made version %d; nothing was changed",
			w.GetChangeId(), w.GetAuthor(), w.GetVersion()))
	case poplargwv1.ApplyState_APPLY_STATE_STORED:
		return fail(ExitUnknown, fmt.Errorf("version %d is stored but not confirmed by a majority of the entries", r.GetVersion()))
	}
	return fail(ExitFailed, fmt.Errorf("the change was rejected: %s", r.GetMessage()))
}

// readDir reads the declaration files of a directory.
func readDir(dir string) (*decl.Declared, error) {
	files, err := tomlFiles(os.DirFS(dir))
	if err != nil {
		return nil, fail(ExitUsage, fmt.Errorf("%s: %w", dir, err))
	}
	d, err := decl.Parse(files)
	if err != nil {
		return nil, fail(ExitUsage, fmt.Errorf("%s: %w", dir, err))
	}
	return d, nil
}
