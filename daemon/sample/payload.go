package sample

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
)

// Work is the payload of a task, as JSON. An empty payload is work that takes no time.
type Work struct {
	// MS is how long the task takes at speed 1, in milliseconds, from 0 to MaxMS.
	MS int `json:"ms"`
	// Echo is returned in the answer.
	Echo string `json:"echo,omitempty"`
	// Fail makes this task end with an error.
	Fail bool `json:"fail,omitempty"`
}

// MaxMS is the largest value of Work.MS, in milliseconds.
const MaxMS = 120_000

// Answer is the result of a task, as JSON.
type Answer struct {
	// Digest identifies the request that was answered; see the function Digest.
	Digest string `json:"digest"`
	// Echo is Work.Echo of the request.
	Echo string `json:"echo,omitempty"`
	// Server is the name of the server that answered.
	Server string `json:"server"`
}

// ErrWrongAnswer reports an answer that belongs to another request or is damaged.
var ErrWrongAnswer = errors.New("answer does not belong to the request")

// Digest returns the SHA-256, in hexadecimal, of the task's identity and payload. It covers the length, as 4
// bytes, and the bytes of each of: the caller, the submission ID, the task index and the payload.
func Digest(caller string, submissionID []byte, taskIndex uint32, payload []byte) string {
	h := sha256.New()
	var n [4]byte
	for _, part := range [][]byte{[]byte(caller), submissionID, binary.BigEndian.AppendUint32(nil, taskIndex), payload} {
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// CheckAnswer returns ErrWrongAnswer unless the result answers exactly this task.
func CheckAnswer(caller string, submissionID []byte, taskIndex uint32, payload, answer []byte) error {
	var a Answer
	if err := json.Unmarshal(answer, &a); err != nil || a.Digest != Digest(caller, submissionID, taskIndex, payload) {
		return ErrWrongAnswer
	}
	return nil
}

// parseWork decodes the payload of a task and checks the length of the work.
func parseWork(payload []byte) (Work, error) {
	var w Work
	if len(payload) == 0 {
		return w, nil
	}
	if err := json.Unmarshal(payload, &w); err != nil {
		return w, fmt.Errorf("payload is not a work description: %w", err)
	}
	if w.MS < 0 || w.MS > MaxMS {
		return w, fmt.Errorf("ms: %d is outside 0 to %d", w.MS, MaxMS)
	}
	return w, nil
}

// duration returns how long the work takes: its length divided by speed and multiplied by slow.
func (w Work) duration(speed, slow float64) time.Duration {
	return time.Duration(float64(w.MS) * slow / speed * float64(time.Millisecond))
}

// answer returns the JSON form of the answer to m.
func (s *Server) answer(m *apiv1.RunRequest, w Work) ([]byte, error) {
	return json.Marshal(Answer{
		Digest: Digest(m.GetCaller(), m.GetSubmissionId(), m.GetTaskIndex(), m.GetPayload()),
		Echo:   w.Echo,
		Server: s.o.Name,
	})
}
