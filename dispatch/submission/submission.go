// Package submission identifies submissions and bounds their lifetime.
package submission

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// MaxCaller is the longest caller name in bytes.
const MaxCaller = 64

// ErrMalformed reports a key whose caller or submission ID has the wrong form.
var ErrMalformed = errors.New("submission key is malformed")

// Key identifies a submission. It is comparable and can be a map key.
type Key struct {
	Caller string
	ID     uuid.UUID
}

// NewKey checks the caller name (1 to MaxCaller bytes) and the ID (16 bytes, UUIDv7).
// It returns ErrMalformed otherwise.
func NewKey(caller string, id []byte) (Key, error) {
	u, err := uuid.FromBytes(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || caller == "" || len(caller) > MaxCaller {
		return Key{}, ErrMalformed
	}
	return Key{Caller: caller, ID: u}, nil
}

// Time returns the time of the first send, which a UUIDv7 carries in milliseconds (RFC 9562).
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Window bounds the lifetime of submissions.
type Window struct {
	// Length is how long after its first send a submission may be sent again.
	Length time.Duration
	// Skew is the largest difference between the clocks of callers and entries.
	Skew time.Duration
}

// Age classifies a submission by the time in its ID.
type Age int

// Ages of a submission.
const (
	Current Age = iota
	Expired
	InFuture
)

// Classify tells whether an entry may accept the key at the time now.
func (w Window) Classify(k Key, now time.Time) Age {
	t := k.Time()
	switch {
	case t.After(now.Add(w.Skew)):
		return InFuture
	case t.Before(now.Add(-w.Length)):
		return Expired
	}
	return Current
}

// ForgetAt returns the time from which records of the key can be dropped: no entry
// accepts the key any more by then, whatever its clock shows within the skew.
func (w Window) ForgetAt(k Key) time.Time {
	return k.Time().Add(w.Length + 2*w.Skew)
}
