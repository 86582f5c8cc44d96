// Package timeline summarizes the structured logs of entries and agents: for each second, the counts of jobs
// by outcome and the events that may explain them, such as restarts. Lines that cannot be read are counted
// and the first of them are listed.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
)

// maxLineBytes bounds the length of a log line. Longer lines count as unreadable.
const maxLineBytes = 1 << 20

// maxNamedLines bounds how many unreadable lines are listed.
const maxNamedLines = 20

// Reader collects the events of any number of logs.
type Reader struct {
	seconds map[int64]*Second
	changes []Change
	// Lines counts all lines, Bad those that could not be decoded.
	Lines, Bad int
	// LeftOut is the number of lines that the processes left out of their logs under load.
	LeftOut int
	// Named lists the first unreadable lines, as "NAME:LINE: reason".
	Named []string
}

// NewReader returns a reader without events.
func NewReader() *Reader { return &Reader{seconds: map[int64]*Second{}} }

// line is the JSON form of one log line.
type line struct {
	Fields    json.RawMessage `json:"fields"`
	Timestamp time.Time       `json:"timestamp"`
	Message   string          `json:"message"`
}

// eventHeader holds the field that every event has.
type eventHeader struct {
	Event event.ID `json:"event"`
}

// Read adds the events of one log. Any text before the first brace of a line is ignored. The process is called
// name until an event gives its ID. Read returns only errors of reading log; lines with invalid content are
// counted as bad instead.
func (r *Reader) Read(name string, log io.Reader) error {
	process := name
	input := bufio.NewReaderSize(log, 1<<16)
	for number := 1; ; number++ {
		text, err := readLine(input)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, errTooLong) {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.Lines++
		if err == nil {
			err = r.addLine(&process, text)
		}
		if err != nil {
			r.addBadLine(fmt.Sprintf("%s:%d: %v", name, number, err))
		}
	}
}

var errTooLong = errors.New("the line is too long")

// readLine returns the next line without its line ending, valid until the next call. It skips a line of more
// than maxLineBytes and returns errTooLong. After the last line it returns io.EOF.
func readLine(input *bufio.Reader) ([]byte, error) {
	text, err := input.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return trimLineEnd(text, err)
	}
	long := bytes.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = input.ReadSlice('\n')
		if len(long) <= maxLineBytes {
			long = append(long, text...)
		}
	}
	if len(long) > maxLineBytes {
		return nil, errTooLong
	}
	return trimLineEnd(long, err)
}

// trimLineEnd removes the line ending and accepts a last line without one: io.EOF is dropped if there is text.
func trimLineEnd(text []byte, err error) ([]byte, error) {
	if errors.Is(err, io.EOF) && len(text) > 0 {
		err = nil
	}
	return bytes.TrimRight(text, "\r\n"), err
}

// addBadLine counts an unreadable line and lists it unless maxNamedLines are already listed.
func (r *Reader) addBadLine(text string) {
	r.Bad++
	if len(r.Named) < maxNamedLines {
		r.Named = append(r.Named, text)
	}
}

var eventKey = []byte(`"event":`)

// scanEventID finds the number of the event without decoding the line, because most lines are not used.
func scanEventID(text []byte) (event.ID, bool) {
	i := bytes.Index(text, eventKey)
	if i < 0 {
		return 0, false
	}
	rest := text[i+len(eventKey):]
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
		n++
	}
	id, err := strconv.Atoi(string(rest[:n]))
	return event.ID(id), err == nil
}

// addLine adds the event of one line. Empty lines and events that the timeline does not show are skipped.
func (r *Reader) addLine(process *string, text []byte) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return errors.New("no event")
	}
	text = text[start:]
	id, found := scanEventID(text)
	if found && !isShown(id) && json.Valid(text) {
		return nil
	}
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("not an event: %w", err)
	}
	if l.Timestamp.IsZero() || len(l.Fields) == 0 {
		return errors.New("an event without a time or without fields")
	}
	var h eventHeader
	if err := json.Unmarshal(l.Fields, &h); err != nil || h.Event == 0 {
		return errors.New("an event without a number")
	}
	return r.addEvent(process, h.Event, l)
}

// isShown tells whether the timeline uses an event.
func isShown(id event.ID) bool {
	_, change := changeFields[id]
	return change || id == event.EntrySecondCounts || id == event.LinesLeftOut
}

// addEvent adds an event that the timeline uses.
func (r *Reader) addEvent(process *string, id event.ID, l line) error {
	switch id {
	case event.EntrySecondCounts:
		return r.addCounts(*process, l)
	case event.LinesLeftOut:
		var f struct {
			Lines int `json:"lines"`
		}
		if err := json.Unmarshal(l.Fields, &f); err != nil {
			return fmt.Errorf("event %d: %w", id, err)
		}
		r.LeftOut += f.Lines
		return nil
	}
	return r.addChange(process, id, l)
}

// entrySecondFields holds the fields of event.EntrySecondCounts (673).
type entrySecondFields struct {
	Offered     int    `json:"offered"`
	Served      int    `json:"served"`
	Late        int    `json:"late"`
	Ended       string `json:"ended"`
	Abandoned   int    `json:"abandoned"`
	Unanswered  int    `json:"unanswered"`
	Waiting     int    `json:"waiting"`
	Runs        int    `json:"runs"`
	FreeCPU     int64  `json:"free_cpu"`
	CapacityCPU int64  `json:"room_cpu"`
	Servers     int    `json:"servers"`
}

// addCounts adds the counts of one entry. An entry writes them after the second that they cover, so they are
// added to the second that contains the time half a second before the line.
func (r *Reader) addCounts(process string, l line) error {
	var f entrySecondFields
	if err := json.Unmarshal(l.Fields, &f); err != nil {
		return fmt.Errorf("event %d: %w", event.EntrySecondCounts, err)
	}
	codes, err := result.ParseCounts(f.Ended)
	if err != nil {
		return err
	}
	s := r.secondAt(l.Timestamp.Add(-time.Second / 2))
	s.Offered += f.Offered
	s.Served += f.Served
	s.Late += f.Late
	s.Abandoned += f.Abandoned
	s.Unanswered += f.Unanswered
	s.Waiting += f.Waiting
	s.Runs += f.Runs
	for code, n := range codes {
		s.Ended[code] += n
	}
	s.addEntry(process)
	s.Servers = max(s.Servers, f.Servers)
	s.addFreeShare(f.FreeCPU, f.CapacityCPU)
	return nil
}
