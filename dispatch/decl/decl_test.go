package decl

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

const sample = `
[[service]]
name = "mould"

[[service.kind]]
name = "freeze-time"
priority = 3
urgent = true
time_limit = "8s"
slots = 2
objective = { response_time = "1.5s", target = 0.99 }

[[team]]
name = "lab"
quota_slots = 40

[[domain]]
name = "astana-left"
region = "astana"
`

func parse(t *testing.T, text string) *Declared {
	t.Helper()
	d, err := Parse(map[string][]byte{"a.toml": []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a declaration that is lost or altered between the file and the configuration.
func TestParseAndFormat(t *testing.T) {
	c := parse(t, sample).Config(nil)
	k := c.GetServices()[0].GetKinds()[0]
	if k.GetTimeLimit().AsDuration() != 8*time.Second || k.GetObjective().GetTarget() != 0.99 || k.GetSlots() != 2 {
		t.Fatalf("got %v", k)
	}
	b, err := Format(c)
	if err != nil {
		t.Fatal(err)
	}
	if again := parse(t, string(b)).Config(nil); !proto.Equal(c, again) {
		t.Fatalf("got %v, want %v", again, c)
	}
}

// Guards against a misspelt key that is ignored, and against errors that do not name the file and
// the field.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[[domain]]\nname = \"a\"\nregion = \"r\"\nuot = true":                    "b.toml: domain.uot: unknown key",
		"[[domain]]\nname = \"A\"\nregion = \"r\"":                                "domains[0].name: \"A\" is not allowed",
		"[[team]]\nname = \"a\"\n[[team]]\nname = \"a\"":                          "teams[1].name: \"a\" is not allowed",
		"[[service]]\nname = \"a\"":                                               "services[0].kinds: an empty list",
		"[[service]]\nname=\"a\"\n[[service.kind]]\nname=\"k\"":                   "services[0].kinds[0].slots: 0 is not allowed; allowed: 1 to 64",
		"[[service]]\nname=\"a\"\n[[service.kind]]\nname=\"k\"\ntime_limit=\"x\"": "b.toml: ",
		"[[team]]\nname = \"" + strings.Repeat("a", 65) + "\"":                    "1 to 64 characters",
	} {
		_, err := Parse(map[string][]byte{"b.toml": []byte(text)})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// Guards against values outside the ranges of the schema, which agents and schedulers rely on.
func TestValidateRanges(t *testing.T) {
	for path, change := range map[string]func(*poplargwv1.Kind){
		"priority":                func(k *poplargwv1.Kind) { k.Priority = 10 },
		"slots":                   func(k *poplargwv1.Kind) { k.Slots = 65 },
		"time_limit":              func(k *poplargwv1.Kind) { k.TimeLimit = durationpb.New(61 * time.Second) },
		"objective.target":        func(k *poplargwv1.Kind) { k.Objective.Target = 1 },
		"objective.response_time": func(k *poplargwv1.Kind) { k.Objective.ResponseTime = nil },
	} {
		c := parse(t, sample).Config(nil)
		change(c.GetServices()[0].GetKinds()[0])
		var fieldErr *FieldError
		if err := Validate(c); !errors.As(err, &fieldErr) || fieldErr.Path != "services[0].kinds[0]."+path {
			t.Errorf("%s: got %v", path, err)
		}
	}
}

// Guards against a failure domain or server that returns to service because an operator applies
// files that do not mention its state.
func TestConfigKeepsOutStates(t *testing.T) {
	d := parse(t, sample)
	current, err := SetDomain(d.Config(nil), "astana-left", true)
	if err != nil {
		t.Fatal(err)
	}
	current = SetServer(current, "s1", true)
	if lines := Diff(current, d.Config(current)); len(lines) != 0 {
		t.Fatalf("got %q", lines)
	}
	inService := parse(t, sample+"out = false\n")
	if lines := Diff(current, inService.Config(current)); !slices.Equal(lines, []string{"~ domain astana-left out: true -> false"}) {
		t.Fatalf("got %q", lines)
	}
	server := parse(t, sample+"[[server]]\nname = \"s1\"\n")
	if lines := Diff(current, server.Config(current)); !slices.Equal(lines, []string{"- server s1"}) {
		t.Fatalf("got %q", lines)
	}
	if lines := Diff(d.Config(nil), server.Config(nil)); len(lines) != 0 {
		t.Fatalf("got %q", lines)
	}
}

// Guards against an error in one of several files that does not name the file.
func TestParseErrorsNameFile(t *testing.T) {
	_, err := Parse(map[string][]byte{"a.toml": []byte(sample), "b.toml": []byte("[[team]]\nname = \"lab\"")})
	if want := "b.toml: teams[0].name: \"lab\" is not allowed"; err == nil || !strings.HasPrefix(err.Error(), want) {
		t.Errorf("got %v, want %q", err, want)
	}
}

// Guards against changes that are not shown to an operator before they are applied.
func TestDiff(t *testing.T) {
	a := parse(t, sample).Config(nil)
	b := SetServer(a, "s1", true)
	b.Services[0].Kinds[0].Slots = 4
	b.Services[0].Kinds[0].Objective = nil
	b.Teams = nil
	want := []string{
		"~ service mould kind freeze-time slots: 2 -> 4 objective: 1.5s@0.99 -> unset",
		"+ server s1 out=true",
		"- team lab",
	}
	if got := Diff(a, b); !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// Guards against input that crashes the decoder, and against accepted files that change when they
// are written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[[server]]\nname = \"s\"\nout = true"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Parse(map[string][]byte{"a": b})
		if err != nil {
			return
		}
		c := d.Config(nil)
		text, err := Format(c)
		if err != nil {
			t.Fatal(err)
		}
		if again := parse(t, string(text)).Config(nil); !proto.Equal(c, again) {
			t.Fatalf("got %v, want %v", again, c)
		}
	})
}
