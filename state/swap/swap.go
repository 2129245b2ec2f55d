// Package swap updates single values in the store by compare-and-swap. It determines
// whether a write took effect even if the store's response was lost.
package swap

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// maxMarks is the number of marks that a value keeps. If this many other writes come
// between a lost response and the read that looks for its mark, the outcome is
// reported as uncertain.
const maxMarks = 64

// MaxAttempts limits the attempts of one update.
const MaxAttempts = 20

// resolveInterval is the delay between failed reads after a lost response.
const resolveInterval = 20 * time.Millisecond

// Envelope is the stored form of a value. Marks holds the random ids of the newest
// writes: a writer whose response was lost reads the value back and finds its mark
// if and only if its write took effect.
type Envelope[T any] struct {
	Marks []string
	Body  T
}

// Value is a decoded value with its version in the store.
type Value[T any] struct {
	Body    T
	Version uint64
	marks   []string
}

// errResponseLost is the outcome of a write whose response was lost and that has not taken
// effect yet.
var errResponseLost = errors.New("lost response")

// ErrUnchanged is returned by a mutate function that has nothing to write.
var ErrUnchanged = errors.New("unchanged")

// Read reads and decodes a value. If the key does not exist, the body is zero.
func Read[T any](ctx context.Context, store winch.Store, key string) (Value[T], error) {
	raw, err := store.Get(ctx, key)
	if errors.Is(err, winch.ErrNotFound) {
		return Value[T]{}, nil
	}
	if err != nil {
		return Value[T]{}, err
	}
	return Decode[T](raw)
}

// Decode decodes a value as read from the store.
func Decode[T any](raw winch.Value) (Value[T], error) {
	var env Envelope[T]
	if err := json.Unmarshal(raw.Data, &env); err != nil {
		return Value[T]{}, merry.Prependf(err, "value of key %s", raw.Key)
	}
	return Value[T]{Body: env.Body, Version: raw.Version, marks: env.Marks}, nil
}

// Update reads a value, lets mutate change its body and writes it back; if another
// writer changed the value in between, it tries again. It returns the value that it
// wrote. If mutate returns an error, nothing is written and that error is returned.
// winch.ErrUncertain is returned only if the outcome of a write with a lost response is
// not known: ctx ended before, or maxMarks others have written since.
// winch.ErrUnavailable means that nothing was written.
func Update[T any](ctx context.Context, store winch.Store, key string, mutate func(*T) error) (Value[T], error) {
	mark := rand.Text()
	var lastErr error
	var written Value[T]
	for range MaxAttempts {
		cur, err := Read[T](ctx, store, key)
		if err != nil {
			return cur, unavailable(err)
		}
		if slices.Contains(cur.marks, mark) {
			return written, nil // The previous attempt's write took effect after resolve had read the value.
		}
		if errors.Is(lastErr, errResponseLost) && overtaken(written.marks, cur.marks) {
			return Value[T]{}, merry.Prependf(winch.ErrUncertain, "key %s is contended", key)
		}
		if err := mutate(&cur.Body); err != nil {
			return cur, err
		}
		written = cur
		var done bool
		cur, done, lastErr = write(ctx, store, key, mark, cur)
		if done {
			return cur, lastErr
		}
	}
	return Value[T]{}, merry.Prependf(winch.ErrUnavailable, "key %s is contended: %v", key, lastErr)
}

// unavailable converts an uncertain error of a read, which writes nothing, to
// winch.ErrUnavailable.
func unavailable(err error) error {
	if errors.Is(err, winch.ErrUncertain) {
		return merry.Prepend(winch.ErrUnavailable, err.Error())
	}
	return err
}

func write[T any](ctx context.Context, store winch.Store, key, mark string, cur Value[T]) (Value[T], bool, error) {
	marks := append(slices.Clone(cur.marks), mark)
	if len(marks) > maxMarks {
		marks = marks[len(marks)-maxMarks:]
	}
	data, err := json.Marshal(Envelope[T]{Marks: marks, Body: cur.Body})
	if err != nil {
		return cur, true, merry.Wrap(err)
	}
	version, err := store.Put(ctx, key, data, cur.Version, "")
	switch {
	case err == nil:
		return Value[T]{Body: cur.Body, Version: version, marks: marks}, true, nil
	case errors.Is(err, winch.ErrConflict):
		return cur, false, err
	case errors.Is(err, winch.ErrUncertain):
		return resolve(ctx, store, key, mark, cur)
	default:
		return cur, true, err
	}
}

// resolve reads the value until it knows whether the write with this mark took
// effect. A write still in progress may take effect after that read; Update then
// tries again with the same mark and looks for the mark after every read, so that a
// delayed write is never applied twice. The returned body is the one written here,
// without later changes by other writers.
func resolve[T any](ctx context.Context, store winch.Store, key, mark string, written Value[T]) (Value[T], bool, error) {
	for {
		cur, err := Read[T](ctx, store, key)
		if err == nil {
			if slices.Contains(cur.marks, mark) {
				return Value[T]{Body: written.Body, Version: cur.Version, marks: cur.marks}, true, nil
			}
			if overtaken(written.marks, cur.marks) {
				return Value[T]{}, true, merry.Prependf(winch.ErrUncertain, "key %s is contended", key)
			}
			return cur, false, merry.Prependf(errResponseLost, "base version %d", written.Version)
		}
		select {
		case <-ctx.Done():
			return Value[T]{}, true, merry.Prepend(winch.ErrUncertain, err.Error())
		case <-time.After(resolveInterval):
		}
	}
}

// overtaken reports whether so many writes followed a value with the marks base that the mark of a
// write based on it may be gone from cur, the marks read later.
func overtaken(base, cur []string) bool {
	if len(cur) < maxMarks {
		return false
	}
	return len(base) == 0 || !slices.Contains(cur, base[len(base)-1])
}
