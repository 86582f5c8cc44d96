package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
)

// maxFileBytes bounds a settings file; the largest useful one has a few KiB.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. Its error is a Problems value with every fault
// of the file. Environment variables have no influence. File names in it are relative to the
// working directory of the process.
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

// Parse checks the settings in data; name stands for the file in messages.
//
// The file is decoded into a map and not into a struct: the library stops at the first value of a
// wrong type and matches keys without regard to case, and a map keeps every fault visible.
func Parse(name string, data []byte) (*Settings, error) {
	var tables map[string]any
	if _, err := toml.Decode(string(data), &tables); err != nil {
		return nil, Problems{syntaxProblem(name, err)}
	}
	c := &checker{file: name, values: make(map[string]any)}
	flatten(c.values, "", tables)
	s := c.settings()
	c.reportUnknown()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

func syntaxProblem(name string, err error) Problem {
	p := Problem{Code: Syntax, File: name, Value: err.Error(), Allowed: "TOML 1.0"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.Key = parse.LastKey
		p.Value = fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return p
}

// flatten copies the values of nested tables to full keys such as limits.token_age. A section
// without keys needs no mention; any other empty table is kept, so that it is reported.
func flatten(values map[string]any, prefix string, table map[string]any) {
	for key, value := range table {
		full := prefix + key
		sub, ok := value.(map[string]any)
		if ok && (len(sub) > 0 || sections[full]) {
			flatten(values, full+".", sub)
			continue
		}
		values[full] = value
	}
}

// sections are the tables of a settings file.
var sections = map[string]bool{
	"node": true, "listen": true, "transport": true, "tls": true, "store": true, "limits": true, "scheduler": true, "log": true,
}
