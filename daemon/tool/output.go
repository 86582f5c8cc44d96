package tool

import (
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
	out := c.Root().Writer
	if c.String("output") == jsonOutput {
		b, err := protojson.MarshalOptions{EmitDefaultValues: true, UseProtoNames: true}.Marshal(m)
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		_, err = fmt.Fprintf(out, "%s\n", b)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
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
