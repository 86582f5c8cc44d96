package tool

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// showMessage writes m as JSON or calls table, depending on the output flag.
func showMessage(c *cli.Command, m proto.Message, table func(io.Writer)) error {
	b, err := messageJSON(m)
	if err != nil {
		return err
	}
	return showDocument(c, b, table)
}

// showDocument writes doc as one line of JSON or calls table, depending on the output flag.
func showDocument(c *cli.Command, doc any, table func(io.Writer)) error {
	out := c.Root().Writer
	if c.String("output") == jsonOutput {
		e := json.NewEncoder(out)
		e.SetEscapeHTML(false) // Lines of a diff contain "->".
		if err := e.Encode(doc); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// messageJSON returns the protobuf JSON form of a message, with unset fields and with field names as
// in the schema. White space is removed because protojson varies it between builds.
func messageJSON(m proto.Message) (json.RawMessage, error) {
	b, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode output: %w", err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, b); err != nil {
		return nil, fmt.Errorf("encode output: %w", err)
	}
	return compact.Bytes(), nil
}

// errorDocument is the JSON form of an error that has no document of its own.
type errorDocument struct {
	Error struct {
		ExitCode int    `json:"exit_code"`
		Message  string `json:"message"`
	} `json:"error"`
}

// showFailure writes the error of a command as JSON, if that is the output format, unless the command
// has already shown it in its own document.
func showFailure(c *cli.Command, err error) {
	f, ok := err.(exitError)
	if !ok {
		f = exitError{error: err, code: ExitFailed}
	}
	if f.shown || c.String("output") != jsonOutput {
		return
	}
	var doc errorDocument
	doc.Error.ExitCode, doc.Error.Message = f.code, err.Error()
	// A write error can be ignored: err is printed to standard error as well.
	_ = showDocument(c, doc, nil)
}

// printRow writes one line of cells separated by tabs.
func printRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// printDiff writes the changes from the base version, one line each.
func printDiff(w io.Writer, base uint64, lines []string) {
	if len(lines) == 0 {
		printRow(w, fmt.Sprintf("no difference from version %d", base))
		return
	}
	printRow(w, fmt.Sprintf("difference from version %d:", base))
	for _, l := range lines {
		printRow(w, "  "+l)
	}
}

// stateName returns the lower-case name of an apply state, for example accepted.
func stateName(s poplargwv1.ApplyState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "APPLY_STATE_"))
}
