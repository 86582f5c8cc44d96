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

// report waits until an accepted change is in force, shows its outcome and returns the error for
// its exit code.
func report(ctx context.Context, c *cli.Command, es *entries, changeID string, base *poplargwv1.ConfigRecord, lines []string, r *poplargwv1.ApplyResponse) error {
	waitInForce(ctx, es, r, c.Duration("wait"))
	doc, err := newChangeDocument(changeID, base.GetVersion(), lines, r)
	if err != nil {
		return fail(ExitFailed, err)
	}
	err = showDocument(c, doc, func(w io.Writer) {
		printDiff(w, base.GetVersion(), lines)
		row(w, stateText(r, changeID))
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

func newChangeDocument(changeID string, base uint64, lines []string, r *poplargwv1.ApplyResponse) (*changeDocument, error) {
	// The change that won is named; its whole configuration would only hide that.
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

// waitInForce asks for the processes that have not confirmed an accepted change until none is
// left or the limit has passed. An entry itself waits shorter than a large fleet needs.
func waitInForce(ctx context.Context, es *entries, r *poplargwv1.ApplyResponse, limit time.Duration) {
	if r.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	confirmation := operator.NewConfirmation(r.GetVersion(), r.GetUnconfirmed())
	for confirmation.Waiting() {
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			return
		}
		if st, err := es.status(ctx); err == nil {
			confirmation.Observe(st)
			r.Unconfirmed = confirmation.Unconfirmed()
		}
	}
}

func outcome(r *poplargwv1.ApplyResponse) error {
	switch r.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED:
		return nil
	case poplargwv1.ApplyState_APPLY_STATE_CONFLICT:
		w := r.GetConflict()
		return failShown(ExitConflict, fmt.Errorf("conflict: change %s of %s made version %d; nothing was changed, plan again",
			w.GetChangeId(), w.GetAuthor(), w.GetVersion()))
	case poplargwv1.ApplyState_APPLY_STATE_STORED:
		return failShown(ExitUnknown, fmt.Errorf("version %d is stored but not confirmed by a majority of the entries", r.GetVersion()))
	}
	return failShown(ExitFailed, fmt.Errorf("the change was rejected: %s", r.GetMessage()))
}
