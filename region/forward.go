package region

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// maxForwards bounds the entries that a submission is passed to.
	maxForwards = 3
	// probedPeers is how many peers are asked at once whether the store answers them.
	probedPeers = 3
	// probeTimeout bounds a peer's response. A peer that takes longer is overloaded or partitioned from
	// this entry, and a submission sent there would have an unknown result.
	probeTimeout = 100 * time.Millisecond
	// servedPeerTTL is how long a peer that the store answered is used without asking again.
	servedPeerTTL = 200 * time.Millisecond
)

// servedPeer is the peer to which this entry passes what the store does not take from it.
type servedPeer struct {
	mu    sync.Mutex
	name  string
	until time.Time
}

func (s *servedPeer) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.until) {
		return ""
	}
	return s.name
}

func (s *servedPeer) set(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.name, s.until = name, time.Now().Add(servedPeerTTL)
}

// forget drops the peer, which the store does not answer after all.
func (s *servedPeer) forget() { s.set("") }

// findServedPeer returns a peer that the store answers, or "" if none is found, except the given ones. A
// store may turn some entries away while it serves the others.
func (n *Node) findServedPeer(ctx context.Context, except []string) string {
	if name := n.served.get(); name != "" {
		return name
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	names := slices.DeleteFunc(n.Peers.Names(), func(name string) bool { return slices.Contains(except, name) })
	names = sample(names, probedPeers)
	found := make(chan string, len(names))
	var group conc.WaitGroup
	for _, name := range names {
		group.Go(func() {
			if n.probe(ctx, name) {
				found <- name
				cancel() // The first one suffices.
			}
		})
	}
	group.Wait()
	select {
	case name := <-found:
		n.served.set(name)
		return name
	default:
		return ""
	}
}

// sample returns at most count random elements of names, which it reorders.
func sample(names []string, count int) []string {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), count)]
}

// probe reports whether a peer responds and the store answers it.
func (n *Node) probe(ctx context.Context, name string) bool {
	var response proto.Settings
	err := n.Peers.Request(ctx, name, proto.KindSettingsRequest, n.settings.request(), &response)
	return err == nil && !response.Unserved
}

// forward passes a submission that the store did not take from this entry to entries that the store
// answers, and returns the result of the first that stores it, or the given one if none does. The ID
// makes that safe even if an earlier attempt is stored too.
func (n *Node) forward(ctx context.Context, job *winch.PhasedJob, result winch.Result) winch.Result {
	var tried []string
	for len(tried) < maxForwards && ctx.Err() == nil {
		name := n.findServedPeer(ctx, tried)
		if name == "" {
			return result
		}
		tried = append(tried, name)
		n.admission.remember(job.ID)
		var response proto.SubmitResponse
		err := n.Peers.Request(ctx, name, proto.KindSubmit, proto.SubmitRequest{Job: *job, Command: job.Command, Key: job.Key}, &response)
		switch {
		case err == nil && response.Result.OK():
			metrics.GetOrRegisterCounter("Accept.Forwarded", n.Metrics).Inc(1)
			n.Log.Info("submission passed to another entry", zap.String("job", job.ID), zap.String("entry", name))
			return response.Result
		case errors.Is(err, winch.ErrNoPeer):
		case err != nil:
			result = winch.Uncertain(winch.StoreUnavailable, "the entry that the submission was passed to did not answer; submit again with the same ID")
		case response.Result.Outcome == winch.Unknown:
			result = response.Result
		case response.Result.Reason != winch.StoreUnavailable && result.Outcome != winch.Unknown:
			return response.Result // Otherwise an earlier attempt may still be stored.
		}
		n.served.forget()
	}
	return result
}

// submitForPeer stores a submission on behalf of an entry that the store does not answer.
func (n *Node) submitForPeer(ctx context.Context, request proto.SubmitRequest) proto.SubmitResponse {
	job := request.Job
	job.Command, job.Key = request.Command, request.Key
	return proto.SubmitResponse{Result: n.store(ctx, &job)}
}
