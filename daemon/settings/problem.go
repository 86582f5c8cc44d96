package settings

import (
	"fmt"
	"strings"
)

// Code numbers the kinds of problem of a settings file. docs/settings.md lists them.
type Code int

// Codes of problems. A number is never reused.
const (
	Unreadable  Code = 5001
	Syntax      Code = 5002
	UnknownKey  Code = 5003
	WrongType   Code = 5004
	Missing     Code = 5005
	NotAllowed  Code = 5006
	OutOfRange  Code = 5007
	BadAddress  Code = 5008
	BadFile     Code = 5009
	Conflicting Code = 5010
)

var codeTexts = map[Code]string{
	Unreadable:  "the file cannot be read",
	Syntax:      "the file is not valid TOML",
	UnknownKey:  "the key does not exist",
	WrongType:   "the value has the wrong type or form",
	Missing:     "a required key is missing",
	NotAllowed:  "the value is not one of the allowed values",
	OutOfRange:  "the value is outside the allowed range",
	BadAddress:  "the value is not an address of the allowed form",
	BadFile:     "the named file cannot be used",
	Conflicting: "two settings contradict each other",
}

// Text returns the fixed text of a code.
func (c Code) Text() string { return codeTexts[c] }

// Problem is one fault of a settings file.
type Problem struct {
	Code Code
	File string
	// Key is the full TOML key, for example limits.token_age. It is empty for faults of the file.
	Key string
	// Value is the value as found; empty if there is none.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d %s", p.File, int(p.Code), p.Code.Text())
	if p.Key != "" {
		fmt.Fprintf(&b, ": key %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, ", value %s", p.Value)
	}
	if p.Allowed != "" {
		fmt.Fprintf(&b, ", allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems are all faults found in one settings file, in the order of the fields.
type Problems []Problem

// Error implements error, one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
