// Package swap changes one value of the store by compare-and-swap and tells
// whether a write took effect even when its reply was lost.
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

// marksKept is how many writers' marks a value carries. Between a lost reply
// and the read that resolves it, at most this many other writes may come.
const marksKept = 64

// Attempts bounds how often one update is tried before it is given up.
const Attempts = 20

// resolveWait is the pause between reads that resolve a lost reply.
const resolveWait = 20 * time.Millisecond

// Envelope is the form in which a value stands in the store. Marks names the
// newest writes: a writer whose reply was lost reads the value back and finds
// its mark if, and only if, its write took effect.
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

// ErrUnchanged is returned by a mutation that has nothing to write.
var ErrUnchanged = errors.New("unchanged")

// Read gets and decodes a value; a key that does not exist gives the zero body.
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

// Decode decodes a raw value of the store.
func Decode[T any](raw winch.Value) (Value[T], error) {
	var env Envelope[T]
	if err := json.Unmarshal(raw.Data, &env); err != nil {
		return Value[T]{}, merry.Prependf(err, "value of key %s", raw.Key)
	}
	return Value[T]{Body: env.Body, Version: raw.Version, marks: env.Marks}, nil
}

// Update reads the value, lets mutate change the body and writes it back,
// again if another writer came between. The value returned is the one that this
// update wrote. An error of mutate ends it without a
// write. winch.ErrUncertain is returned only if ctx ended before a lost reply
// could be resolved; winch.ErrUnavailable means that nothing was written.
func Update[T any](ctx context.Context, store winch.Store, key string, mutate func(*T) error) (Value[T], error) {
	mark := rand.Text()
	var last error
	var wrote Value[T]
	for range Attempts {
		cur, err := Read[T](ctx, store, key)
		if err != nil {
			return cur, notWritten(err)
		}
		if slices.Contains(cur.marks, mark) {
			return wrote, nil // The last attempt, taken for lost, took effect late.
		}
		if err := mutate(&cur.Body); err != nil {
			return cur, err
		}
		wrote = cur
		var done bool
		cur, done, last = write(ctx, store, key, mark, cur)
		if done {
			return cur, last
		}
	}
	return Value[T]{}, merry.Prependf(winch.ErrUnavailable, "key %s is contended: %v", key, last)
}

// notWritten turns the failure of a read into one that surely wrote nothing.
func notWritten(err error) error {
	if errors.Is(err, winch.ErrUncertain) {
		return merry.Prepend(winch.ErrUnavailable, err.Error())
	}
	return err
}

func write[T any](ctx context.Context, store winch.Store, key, mark string, cur Value[T]) (Value[T], bool, error) {
	marks := append(slices.Clone(cur.marks), mark)
	if len(marks) > marksKept {
		marks = marks[len(marks)-marksKept:]
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

// resolve reads until it knows whether the write with this mark took effect. A
// write still under way could land after the read; the caller then tries again
// under the same mark, and every read looks for the mark first, so a late effect
// is never applied a second time.
// What it returns is what was written, not what others have made of it since.
func resolve[T any](ctx context.Context, store winch.Store, key, mark string, wrote Value[T]) (Value[T], bool, error) {
	for {
		now, err := Read[T](ctx, store, key)
		if err == nil {
			if slices.Contains(now.marks, mark) {
				return Value[T]{Body: wrote.Body, Version: now.Version, marks: now.marks}, true, nil
			}
			return now, false, merry.Prependf(winch.ErrConflict, "base version %d", wrote.Version)
		}
		select {
		case <-ctx.Done():
			return Value[T]{}, true, merry.Prepend(winch.ErrUncertain, err.Error())
		case <-time.After(resolveWait):
		}
	}
}
