package tool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// fakeEntry is an Operator service whose answers to Apply a test can script.
type fakeEntry struct {
	poplargwv1connect.UnimplementedOperatorHandler
	mu      sync.Mutex
	record  *poplargwv1.ConfigRecord
	applies []*poplargwv1.ApplyRequest
	id      string
	members []*poplargwv1.EntryStatus
	// script answers the first calls of Apply; later ones succeed.
	script []func(*fakeEntry, *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse
}

func (e *fakeEntry) GetConfig(context.Context, *connect.Request[poplargwv1.GetConfigRequest]) (*connect.Response[poplargwv1.GetConfigResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(&poplargwv1.GetConfigResponse{Record: e.record}), nil
}

func (e *fakeEntry) GetStatus(context.Context, *connect.Request[poplargwv1.GetStatusRequest]) (*connect.Response[poplargwv1.GetStatusResponse], error) {
	return connect.NewResponse(&poplargwv1.GetStatusResponse{Entry: e.id, Entries: e.members, Agents: []*poplargwv1.AgentStatus{{Id: "a7"}}}), nil
}

func (e *fakeEntry) GetObjectives(context.Context, *connect.Request[poplargwv1.GetObjectivesRequest]) (*connect.Response[poplargwv1.GetObjectivesResponse], error) {
	return connect.NewResponse(&poplargwv1.GetObjectivesResponse{Entry: e.id, StartedUnixMs: time.Now().UnixMilli(), Windows: []*poplargwv1.ObjectiveWindow{{
		Service: "s", Kind: "k", Team: "<t>", BeginUnixMs: time.Now().UnixMilli(), Length: durationpb.New(1e10), Good: 4, Total: 10}}}), nil
}

func (e *fakeEntry) Apply(_ context.Context, r *connect.Request[poplargwv1.ApplyRequest]) (*connect.Response[poplargwv1.ApplyResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applies = append(e.applies, r.Msg)
	if len(e.script) > 0 {
		f := e.script[0]
		e.script = e.script[1:]
		return connect.NewResponse(f(e, r.Msg)), nil
	}
	return connect.NewResponse(acceptChange(e, r.Msg)), nil
}

func acceptChange(e *fakeEntry, r *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse {
	if e.record.GetChangeId() != r.GetChangeId() {
		e.record = &poplargwv1.ConfigRecord{Version: e.record.GetVersion() + 1, ChangeId: r.GetChangeId(), Config: r.GetConfig()}
	}
	return &poplargwv1.ApplyResponse{State: poplargwv1.ApplyState_APPLY_STATE_ACCEPTED, Version: e.record.GetVersion(),
		Unconfirmed: []string{"agent a7"}}
}

// applyAndDropConnection makes the change and closes the connection without an answer.
func applyAndDropConnection(e *fakeEntry, r *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse {
	acceptChange(e, r)
	panic(http.ErrAbortHandler)
}

func replyWithState(s poplargwv1.ApplyState, version uint64) func(*fakeEntry, *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse {
	return func(*fakeEntry, *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse {
		return &poplargwv1.ApplyResponse{State: s, Version: version, Conflict: &poplargwv1.ConfigRecord{
			Version: version, ChangeId: "other-change", Author: "other"}}
	}
}

func newEntry(t *testing.T) (*fakeEntry, string) {
	e := &fakeEntry{id: "e0", members: []*poplargwv1.EntryStatus{{Id: "e0", ConfigVersion: 99}}, record: &poplargwv1.ConfigRecord{Version: 4, Config: &poplargwv1.Config{
		Domains: []*poplargwv1.FailureDomain{{Name: "left", Region: "r"}},
	}}}
	_, h := poplargwv1connect.NewOperatorHandler(e)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return e, strings.TrimPrefix(s.URL, "http://")
}

// run runs the tool and returns its exit code and its output followed by its error.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{Name: "poplargw", Commands: Commands(), Writer: &out, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := root.Run(t.Context(), append([]string{"poplargw"}, args...))
	if err == nil {
		return ExitOK, out.String()
	}
	code := ExitFailed
	if coded, ok := err.(cli.ExitCoder); ok {
		code = coded.ExitCode()
	}
	return code, out.String() + err.Error()
}

// checkRun runs the tool and fails the test unless it exits with code and its output contains text.
func checkRun(t *testing.T, code int, text string, args ...string) {
	t.Helper()
	if got, out := run(t, args...); got != code || !strings.Contains(out, text) {
		t.Fatalf("exit code %d, want %d with %q; output:\n%s", got, code, text, out)
	}
}

// Guards against a change that is made twice, or reported as failed, because its answer was lost.
func TestLostAnswerIsRetriedWithTheSameChangeID(t *testing.T) {
	e, addr := newEntry(t)
	e.script = append(e.script, applyAndDropConnection)
	checkRun(t, ExitOK, "not confirmed yet: agent a7", "domain", "out", "--entry", addr, "--wait", "1s", "left")
	if len(e.applies) != 2 || e.applies[0].GetChangeId() != e.applies[1].GetChangeId() || e.record.GetVersion() != 5 {
		t.Fatalf("%d calls, version %d", len(e.applies), e.record.GetVersion())
	}
}

// Guards against taking "rejected" as final from an entry that cannot know whether an earlier call
// wrote the change.
func TestRejectionAfterUnknownIsNotFinal(t *testing.T) {
	e, addr := newEntry(t)
	e.script = append(e.script,
		replyWithState(poplargwv1.ApplyState_APPLY_STATE_UNKNOWN, 5),
		replyWithState(poplargwv1.ApplyState_APPLY_STATE_REJECTED, 0),
		replyWithState(poplargwv1.ApplyState_APPLY_STATE_CONFLICT, 7))
	checkRun(t, ExitOK, "accepted: version 5", "domain", "out", "--entry", addr, "--wait", "0s", "left")
	e.script = append(e.script, replyWithState(poplargwv1.ApplyState_APPLY_STATE_UNKNOWN, 6))
	for range 20 {
		e.script = append(e.script, replyWithState(poplargwv1.ApplyState_APPLY_STATE_REJECTED, 0))
	}
	checkRun(t, ExitUnknown, "outcome of the change is unknown", "domain", "in", "--entry", addr, "--timeout", "1s", "left")
}

// Guards against a failure domain that stays in service because another operator changed something
// else at the same time, and against overwriting that other change.
func TestDomainOutIsRetriedAfterConflict(t *testing.T) {
	e, addr := newEntry(t)
	e.script = append(e.script, func(e *fakeEntry, _ *poplargwv1.ApplyRequest) *poplargwv1.ApplyResponse {
		e.record = &poplargwv1.ConfigRecord{Version: 5, ChangeId: "other", Config: &poplargwv1.Config{
			Domains: e.record.GetConfig().GetDomains(), Teams: []*poplargwv1.Team{{Name: "new"}}}}
		return replyWithState(poplargwv1.ApplyState_APPLY_STATE_CONFLICT, 5)(e, nil)
	})
	checkRun(t, ExitOK, "~ domain left out: false -> true", "domain", "out", "--entry", addr, "--wait", "0s", "left")
	if c := e.record.GetConfig(); !c.GetDomains()[0].GetOut() || len(c.GetTeams()) != 1 {
		t.Fatalf("got %v", c)
	}
}

// Guards against changes of the exit codes and messages that scripts rely on.
func TestApplyDirectory(t *testing.T) {
	e, addr := newEntry(t)
	dir := t.TempDir()
	checkRun(t, ExitFailed, "declared: left", "domain", "out", "--entry", addr, "right")
	checkRun(t, ExitUsage, "no file with the extension .toml", "plan", "--entry", addr, dir)
	file := filepath.Join(dir, "teams.toml")
	if err := os.WriteFile(file, []byte("[[team]]\nname = \"lab\"\nquota_slots = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	checkRun(t, ExitOK, "+ team lab quota_slots=5", "plan", "--entry", addr, dir)
	checkRun(t, ExitConflict, "planned on version 3", "apply", "--entry", addr, "--plan-version", "3", dir)
	e.script = append(e.script, replyWithState(poplargwv1.ApplyState_APPLY_STATE_CONFLICT, 5))
	checkRun(t, ExitConflict, "change other-change of other", "apply", "--entry", addr, dir)
	e.script = append(e.script, replyWithState(poplargwv1.ApplyState_APPLY_STATE_STORED, 5))
	checkRun(t, ExitUnknown, "not confirmed by a majority", "apply", "--entry", addr, dir)
	checkRun(t, ExitOK, `"state":`, "apply", "--entry", addr, "--wait", "0s", "--output", "json", dir)
	checkRun(t, ExitOK, "nothing to change", "apply", "--entry", addr, "--plan-version", "4", "--wait", "0s", dir)
	checkRun(t, ExitOK, "quota_slots = 5", "config", "--entry", "127.0.0.1:1,"+addr)
	checkRun(t, ExitUsage, "exactly one argument", "apply", "--entry", addr)
	checkRun(t, ExitUsage, `no command "sideways"`, "domain", "sideways")
	checkRun(t, ExitUsage, "allowed: table, json", "status", "--entry", addr, "--output", "xml")
	checkRun(t, ExitUnreachable, "", "status", "--entry", "127.0.0.1:1")
}

// fakeDispatcher drops the connection of the first call, answers the second and rejects all others.
type fakeDispatcher struct {
	poplargwv1connect.UnimplementedDispatcherHandler
	ids [][]byte
}

func (d *fakeDispatcher) SubmitJob(_ context.Context, r *connect.Request[poplargwv1.SubmitJobRequest]) (*connect.Response[poplargwv1.SubmitJobResponse], error) {
	d.ids = append(d.ids, r.Msg.GetSubmissionId())
	switch len(d.ids) {
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		return connect.NewResponse(&poplargwv1.SubmitJobResponse{Results: make([]*poplargwv1.TaskResult, len(r.Msg.GetTasks()))}), nil
	}
	err := connect.NewError(connect.CodeUnavailable, errors.New("busy"))
	detail, _ := connect.NewErrorDetail(&poplargwv1.Failure{Code: 2001, Effect: poplargwv1.Effect_EFFECT_NOT_RUN, RetryAfter: durationpb.New(1e9)})
	err.AddDetail(detail)
	return nil, err
}

// Guards against a job that runs twice because the tool resends it under another ID.
func TestSubmitIsResentWithTheSameID(t *testing.T) {
	d := &fakeDispatcher{}
	_, h := poplargwv1connect.NewDispatcherHandler(d)
	s := httptest.NewServer(h)
	defer s.Close()
	args := []string{"submit", "--caller-address", strings.TrimPrefix(s.URL, "http://"), "--service", "s", "--kind", "k", "--team", "t", "--tasks", "3"}
	checkRun(t, ExitOK, "complete", args...)
	if len(d.ids) != 2 || !bytes.Equal(d.ids[0], d.ids[1]) {
		t.Fatalf("submission IDs %x", d.ids)
	}
	checkRun(t, ExitFailed, "code 2001, not run: ; retry after 1s", args...)
	checkRun(t, ExitFailed, `"failure":{"code":2001,"effect":"EFFECT_NOT_RUN","retry_after":"1s","message":""}`, append(args, "--output", "json")...)
	checkRun(t, ExitUnreachable, "does not answer", append(args, "--caller-address", "127.0.0.1:1")...)
}

// Guards against a report that counts an entry twice, hides that an entry is missing or was restarted,
// or treats names from other processes as markup.
func TestBurnCoversAllEntries(t *testing.T) {
	one, addr := newEntry(t)
	two, addr2 := newEntry(t)
	two.id = "e1"
	one.members = []*poplargwv1.EntryStatus{{Id: "e0", Operators: addr}, {Id: "e1", Operators: addr2}, {Id: "e2", Operators: "127.0.0.1:1"}}
	one.record.Config.Services = []*poplargwv1.Service{{Name: "s", Kinds: []*poplargwv1.Kind{{Name: "k",
		Objective: &poplargwv1.Objective{ResponseTime: durationpb.New(1e9), Target: 0.9}}}}}
	file := filepath.Join(t.TempDir(), "burn.html")
	args := []string{"burn", "--entry", addr + "," + addr2, "--html", file}
	checkRun(t, ExitOK, "missing: entry e2 at 127.0.0.1:1 did not answer", args...)
	checkRun(t, ExitOK, "missing: counters of entry e1 before", args...)
	checkRun(t, ExitOK, `"good":"8","total":"20","budget_left":-5,"burn_short":6,"burn_long":6,"alert_factor":5,"alert":true`, append(args, "--output", "json")...)
	b, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(b), "&lt;t&gt;") || strings.Contains(string(b), "<t>") || strings.Contains(string(b), "://") {
		t.Fatalf("%v, got %s", err, b)
	}
}

// Guards against a log whose one bad line ends the command, and against a page that treats text from logs
// as markup or has scripts.
func TestTimelineReadsLogs(t *testing.T) {
	dir := t.TempDir()
	log, page := filepath.Join(dir, "front-1.log"), filepath.Join(dir, "timeline.html")
	lines := `{"fields":{"event":669,"agent":"<b>a7</b>"},"timestamp":"2026-04-05T23:58:19Z","message":"x"}
no event
{"fields":{"event":673,"offered":9,"served":5,"late":1,"ended":"2003:4","servers":11,"free_cpu":1,"room_cpu":4},"timestamp":"2026-04-05T23:58:20Z","message":"x"}
`
	if err := os.WriteFile(log, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	checkRun(t, ExitOK, "2003:4", "timeline", "--html", page, log)
	checkRun(t, ExitOK, "front-1:2: no event", "timeline", log)
	checkRun(t, ExitOK, `"served":5`, "timeline", "--output", "json", log)
	checkRun(t, ExitUsage, "at least one log file is required", "timeline")
	checkRun(t, ExitUsage, "no such file", "timeline", filepath.Join(dir, "missing"))
	checkRun(t, ExitUsage, "--from", "timeline", "--from", "noon", log)
	b, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(b), "<svg") || strings.Contains(string(b), "<b>a7") || strings.Contains(string(b), "<script") {
		t.Fatalf("%v, got %.2000s", err, b)
	}
}

// Guards against a command, a flag or an exit code that docs/tool.md does not mention.
func TestDocumentMatchesCode(t *testing.T) {
	b, err := os.ReadFile("../../docs/tool.md")
	if err != nil {
		t.Fatal(err)
	}
	wants := []string{"| 0 | success |", "| 1 | failure with", "| 2 | invalid arguments", "| 3 | conflict", "| 4 | the outcome", "| 5 | no response"}
	for _, c := range Commands() {
		wants = append(wants, "\n| `"+c.Name)
		for _, f := range c.Flags {
			wants = append(wants, "`--"+f.Names()[0]+"`")
		}
	}
	for _, w := range wants {
		if !strings.Contains(string(b), w) {
			t.Errorf("docs/tool.md lacks %q", w)
		}
	}
}
