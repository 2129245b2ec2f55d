package swap

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/stand"
	"plantainwinch/winch"
)

type tally struct{ N int }

func add(t *tally) error {
	t.N++
	return nil
}

// Guards against lost updates when several writers change one value concurrently.
func TestUpdateRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		var group conc.WaitGroup
		for range 8 {
			group.Go(func() {
				_, err := Update(context.Background(), p, "k", add)
				is.NoErr(err)
			})
		}
		group.Wait()
		v, err := Read[tally](context.Background(), p, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 8)
	})
}

// Guards against a change being applied twice when the store's response to a
// successful write is lost and the writer tries again.
func TestUpdateLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		for i := range 10 {
			p.Set(stand.Faults{LoseReplies: i % 3})
			_, err := Update(context.Background(), p, "k", add)
			is.NoErr(err)
		}
		v, err := Read[tally](context.Background(), p, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 10)
	})
}

// delayedStore delays the first write: it reports an uncertain result, and the write
// takes effect at the third read, when the writer has already looked for its mark.
type lateStore struct {
	*stand.Platform
	late func()
	gets int
}

func (s *lateStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	if s.late == nil {
		s.late = func() { _, _ = s.Platform.Put(ctx, key, data, version, lease) }
		return 0, winch.ErrUncertain
	}
	return s.Platform.Put(ctx, key, data, version, lease)
}

func (s *lateStore) Get(ctx context.Context, key string) (winch.Value, error) {
	s.gets++
	if s.gets == 3 {
		s.late()
	}
	return s.Platform.Get(ctx, key)
}

// Guards against a change being applied twice when a delayed write takes effect after
// its writer has looked for it and tries again.
func TestUpdateLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &lateStore{Platform: &stand.Platform{}}
		_, err := Update(context.Background(), s, "k", add)
		is.NoErr(err)
		v, err := Read[tally](context.Background(), s, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 1)
	})
}

// Guards against reporting that nothing was written when the store goes down right
// after a write with a lost response: the outcome is uncertain.
func TestUpdateUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		s := &thenDown{Platform: p}
		ctx, cancel := context.WithTimeout(context.Background(), 1e9)
		defer cancel()
		_, err := Update(ctx, s, "k", add)
		is.True(errors.Is(err, winch.ErrUncertain))
		p.Set(stand.Faults{Down: true})
		_, err = Update(ctx, p, "k", add)
		is.True(errors.Is(err, winch.ErrUnavailable)) // nothing was sent
	})
}

// failingStore applies a write, loses the response and goes down.
type thenDown struct{ *stand.Platform }

func (s *thenDown) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	_, _ = s.Platform.Put(ctx, key, data, version, lease)
	s.Set(stand.Faults{Down: true})
	return 0, winch.ErrUncertain
}
