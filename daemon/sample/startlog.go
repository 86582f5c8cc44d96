package sample

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
)

// Start is one line of the start log: the start of one task at a sample server.
type Start struct {
	Caller       string `json:"caller"`
	SubmissionID string `json:"submission_id"`
	TaskIndex    uint32 `json:"task_index"`
	// UnixNS is the time of the start in nanoseconds since 1970-01-01 UTC.
	UnixNS   int64  `json:"unix_ns"`
	Server   string `json:"server"`
	Instance string `json:"instance"`
}

// startLog appends each start to a file with one write call, so that the start is
// recorded even if the process is killed right after it. Without a file it does nothing.
type startLog struct {
	mu   sync.Mutex
	file *os.File
}

func openStartLog(path string) (*startLog, error) {
	if path == "" {
		return &startLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.Wrap(fmt.Errorf("start log: %w", err))
	}
	return &startLog{file: f}, nil
}

// add appends the start of the task in m.
func (l *startLog) add(m *apiv1.RunRequest, server, instance string) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(Start{Caller: m.GetCaller(), SubmissionID: hex.EncodeToString(m.GetSubmissionId()),
		TaskIndex: m.GetTaskIndex(), UnixNS: time.Now().UnixNano(), Server: server, Instance: instance})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(line, '\n'))
	return err
}

func (l *startLog) close() {
	if l.file != nil {
		l.file.Close()
	}
}

// ReadStarts returns the starts in a start log. Tests use it to count tasks that started twice. A line
// that cannot be decoded is an error.
func ReadStarts(path string) ([]Start, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var starts []Start
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var s Start
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, trace.Wrap(fmt.Errorf("%s: line %d: %w", path, len(starts)+1, err))
		}
		starts = append(starts, s)
	}
	return starts, lines.Err()
}
