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

type counter struct{ N int }

func increment(t *counter) error {
	t.N++
	return nil
}

// Guards against lost updates when several writers change one value concurrently.
func TestConcurrentUpdatesAreAllApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		var group conc.WaitGroup
		for range 8 {
			group.Go(func() {
				_, err := Update(context.Background(), p, "k", increment)
				is.NoErr(err)
			})
		}
		group.Wait()
		v, err := Read[counter](context.Background(), p, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 8)
	})
}

// Guards against a change being applied twice when the store's response to a
// successful write is lost and the writer tries again.
func TestUpdateIsAppliedOnceAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		for i := range 10 {
			p.SetFaults(stand.Faults{LoseReplies: i % 3})
			_, err := Update(context.Background(), p, "k", increment)
			is.NoErr(err)
		}
		v, err := Read[counter](context.Background(), p, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 10)
	})
}

// delayedStore delays the first write: it reports an uncertain result, and the write
// takes effect at the third read, when the writer has already looked for its mark.
type delayedStore struct {
	*stand.Platform
	delayedPut func()
	gets       int
}

func (s *delayedStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	if s.delayedPut == nil {
		s.delayedPut = func() { _, _ = s.Platform.Put(ctx, key, data, version, lease) }
		return 0, winch.ErrUncertain
	}
	return s.Platform.Put(ctx, key, data, version, lease)
}

func (s *delayedStore) Get(ctx context.Context, key string) (winch.Value, error) {
	s.gets++
	if s.gets == 3 {
		s.delayedPut()
	}
	return s.Platform.Get(ctx, key)
}

// Guards against a change being applied twice when a delayed write takes effect after
// its writer has looked for it and tries again.
func TestUpdateIsAppliedOnceAfterDelayedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &delayedStore{Platform: &stand.Platform{}}
		_, err := Update(context.Background(), s, "k", increment)
		is.NoErr(err)
		v, err := Read[counter](context.Background(), s, "k")
		is.NoErr(err)
		is.Equal(v.Body.N, 1)
	})
}

// Guards against reporting that nothing was written when the store goes down right
// after a write with a lost response: the outcome is uncertain.
func TestUpdateReportsUncertainOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &stand.Platform{}
		s := &failingStore{Platform: p}
		ctx, cancel := context.WithTimeout(context.Background(), 1e9)
		defer cancel()
		_, err := Update(ctx, s, "k", increment)
		is.True(errors.Is(err, winch.ErrUncertain))
		p.SetFaults(stand.Faults{Down: true})
		_, err = Update(ctx, p, "k", increment)
		is.True(errors.Is(err, winch.ErrUnavailable)) // nothing was sent
	})
}

// failingStore applies a write, loses the response and goes down.
type failingStore struct{ *stand.Platform }

func (s *failingStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	_, _ = s.Platform.Put(ctx, key, data, version, lease)
	s.SetFaults(stand.Faults{Down: true})
	return 0, winch.ErrUncertain
}

// overtakenStore applies the first write, loses its response and lets many other writers go first.
type overtakenStore struct {
	*stand.Platform
	others int
}

func (s *overtakenStore) Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error) {
	if _, err := s.Platform.Put(ctx, key, data, version, lease); err != nil || s.others == 0 {
		return version, err
	}
	for ; s.others > 0; s.others-- {
		if _, err := Update(ctx, s.Platform, key, increment); err != nil {
			return 0, err
		}
	}
	return 0, winch.ErrUncertain
}

// Guards against a change that is applied twice: more writes than the value keeps marks of come between a
// lost response and the read that looks for its mark.
func TestUpdateIsNotAppliedTwiceAfterManyOtherWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{1, maxMarks - 1, maxMarks, 2 * maxMarks} {
			is := is.New(t)
			s := &overtakenStore{Platform: &stand.Platform{}, others: others}
			_, err := Update(context.Background(), s, "k", increment)
			is.Equal(errors.Is(err, winch.ErrUncertain), others >= maxMarks)
			v, err := Read[counter](context.Background(), s, "k")
			is.NoErr(err)
			is.Equal(v.Body.N, others+1)
		}
	})
}
