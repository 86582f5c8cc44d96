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

// show writes a message as JSON or by the function for tables.
func show(c *cli.Command, m proto.Message, table func(io.Writer)) error {
	b, err := messageJSON(m)
	if err != nil {
		return err
	}
	return showDocument(c, b, table)
}

// showDocument writes a document as one line of JSON or by the function for tables.
func showDocument(c *cli.Command, doc any, table func(io.Writer)) error {
	out := c.Root().Writer
	if c.String("output") == jsonOutput {
		e := json.NewEncoder(out)
		e.SetEscapeHTML(false) // Differences contain "->".
		if err := e.Encode(doc); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// messageJSON returns the protobuf JSON form of a message with all fields under their
// names in the schema. White space is removed because protojson varies it between builds.
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

// errorDocument is the JSON form of a failure that has no document of its own.
type errorDocument struct {
	Error struct {
		ExitCode int    `json:"exit_code"`
		Message  string `json:"message"`
	} `json:"error"`
}

// showFailure writes the error of a command as JSON unless its document has been written.
func showFailure(c *cli.Command, err error) {
	f, ok := err.(failure)
	if !ok {
		f = failure{error: err, code: ExitFailed}
	}
	if f.shown || c.String("output") != jsonOutput {
		return
	}
	var doc errorDocument
	doc.Error.ExitCode, doc.Error.Message = f.code, err.Error()
	// The error itself goes to standard error as well, so one of this write adds nothing.
	_ = showDocument(c, doc, nil)
}

func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// printDiff writes the lines of a difference.
func printDiff(w io.Writer, base uint64, lines []string) {
	if len(lines) == 0 {
		row(w, fmt.Sprintf("no difference from version %d", base))
		return
	}
	row(w, fmt.Sprintf("difference from version %d:", base))
	for _, l := range lines {
		row(w, "  "+l)
	}
}

// stateName returns the lower-case name of an apply state, for example accepted.
func stateName(s poplargwv1.ApplyState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "APPLY_STATE_"))
}
