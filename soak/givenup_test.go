package soak

import (
	"strings"
	"testing"
)

// Guards against a message about a failed job without the crashes for which it was given up, and against a log that
// counts as empty because the process was killed within a line.
func TestGivenUpTasksAreReadFromLog(t *testing.T) {
	const line = `{"fields":{"crashes":2,"event":678,"servers":[{"agent":"side-1@127.0.0.1:1","instance":"i-1#7","share":0.5,"age_ms":10,"others":3,"other_jobs":1},` +
		`{"agent":"side-2@127.0.0.1:2","instance":"i-2#9","share":1,"age_ms":11,"others":0,"other_jobs":0}],"share":1.5,"task":"81.0.0.2"},` +
		`"level":"info","timestamp":"2026-12-05T03:06:03.191571127Z","message":"task is given up because backend servers crashed under it"}`
	list := parseGivenUp([]byte(`{"fields":{"event":67` + "\n" + `{"fields":{"event":674,"runs":4}}` + "\n" + line + "\n"))
	if len(list) != 1 || list[0].task != "81.0.0.2" || list[0].count != 2 || list[0].share != 1.5 || len(list[0].crashes) != 2 {
		t.Fatalf("read %+v", list)
	}
	text := describeGivenUp(list)
	for _, part := range []string{"03:06:03.191", "[side-1@127.0.0.1:1, process i-1#7, share 0.500, age 10 ms, 3 other runs, 1 of other jobs]", "[side-2@127.0.0.1:2, "} {
		if !strings.Contains(text, part) {
			t.Errorf("the message lacks %q: %s", part, text)
		}
	}
}
