package settings

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const entryFile = `
role = "entry"
[node]
id = "entry-1"
domain = "astana-left"
region = "astana"
[listen]
callers = "10.0.0.1:7100"
peers = "10.0.0.1:7110"
operators = "10.0.0.1:7120"
[tls]
cert = "cert.pem"
key = "key.pem"
ca = "ca.pem"
[store]
url = "http://10.0.0.9:7400"
[limits]
freshness = "1500ms"
queue_tasks = 500
`

const agentFile = `
role = "agent"
[node]
id = "agent-1"
domain = "astana-left"
region = "astana"
[listen]
peers = "10.0.0.1:7210"
operators = "10.0.0.1:7220"
local = "127.0.0.1:7230"
[transport]
kind = "quic"
entries = ["10.0.0.1:7110", "10.0.0.2:7110"]
[tls]
cert = "cert.pem"
key = "key.pem"
ca = "ca.pem"
`

// Guards against a valid file that is rejected, and against a value that is read into the wrong field.
func TestValidFilesAreRead(t *testing.T) {
	e, err := Parse("entry.toml", []byte(entryFile))
	if err != nil {
		t.Fatal(err)
	}
	if e.Role != RoleEntry || e.Limits.Freshness != 1500*time.Millisecond || e.Limits.QueueTasks != 500 || e.Store.URL != "http://10.0.0.9:7400" {
		t.Errorf("entry is %+v", e)
	}
	if e.Limits.TokenAge != Default().Limits.TokenAge {
		t.Errorf("default of token_age is %v", e.Limits.TokenAge)
	}
	a, err := Parse("agent.toml", []byte(agentFile))
	if err != nil {
		t.Fatal(err)
	}
	want := Transport{Kind: "quic", Entries: []string{"10.0.0.1:7110", "10.0.0.2:7110"}, DeadPeer: 3 * time.Second}
	if !reflect.DeepEqual(a.Transport, want) || a.Listen.Local != "127.0.0.1:7230" {
		t.Errorf("agent is %+v", a)
	}
}

// Guards against a wrong value of any kind that is accepted or reported with another code or key.
func TestProblemCodeAndKey(t *testing.T) {
	cases := []struct {
		base, old, new string
		code           Code
		key            string
	}{
		{entryFile, `role = "entry"`, `role = "server"`, NotAllowed, "role"},
		{entryFile, `id = "entry-1"`, ``, Missing, "node.id"},
		{entryFile, `id = "entry-1"`, `id = "entry 1"`, OutOfRange, "node.id"},
		{entryFile, `id = "entry-1"`, `id = 1`, WrongType, "node.id"},
		{entryFile, `id = "entry-1"`, "id = \"entry-1\"\nname = \"x\"", UnknownKey, "node.name"},
		{entryFile, `id = "entry-1"`, "id = \"entry-1\"\nID = \"x\"", UnknownKey, "node.ID"},
		{entryFile, `[store]`, "[stores]\n[store]", UnknownKey, "stores"},
		{entryFile, `"10.0.0.1:7100"`, `"localhost:7100"`, BadAddress, "listen.callers"},
		{entryFile, `"10.0.0.1:7100"`, `"10.0.0.1:0"`, BadAddress, "listen.callers"},
		{entryFile, `"10.0.0.1:7100"`, `"10.0.0.1:7110"`, Conflicting, "listen.callers"},
		{entryFile, `[tls]`, "advertise_peers = \"gateway:7110\"\n[tls]", BadAddress, "listen.advertise_peers"},
		{entryFile, `http://10.0.0.9:7400`, `http://store:7400`, BadAddress, "store.url"},
		{entryFile, `url = "http://10.0.0.9:7400"`, ``, Missing, "store.url"},
		{entryFile, `"1500ms"`, `"1500"`, WrongType, "limits.freshness"},
		{entryFile, `"1500ms"`, `2`, WrongType, "limits.freshness"},
		{entryFile, `"1500ms"`, `"1ms"`, OutOfRange, "limits.freshness"},
		{entryFile, `"1500ms"`, `"2500ms"`, Conflicting, "limits.freshness"},
		{entryFile, `queue_tasks = 500`, `queue_tasks = 0`, OutOfRange, "limits.queue_tasks"},
		{entryFile, `queue_tasks = 500`, `queue_tasks = "500"`, WrongType, "limits.queue_tasks"},
		{entryFile, `queue_tasks = 500`, `peer_silence = "1s"`, Conflicting, "limits.peer_silence"},
		{entryFile, `queue_tasks = 500`, `clock_skew = "90s"`, OutOfRange, "limits.clock_skew"},
		{entryFile, `[store]`, "[transport]\nentries = []\n[store]", Conflicting, "transport.entries"},
		{entryFile, `ca = "ca.pem"`, `ca = ""`, BadFile, "tls.ca"},
		{agentFile, `"127.0.0.1:7230"`, `"10.0.0.1:7230"`, BadAddress, "listen.local"},
		{agentFile, `local = "127.0.0.1:7230"`, ``, Missing, "listen.local"},
		{agentFile, `kind = "quic"`, `kind = "udp"`, NotAllowed, "transport.kind"},
		{agentFile, `["10.0.0.1:7110", "10.0.0.2:7110"]`, `[]`, OutOfRange, "transport.entries"},
		{agentFile, `["10.0.0.1:7110", "10.0.0.2:7110"]`, `["10.0.0.1:7110", "a:1"]`, BadAddress, "transport.entries[1]"},
		{agentFile, `["10.0.0.1:7110", "10.0.0.2:7110"]`, `["10.0.0.1:7110", "10.0.0.1:7110"]`, Conflicting, "transport.entries[1]"},
		{agentFile, `[transport]`, "[store]\nurl = \"http://10.0.0.9:7400\"\n[transport]", Conflicting, "store.url"},
		{agentFile, `role = "agent"`, `role = `, Syntax, "role"},
	}
	for _, c := range cases {
		_, err := Parse("x.toml", []byte(strings.Replace(c.base, c.old, c.new, 1)))
		var problems Problems
		if !errors.As(err, &problems) || len(problems) != 1 || problems[0].Code != c.code || problems[0].Key != c.key {
			t.Errorf("%s -> %s: got %v, want code %d for key %s", c.old, c.new, err, c.code, c.key)
		}
	}
}

// Guards against a check that stops at the first problem, and against messages that lack the
// file, the key, the value, the allowed range or the code.
func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer(`"1500ms"`, `"1ms"`, `"entry-1"`, `""`, `"10.0.0.1:7100"`, `5`).Replace(entryFile)
	_, err := Parse("x.toml", []byte(text))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 3 {
		t.Fatalf("got %v, want three problems", err)
	}
	for _, part := range []string{"x.toml", "5007", "limits.freshness", `"1ms"`, "500ms to 1m0s"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is missing in %v", part, err)
		}
	}
}

// Guards against a missing file that is treated as an empty one.
func TestLoadReportsUnreadableFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	var problems Problems
	if !errors.As(err, &problems) || problems[0].Code != Unreadable {
		t.Errorf("got %v", err)
	}
}

// Guards against settings files of the demonstration that are no longer valid.
func TestDemoFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../deploy/demo/*-*.toml")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}

var (
	keyRow  = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")
	codeRow = regexp.MustCompile(`(?m)^\| (5\d{3}) \| ([^|]+) \|`)
	codeKey = regexp.MustCompile(`"(role|(?:node|listen|transport|tls|store|limits|scheduler|log)\.[a-z_]+)"`)
)

// Guards against keys and codes that docs/settings.md lacks, or still lists after their removal.
func TestDocumentMatchesCode(t *testing.T) {
	doc, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile("fields.go")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := matches(keyRow, string(doc)), matches(codeKey, string(source)); !slices.Equal(got, want) {
		t.Errorf("docs/settings.md has the keys %v, the code %v", got, want)
	}
	documented := make(map[Code]string)
	for _, m := range codeRow.FindAllStringSubmatch(string(doc), -1) {
		n, _ := strconv.Atoi(m[1])
		documented[Code(n)] = m[2]
	}
	if !maps.Equal(documented, codeTexts) {
		t.Errorf("docs/settings.md has the codes %v, the code %v", documented, codeTexts)
	}
}

func matches(r *regexp.Regexp, s string) []string {
	set := make(map[string]bool)
	for _, m := range r.FindAllStringSubmatch(s, -1) {
		set[m[1]] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// FuzzParse guards against a file that makes Parse panic or is accepted with values out of range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(entryFile))
	f.Add([]byte(agentFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		if err != nil {
			return
		}
		l := s.Limits
		if s.Node.ID == "" || !validAddress(s.Listen.Peers) || l.Freshness+l.TokenAge > staleStartLimit || l.QueueTasks < 1 {
			t.Errorf("accepted settings are %+v", s)
		}
	})
}
