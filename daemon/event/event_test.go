package event

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// declaredIDs parses the package and returns all constants of type ID by name.
func declaredIDs(t *testing.T) map[string]ID {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	ids := make(map[string]ID)
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if kind, ok := v.Type.(*ast.Ident); !ok || kind.Name != "ID" || len(v.Values) != 1 {
				return true
			}
			number, err := strconv.Atoi(v.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			ids[v.Names[0].Name] = ID(number)
			return true
		})
	}
	return ids
}

var docRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against events without a text, two events with the same number, and a docs/events.md that
// lacks an event, still lists a removed one or has another text.
func TestCatalogueMatchesDocument(t *testing.T) {
	doc, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[ID]string)
	for _, m := range docRow.FindAllStringSubmatch(string(doc), -1) {
		number, _ := strconv.Atoi(m[1])
		documented[ID(number)] = m[2]
	}
	names := make(map[ID]string)
	for name, id := range declaredIDs(t) {
		if other, ok := names[id]; ok {
			t.Errorf("%s and %s both have number %d", name, other, id)
		}
		names[id] = name
		if Text(id) == "" {
			t.Errorf("%s (%d) has no text", name, id)
		}
		if documented[id] != Text(id) {
			t.Errorf("docs/events.md says %q for %d, the code %q", documented[id], id, Text(id))
		}
	}
	for id := range documented {
		if _, ok := names[id]; !ok {
			t.Errorf("docs/events.md lists %d, which does not exist", id)
		}
	}
	if total := len(processTexts) + len(clusterTexts) + len(entryTexts) + len(agentTexts) + len(transportTexts) + len(runTexts); total != len(names) {
		t.Errorf("%d texts for %d events", total, len(names))
	}
}

// Guards against a log that ignores the level, and against output that is not valid JSON.
func TestOutputHonoursLevelAndFormat(t *testing.T) {
	var out bytes.Buffer
	l, err := open("warn", FormatJSON, &out)
	if err != nil {
		t.Fatal(err)
	}
	l.Info(Started, nil)
	l.Warn(Stopping, Fields{"role": "entry"})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var record struct {
		Level   string
		Message string
		Fields  map[string]any
	}
	if err := json.Unmarshal([]byte(lines[0]), &record); err != nil {
		t.Fatal(err)
	}
	if len(lines) != 1 || record.Level != "warn" || record.Message != Text(Stopping) || record.Fields["event"] != float64(Stopping) {
		t.Errorf("log is %q", out.String())
	}
}

// Guards against a misspelt setting that is accepted and disables the log.
func TestOpenRefusesUnknownValues(t *testing.T) {
	for _, c := range [][2]string{{"loud", FormatJSON}, {"info", "xml"}} {
		if _, err := Open(c[0], c[1], os.Stderr); err == nil {
			t.Errorf("level %s, format %s: no error", c[0], c[1])
		}
	}
}

// Guards against traces that leave out steps of a run, and against steps in the log of a process that does not
// trace: they would take the processor time that its work needs.
func TestTraceLogsEveryStepOnlyWithTracing(t *testing.T) {
	const steps = 3 * maxLinesPerSecond
	for _, tracing := range []bool{false, true} {
		var out bytes.Buffer
		l, err := NewBounded(&out, tracing)
		if err != nil {
			t.Fatal(err)
		}
		for range steps {
			l.Trace(OrderAccepted, nil)
			l.InfoLimited(TaskPlaced, nil)
		}
		l.Close()
		traced := strings.Count(out.String(), Text(OrderAccepted))
		limited := strings.Count(out.String(), Text(TaskPlaced))
		if tracing && (traced != steps || limited != steps) {
			t.Errorf("with tracing: %d and %d lines of %d", traced, limited, steps)
		}
		// The lines may be logged in two seconds.
		if !tracing && (traced != 0 || limited > 2*maxLinesPerSecond) {
			t.Errorf("without tracing: %d and %d lines", traced, limited)
		}
	}
}
