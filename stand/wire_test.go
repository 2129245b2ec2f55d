package stand_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/stand"
	"plantainwinch/trans/agent"
	"plantainwinch/trans/store"
	"plantainwinch/winch"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a refused write, an outage, and a lost response to a write that took effect
// being confused by the client of the key-value service. Its caller would repeat a write that
// took effect, or rely on one that did not.
func TestStoreClientDistinguishesFailures(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := &stand.Platform{WatchTimeout: 50 * time.Millisecond}
	c := &store.Client{Address: serve(t, p.Handler())}
	_, err := c.Get(ctx, "k")
	is.True(errors.Is(err, winch.ErrNotFound))
	v, err := c.Put(ctx, "k", []byte("one"), 0, "")
	is.NoErr(err)
	_, err = c.Put(ctx, "k", []byte("two"), 0, "")
	is.True(errors.Is(err, winch.ErrConflict))
	p.SetFaults(stand.Faults{LoseReplies: 1})
	_, err = c.Put(ctx, "k", []byte("two"), v, "")
	is.True(errors.Is(err, winch.ErrUncertain))
	got, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(got.Data), "two")
	changes, next, err := c.Watch(ctx, []string{"k"}, v)
	is.NoErr(err)
	is.Equal(len(changes), 1)
	changes, _, err = c.Watch(ctx, []string{"k"}, next)
	is.NoErr(err)
	is.Equal(len(changes), 0)
	p.SetFaults(stand.Faults{Down: true})
	_, err = c.Put(ctx, "k", []byte("three"), got.Version, "")
	is.True(errors.Is(err, winch.ErrUnavailable))
	unreachable := &store.Client{Address: "127.0.0.1:1"}
	_, err = unreachable.Put(ctx, "k", nil, 0, "")
	is.True(errors.Is(err, winch.ErrUnavailable)) // the service was not reached
}

// Guards against a watch that misses the expiry of a lease. The lease's keys must be deleted
// and the watch must report that, even if there is no other call.
func TestLeaseExpiryDeletesKeys(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := &stand.Platform{}
	c := &store.Client{Address: serve(t, p.Handler())}
	lease, err := c.Grant(ctx, 100*time.Millisecond)
	is.NoErr(err)
	v, err := c.Put(ctx, "Office/d1", []byte("a"), 0, lease)
	is.NoErr(err)
	changes, _, err := c.Watch(ctx, []string{"Office/"}, v)
	is.NoErr(err)
	is.Equal(len(changes), 1)
	is.True(changes[0].Deleted)
	is.True(errors.Is(c.Renew(ctx, lease), winch.ErrNotFound))
}

// Guards against a start that was refused or fenced being confused with one whose response
// was lost, since only the latter may have taken effect.
func TestAgentClientDistinguishesFailures(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	size := winch.Resources{Processors: 2, Memory: 2}
	w := &stand.Worker{VM: winch.VM{ID: "w", Size: size}, Fence: true}
	vm := winch.VM{ID: "w", Address: serve(t, w.Handler()), Size: size}
	c := &agent.Client{HTTP: http.DefaultClient}
	task := func(i int) winch.Task {
		return winch.Task{ID: winch.TaskID{Job: "j", Index: i}, Need: winch.Resources{Processors: 1, Memory: 1}, RunTime: time.Hour, Attempt: 1}
	}
	is.NoErr(c.Start(ctx, vm, 2, task(0), time.Minute))
	is.True(errors.Is(c.Start(ctx, vm, 1, task(1), time.Minute), winch.ErrFenced))
	w.SetFaults(stand.WorkerFaults{LoseReplies: 1})
	err := c.Start(ctx, vm, 2, task(1), time.Minute)
	is.True(err != nil && !errors.Is(err, winch.ErrRefused) && !errors.Is(err, winch.ErrFenced))
	is.True(errors.Is(c.Start(ctx, vm, 2, task(2), time.Minute), winch.ErrRefused)) // the worker is full
	report, err := c.Renew(ctx, vm, winch.Renewal{Epoch: 3, Lease: time.Minute, Full: true})
	is.NoErr(err)
	is.Equal(len(report.Tasks), 2)
	had, err := c.Stop(ctx, vm, 3, task(0))
	is.NoErr(err)
	is.True(had)
	had, err = c.Stop(ctx, vm, 3, task(5))
	is.NoErr(err)
	is.Equal(had, false)
	is.True(errors.Is(c.Start(ctx, vm, 3, task(5), time.Minute), winch.ErrRefused)) // it was stopped before it started
	report, err = c.Renew(ctx, vm, winch.Renewal{Epoch: 3, Lease: time.Minute, Wait: time.Minute})
	is.NoErr(err)
	is.Equal(report.Tasks[0].State, winch.TaskStopped) // a completion is reported without waiting
	report, err = c.Renew(ctx, vm, winch.Renewal{Epoch: 3, Lease: time.Minute, Forget: []winch.Attempt{task(0).Ref()}})
	is.NoErr(err)
	is.Equal(len(report.Tasks), 0)
}
