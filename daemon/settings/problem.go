package settings

import (
	"fmt"
	"strings"
)

// Code is the stable number of a kind of problem in a settings file. docs/settings.md lists the codes.
type Code int

// Codes of problems. The number of a removed code is never reused.
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

// Text returns the fixed text of a code, or "" for an unknown code.
func (c Code) Text() string { return codeTexts[c] }

// Problem describes one problem of a settings file.
type Problem struct {
	Code Code
	File string
	// Key is the full TOML key, for example limits.token_age. It is empty if the problem does not concern a key.
	Key string
	// Value is the value in the file, or empty if there is none.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error implements error. It returns one line with all fields of the problem.
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

// Problems holds all problems found in one settings file. It implements error.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
