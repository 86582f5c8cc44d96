package timeline

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const startLine = `{"fields":{"event":101,"id":"front-1","role":"entry","zone":"left"},"level":"info","timestamp":"2026-04-05T23:58:17.6Z","message":"process started"}`

func countsLine(at string, served int, ended string) string {
	return fmt.Sprintf(`{"fields":{"event":673,"offered":%d,"served":%d,"late":1,"ended":%q,"abandoned":1,"unanswered":2,`+
		`"waiting":3,"runs":4,"free_cpu":50,"room_cpu":200,"servers":11},"level":"info","timestamp":%q,"message":"x"}`, served+7, served, ended, at)
}

func readTimeline(t *testing.T, logs map[string]string) *Timeline {
	t.Helper()
	r := NewReader()
	for name, text := range logs {
		if err := r.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return r.Timeline()
}

// Guards against counts of several entries that are not added up, and against counts that are added to the
// next second because their line is written after the second that they cover.
func TestCountsAreSummedOverEntries(t *testing.T) {
	out := readTimeline(t, map[string]string{
		"a": startLine + "\n" + countsLine("2026-04-05T23:58:19.1Z", 10, "2003:4 3002:1") + "\n",
		"b": countsLine("2026-04-05T23:58:19.2Z", 20, "2003:2"),
	})
	var s *Row
	for i := range out.Seconds {
		if out.Seconds[i].Offered > 0 {
			s = &out.Seconds[i]
		}
	}
	if s == nil || s.At.Second() != 18 || s.Served != 30 || s.Offered != 44 || s.Ended.String() != "2003:6 3002:1" || s.Entries != 2 || s.Servers != 11 {
		t.Fatalf("second %+v", s)
	}
	if s.FreeShare != 0.25 || s.Unanswered != 4 || s.EndedTotal() != 7 {
		t.Errorf("free share %v, unanswered orders %d, unsuccessful answers %d", s.FreeShare, s.Unanswered, s.EndedTotal())
	}
}

// Guards against a log that ends the command, or is skipped without a message, because some of its lines are
// truncated, of another program, or too long.
func TestUnreadableLinesAreCountedAndListed(t *testing.T) {
	lines := []string{
		startLine, "panic: not a log line", `{"fields":{"event":673,"offered":`, `{"fields":{"event":"x"},"timestamp":"2026-04-05T23:58:17Z"}`,
		`{"fields":{"event":673},"level":"info","message":"no time"}`, countsLine("2026-04-05T23:58:19Z", 1, "nonsense"),
		strings.Repeat("x", maxLineBytes+10), "", "  12.3 front-1 " + countsLine("2026-04-05T23:58:19Z", 5, ""),
	}
	out := readTimeline(t, map[string]string{"front": strings.Join(lines, "\n")})
	if out.Bad != 6 || len(out.Named) != 6 || out.Lines != len(lines) {
		t.Errorf("%d of %d lines are bad: %q", out.Bad, out.Lines, out.Named)
	}
	if !strings.HasPrefix(out.Named[0], "front:2: ") {
		t.Errorf("first unreadable line is listed as %q, want prefix \"front:2: \"", out.Named[0])
	}
	if last := out.Seconds[len(out.Seconds)-1]; last.Served != 5 {
		t.Errorf("last second after unreadable lines: %+v, want 5 jobs served", last)
	}
}

// Guards against a restart of many processes that fills the page with one line for each of them.
func TestChangesOfOneKindAreGrouped(t *testing.T) {
	logs := map[string]string{}
	for i := range 5 {
		logs[fmt.Sprint("p", i)] = strings.Replace(startLine, "front-1", fmt.Sprint("front-", i), 1)
	}
	out := readTimeline(t, logs)
	if len(out.Seconds) != 1 || len(out.Seconds[0].Changes) != 1 {
		t.Fatalf("seconds %+v", out.Seconds)
	}
	g := out.Seconds[0].Changes[0]
	if g.Count != 5 || len(g.Processes) != 5 || !strings.Contains(g.String(), "and 2 more") {
		t.Errorf("group %s", g)
	}
}

// Guards against a selected part of the timeline that lacks the first or the last second of its bounds.
func TestBetweenIncludesBothBounds(t *testing.T) {
	out := readTimeline(t, map[string]string{"a": countsLine("2026-04-05T23:58:19.6Z", 1, "") + "\n" + countsLine("2026-04-05T23:58:20.6Z", 1, "")})
	from := time.Date(2026, 4, 5, 23, 58, 20, 0, time.UTC)
	if part := out.Between(from, from); len(part.Seconds) != 1 {
		t.Errorf("%d seconds", len(part.Seconds))
	}
	if part := out.Between(time.Time{}, time.Time{}); len(part.Seconds) != 2 {
		t.Errorf("%d seconds without bounds", len(part.Seconds))
	}
}

// processLog returns the log of one process over a minute under load: in each second, 150 lines about single
// jobs, which is the most that a process writes, and one with counts.
func processLog(process int) []byte {
	var b bytes.Buffer
	begin := time.Date(2026, 4, 5, 23, 58, 0, 0, time.UTC)
	fmt.Fprintln(&b, strings.Replace(startLine, "front-1", fmt.Sprint("p-", process), 1))
	for s := range 60 {
		at := begin.Add(time.Duration(s) * time.Second)
		for i := range 150 {
			fmt.Fprintf(&b, `{"fields":{"event":650,"job":"%016x","queue":"q","code":0,"took_ms":120},"level":"info","timestamp":%q,"message":"job ended"}`+"\n",
				i, at.Format(time.RFC3339Nano))
		}
		fmt.Fprintln(&b, countsLine(at.Format(time.RFC3339Nano), 100, "2003:5"))
	}
	return b.Bytes()
}

// Guards against a reader that is too slow or too large for the logs of a large system: docs/OPERATIONS.md
// states that the logs of 300 processes are read in less than 10 s and 500 MB.
func BenchmarkReadLogsOf300Processes(b *testing.B) {
	const processes = 300
	log := processLog(0)
	for b.Loop() {
		r := NewReader()
		for i := range processes {
			if err := r.Read(fmt.Sprint("p", i), bytes.NewReader(log)); err != nil {
				b.Fatal(err)
			}
		}
		r.Timeline()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.Sys)/(1<<20), "MB-sys")
		b.ReportMetric(float64(processes*len(log))/(1<<20), "MB-read")
	}
}
