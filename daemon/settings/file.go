package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
)

// maxFileBytes bounds the size of a settings file. The largest useful one has a few KiB.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. Its error is a Problems value with every problem
// of the file. Environment variables have no influence. File names in the settings are relative to
// the working directory of the process.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, Problems{{
			Code: Unreadable, File: path, Value: err.Error(),
			Allowed: fmt.Sprintf("a readable file of at most %d bytes", maxFileBytes),
		}}
	}
	return Parse(path, data)
}

// readFile returns the contents of a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		return nil, errors.New("file is too large")
	}
	return data, err
}

// Parse parses and checks the settings in data. Its error is a Problems value, in which name stands
// for the file.
//
// The file is decoded into a map and not into a struct, because for a struct the library stops at
// the first value of a wrong type and ignores the case of keys. With a map, all problems are found.
func Parse(name string, data []byte) (*Settings, error) {
	var tables map[string]any
	if _, err := toml.Decode(string(data), &tables); err != nil {
		return nil, Problems{syntaxProblem(name, err)}
	}
	c := &checker{file: name, values: make(map[string]any)}
	flatten(c.values, "", tables)
	s := c.readSettings()
	c.reportUnknown()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

// syntaxProblem converts an error of the TOML library to a Problem, with the line if it is known.
func syntaxProblem(name string, err error) Problem {
	p := Problem{Code: Syntax, File: name, Value: err.Error(), Allowed: "TOML 1.0"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.Key = parse.LastKey
		p.Value = fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return p
}

// flatten copies the values of nested tables to values, under full keys such as limits.token_age. An
// empty known section is skipped; any other empty table is kept, so that it is reported as unknown.
func flatten(values map[string]any, prefix string, table map[string]any) {
	for key, value := range table {
		full := prefix + key
		sub, ok := value.(map[string]any)
		if ok && (len(sub) > 0 || knownSections[full]) {
			flatten(values, full+".", sub)
			continue
		}
		values[full] = value
	}
}

// knownSections holds the names of the tables of a settings file.
var knownSections = map[string]bool{
	"node": true, "listen": true, "transport": true, "tls": true, "store": true, "limits": true, "scheduler": true, "log": true,
}
