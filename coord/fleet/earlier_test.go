package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Guards against work that is started again without a trace of why the earlier work at a worker counted as known.
func TestEarlierWorkIsKnownForAReason(t *testing.T) {
	is := is.New(t)
	p := New(2)
	p.SetConfig(&winch.RegionConfig{})
	p.Barrier = time.Now().Add(time.Hour)
	var workers []winch.WorkerVM
	for _, id := range []string{"listed", "reported", "replaced", "expired", "silent"} {
		workers = append(workers, winch.WorkerVM{ID: id, Born: 1})
	}
	p.SetRoster([]string{"listed", "reported", "replaced", "expired", "silent", "gone"})
	p.SetRemoved(workers)
	p.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: "listed"})
	p.HandleEvent(proto.KeeperEvent{Kind: proto.EventKnownRuns, Worker: "reported"})
	p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "replaced", Result: winch.StartOtherBoot})
	p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "expired", Result: winch.StartUncertain})
	p.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: "gone"})
	is.True(p.Adopting())
	is.Equal(p.EarlierKnown(), map[string][]string{
		EarlierListed: {"listed"}, EarlierReported: {"reported"}, EarlierReplaced: {"replaced"},
		EarlierExpired: {"expired"}, EarlierNotListed: {"gone"},
	})
	p.Barrier = time.Now().Add(-time.Second)
	is.True(!p.Adopting())
	is.Equal(p.EarlierKnown(), map[string][]string{EarlierWaitOver: {"silent"}})
	is.Equal(len(p.EarlierKnown()), 0)
}
