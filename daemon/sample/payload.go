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

// Work is the payload of a task, as JSON. An empty payload is work of no length.
type Work struct {
	// MS is how long the task takes at speed 1, in milliseconds, at most MaxMS.
	MS int `json:"ms"`
	// Echo is returned in the answer.
	Echo string `json:"echo,omitempty"`
	// Fail makes this task end in an error.
	Fail bool `json:"fail,omitempty"`
}

// MaxMS is the longest work in milliseconds.
const MaxMS = 120_000

// Answer is the result of a task, as JSON.
type Answer struct {
	// Digest identifies the request that was answered; see Digest.
	Digest string `json:"digest"`
	Echo   string `json:"echo,omitempty"`
	Server string `json:"server"`
}

// ErrWrongAnswer reports an answer to another request, or one that is damaged.
var ErrWrongAnswer = errors.New("answer does not belong to the request")

// Digest returns the hex SHA-256 of the task's identity and payload: the length
// and bytes of the caller, the submission ID, the task index and the payload.
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

// duration is how long the work takes at a speed with a slow factor.
func (w Work) duration(speed, slow float64) time.Duration {
	return time.Duration(float64(w.MS) * slow / speed * float64(time.Millisecond))
}

func (s *Server) answer(m *apiv1.RunRequest, w Work) ([]byte, error) {
	return json.Marshal(Answer{
		Digest: Digest(m.GetCaller(), m.GetSubmissionId(), m.GetTaskIndex(), m.GetPayload()),
		Echo:   w.Echo,
		Server: s.o.Name,
	})
}
