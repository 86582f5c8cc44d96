package event

import (
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/gravitational/trace"
	"golang.org/x/term"
)

// Formats of the log: the values of the setting log.format.
const (
	FormatAuto = "auto"
	FormatText = "text"
	FormatJSON = "json"
)

// Open returns a logger that writes events of at least the given level to out. FormatAuto means text if
// out is a terminal and JSON, one object per line, otherwise. An unknown level or format is an error.
func Open(level, format string, out *os.File) (*Logger, error) {
	if format == FormatAuto {
		format = FormatJSON
		if term.IsTerminal(int(out.Fd())) {
			format = FormatText
		}
	}
	return open(level, format, out)
}

func open(level, format string, out io.Writer) (*Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, trace.Wrap(fmt.Errorf("log level %q: %w", level, err))
	}
	h, err := newHandler(format, out)
	if err != nil {
		return nil, err
	}
	return New(&log.Logger{Handler: h, Level: l}), nil
}

func newHandler(format string, out io.Writer) (log.Handler, error) {
	switch format {
	case FormatText:
		return text.New(out), nil
	case FormatJSON:
		return json.New(out), nil
	}
	return nil, trace.BadParameter("unknown log format %q", format)
}
