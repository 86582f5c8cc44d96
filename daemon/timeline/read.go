// Package timeline shows, second by second, what became of jobs and what changed meanwhile, from the
// structured logs of entries and agents. Logs may have lines that cannot be read: they are counted and named.
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

// maxLine bounds a line of a log in bytes; longer ones cannot be read.
const maxLine = 1 << 20

// maxNamed bounds the unreadable lines that are named.
const maxNamed = 20

// Reader gathers the events of any number of logs.
type Reader struct {
	seconds map[int64]*Second
	changes []Change
	// Lines and Bad count the lines that were read and those of them that could not be.
	Lines, Bad int
	// LeftOut is the number of lines that the processes left out under load.
	LeftOut int
	// Named are the first unreadable lines, as "FILE:LINE: reason".
	Named []string
}

// NewReader returns a reader without events.
func NewReader() *Reader { return &Reader{seconds: map[int64]*Second{}} }

// line is one line of a log.
type line struct {
	Fields    json.RawMessage `json:"fields"`
	Timestamp time.Time       `json:"timestamp"`
	Message   string          `json:"message"`
}

// head is the field that every event has.
type head struct {
	Event event.ID `json:"event"`
}

// Read takes in one log. What stands before the first brace of a line is left alone. The process is called
// by the given name until an event says its ID. An error is one of reading the log, not of its content.
func (r *Reader) Read(name string, log io.Reader) error {
	process := name
	in := bufio.NewReaderSize(log, 1<<16)
	for number := 1; ; number++ {
		text, err := readLine(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, errTooLong) {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.Lines++
		if err == nil {
			err = r.take(&process, text)
		}
		if err != nil {
			r.bad(fmt.Sprintf("%s:%d: %v", name, number, err))
		}
	}
}

var errTooLong = errors.New("the line is too long")

// readLine returns the next line without its end. A line that is too long is skipped.
func readLine(in *bufio.Reader) ([]byte, error) {
	text, err := in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return trimEnd(text, err)
	}
	long := bytes.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = in.ReadSlice('\n')
		if len(long) <= maxLine {
			long = append(long, text...)
		}
	}
	if len(long) > maxLine {
		return nil, errTooLong
	}
	return trimEnd(long, err)
}

// trimEnd gives the last line of a log its end.
func trimEnd(text []byte, err error) ([]byte, error) {
	if errors.Is(err, io.EOF) && len(text) > 0 {
		err = nil
	}
	return bytes.TrimRight(text, "\r\n"), err
}

func (r *Reader) bad(text string) {
	r.Bad++
	if len(r.Named) < maxNamed {
		r.Named = append(r.Named, text)
	}
}

var eventKey = []byte(`"event":`)

// eventOf finds the number of the event without decoding the line: most lines are of no interest here.
func eventOf(text []byte) (event.ID, bool) {
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

// take takes in one line. Empty lines and events that show nothing here are passed over.
func (r *Reader) take(process *string, text []byte) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return errors.New("no event")
	}
	text = text[start:]
	id, found := eventOf(text)
	if found && !interesting(id) && json.Valid(text) {
		return nil
	}
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("not an event: %w", err)
	}
	if l.Timestamp.IsZero() || len(l.Fields) == 0 {
		return errors.New("an event without a time or without fields")
	}
	var h head
	if err := json.Unmarshal(l.Fields, &h); err != nil || h.Event == 0 {
		return errors.New("an event without a number")
	}
	return r.event(process, h.Event, l)
}

func interesting(id event.ID) bool {
	_, change := changeFields[id]
	return change || id == event.EntrySecond || id == event.LinesLeftOut
}

func (r *Reader) event(process *string, id event.ID, l line) error {
	switch id {
	case event.EntrySecond:
		return r.counts(*process, l)
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
	return r.change(process, id, l)
}

// entryCounts are the fields of event 673.
type entryCounts struct {
	Offered    int    `json:"offered"`
	Served     int    `json:"served"`
	Late       int    `json:"late"`
	Ended      string `json:"ended"`
	Abandoned  int    `json:"abandoned"`
	Unanswered int    `json:"unanswered"`
	Waiting    int    `json:"waiting"`
	Runs       int    `json:"runs"`
	FreeCPU    int64  `json:"free_cpu"`
	RoomCPU    int64  `json:"room_cpu"`
	Servers    int    `json:"servers"`
}

// counts adds the counts of one entry. They are of the second before the line was written.
func (r *Reader) counts(process string, l line) error {
	var f entryCounts
	if err := json.Unmarshal(l.Fields, &f); err != nil {
		return fmt.Errorf("event %d: %w", event.EntrySecond, err)
	}
	codes, err := result.ParseCounts(f.Ended)
	if err != nil {
		return err
	}
	s := r.second(l.Timestamp.Add(-time.Second / 2))
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
	s.addRoom(f.FreeCPU, f.RoomCPU)
	return nil
}
