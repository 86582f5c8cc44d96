// Package submission defines the keys of submissions and the time window in which one is accepted.
package submission

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// MaxCaller is the largest length of a caller name in bytes.
const MaxCaller = 64

// ErrMalformed is returned for a caller name or a submission ID that has the wrong form.
var ErrMalformed = errors.New("malformed submission key: the caller name is empty or too long, or the ID is not a UUIDv7")

// Key identifies a submission. It is comparable, so it can be a map key.
type Key struct {
	Caller string
	// ID is a UUIDv7 that the caller chose. Repeated sends of a submission have the same ID.
	ID uuid.UUID
}

// NewKey returns the key of a submission. It returns ErrMalformed unless the caller name has 1 to
// MaxCaller bytes and the ID is the 16 bytes of a UUIDv7.
func NewKey(caller string, id []byte) (Key, error) {
	u, err := uuid.FromBytes(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || caller == "" || len(caller) > MaxCaller {
		return Key{}, ErrMalformed
	}
	return Key{Caller: caller, ID: u}, nil
}

// Time returns the time of the first send by the caller's clock, which a UUIDv7 holds in
// milliseconds (RFC 9562).
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Window bounds the age of submissions.
type Window struct {
	// Length is how long after the first send a submission is accepted.
	Length time.Duration
	// Skew is the largest allowed difference between any two clocks of callers and entries.
	Skew time.Duration
}

// Age is the class of a submission by the time in its ID.
type Age int

// Classes of submissions by age.
const (
	// Current means that the submission is accepted.
	Current Age = iota
	// Expired means that it is older than Window.Length.
	Expired
	// InFuture means that its time is ahead of the clock by more than Window.Skew.
	InFuture
)

// Classify returns the class of the key by the clock reading now of an entry.
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

// ForgetAt returns the time from which records of the key can be dropped: by then no entry
// accepts the key any more, even if the clocks differ by Skew.
func (w Window) ForgetAt(k Key) time.Time {
	return k.Time().Add(w.Length + 2*w.Skew)
}
