package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/operator"
)

// reportChange waits until every process has confirmed an accepted change or the --wait limit has
// passed, shows the outcome and returns the error that carries the exit code.
func reportChange(ctx context.Context, c *cli.Command, pool *entryPool, changeID string, base *poplargwv1.ConfigRecord, lines []string, r *poplargwv1.ApplyResponse) error {
	waitForConfirmation(ctx, pool, r, c.Duration("wait"))
	doc, err := newChangeDocument(changeID, base.GetVersion(), lines, r)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	err = showDocument(c, doc, func(w io.Writer) {
		printDiff(w, base.GetVersion(), lines)
		printRow(w, stateText(r, changeID))
		if r.GetMessage() != "" {
			printRow(w, r.GetMessage())
		}
		for _, id := range r.GetUnconfirmed() {
			printRow(w, "not confirmed yet: "+id)
		}
	})
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	return changeError(r)
}

// changeDocument is the JSON form of the outcome of a change. ChangeID is empty if there was nothing to change.
type changeDocument struct {
	ChangeID    string          `json:"change_id"`
	BaseVersion uint64          `json:"base_version,string"`
	Changes     []string        `json:"changes"`
	State       string          `json:"state"`
	Version     string          `json:"version"`
	Conflict    json.RawMessage `json:"conflict"`
	Unconfirmed []string        `json:"unconfirmed"`
	Message     string          `json:"message"`
}

// newChangeDocument copies the fields of the response and removes the configuration from r.Conflict.
func newChangeDocument(changeID string, base uint64, lines []string, r *poplargwv1.ApplyResponse) (*changeDocument, error) {
	// Show only which change won: its whole configuration would hide that.
	if r.Conflict != nil {
		r.Conflict.Config = nil
	}
	b, err := messageJSON(r)
	if err != nil {
		return nil, err
	}
	doc := &changeDocument{ChangeID: changeID, BaseVersion: base, Changes: append([]string{}, lines...)}
	return doc, json.Unmarshal(b, doc)
}

// stateText describes the state of a change, for example "accepted: version 5, change 1c5d…".
func stateText(r *poplargwv1.ApplyResponse, changeID string) string {
	text := stateName(r.GetState())
	if r.GetVersion() > 0 {
		text += fmt.Sprintf(": version %d", r.GetVersion())
	}
	if changeID != "" {
		text += ", change " + changeID
	}
	return text
}

// waitForConfirmation polls the status until every process in it has confirmed an accepted change or the
// limit has passed, and updates r.Unconfirmed. It is needed because the entry itself waits for less time
// than a large system needs.
func waitForConfirmation(ctx context.Context, pool *entryPool, r *poplargwv1.ApplyResponse, limit time.Duration) {
	if r.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	confirmation := operator.NewConfirmation(r.GetVersion(), r.GetUnconfirmed())
	for confirmation.Waiting() {
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return
		}
		if st, err := pool.status(ctx); err == nil {
			confirmation.Observe(st)
			r.Unconfirmed = confirmation.Unconfirmed()
		}
	}
}

// changeError returns nil for an accepted change, otherwise an error with the exit code for its state.
func changeError(r *poplargwv1.ApplyResponse) error {
	switch r.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED:
		return nil
	case poplargwv1.ApplyState_APPLY_STATE_CONFLICT:
		conflict := r.GetConflict()
		return shownError(ExitConflict, fmt.Errorf("conflict: change %s of %s made version %d; nothing was changed, plan again",
			conflict.GetChangeId(), conflict.GetAuthor(), conflict.GetVersion()))
	case poplargwv1.ApplyState_APPLY_STATE_STORED:
		return shownError(ExitUnknown, fmt.Errorf("version %d is stored but not confirmed by a majority of the entries", r.GetVersion()))
	}
	return shownError(ExitFailed, fmt.Errorf("the change was rejected: %s", r.GetMessage()))
}
