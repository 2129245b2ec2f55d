package region

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"plantainwinch/duty"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// acceptQueueSize bounds the submissions that wait to be written.
	acceptQueueSize = 1024
	// maxAcceptBatch is how many submissions, of two conditions and two writes each, one
	// transaction may carry.
	maxAcceptBatch = winch.MaxTxnItems / 4
	// concurrentAccepts is how many transactions may be outstanding at once, so that one whose
	// response is lost does not delay the others.
	concurrentAccepts = 4
	// retryAfter is after how long a refused caller may retry.
	retryAfter = time.Second
)

// acceptor writes submissions to the store, several in one transaction.
type acceptor struct {
	node  *Node
	queue chan *submission
}

// submission is a job that a caller has submitted; done receives the result for the caller.
type submission struct {
	job  *winch.PhasedJob
	done chan winch.Result
	// taken is set by whoever decides its fate: the goroutine that is about to write it, or the one that
	// withdraws it before that.
	taken atomic.Bool
}

// take reports whether the submission was neither written nor withdrawn before.
func (s *submission) take() bool { return s.taken.CompareAndSwap(false, true) }

func (a *acceptor) prepare(n *Node) {
	a.node = n
	a.queue = make(chan *submission, acceptQueueSize)
}

func (a *acceptor) run(ctx context.Context) {
	var group conc.WaitGroup
	for range concurrentAccepts {
		group.Go(func() { a.writeBatches(ctx) })
	}
	group.Wait()
}

// writeBatches commits queued submissions, one batch at a time, until ctx ends.
func (a *acceptor) writeBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.queue:
			if batch := a.gather(first); a.storeAnswers(ctx) {
				a.commit(ctx, takeAll(batch))
			} else {
				a.answerAll(takeAll(batch), refuseUnstored())
			}
		}
	}
}

// takeAll returns the submissions of a batch that have not been withdrawn.
func takeAll(batch []*submission) []*submission {
	return slices.DeleteFunc(batch, func(s *submission) bool { return !s.take() })
}

// suspectPollInterval is how often a suspicion about the store is checked.
const suspectPollInterval = 10 * time.Millisecond

// storeAnswers waits while the store is suspected of being unresponsive, and reports whether it is
// responsive then. What is sent to an unresponsive store has an unknown result, while a submission that
// was not sent can be refused or passed on.
func (a *acceptor) storeAnswers(ctx context.Context) bool {
	for ctx.Err() == nil && a.node.storeResponsive() && a.node.health.suspect(time.Now()) {
		duty.Sleep(ctx, suspectPollInterval)
	}
	return a.node.storeResponsive()
}

// refuseUnstored returns the result of a submission that was not sent to the store.
func refuseUnstored() winch.Result {
	return winch.RefuseFor(winch.StoreUnavailable, "the store does not answer", retryAfter)
}

// gather returns a batch of the first and other queued submissions, each ID once. A second submission
// of an ID waits for the next transaction, which finds the first one stored.
func (a *acceptor) gather(first *submission) []*submission {
	batch := []*submission{first}
	seen := map[string]bool{first.job.ID: true}
	for len(batch) < maxAcceptBatch {
		select {
		case s := <-a.queue:
			if seen[s.job.ID] {
				a.enqueue(s)
				return batch
			}
			seen[s.job.ID] = true
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// enqueue queues a submission. It refuses the submission if the queue is full.
func (a *acceptor) enqueue(s *submission) {
	select {
	case a.queue <- s:
	default:
		s.done <- winch.RefuseFor(winch.QueueFull, "too many submissions wait to be stored", retryAfter)
	}
}

// commit writes a batch. A submission whose key is already stored was accepted before; the
// others are written without it.
func (a *acceptor) commit(ctx context.Context, batch []*submission) {
	for len(batch) > 0 {
		txn := winch.Txn{Expect: make(map[string]uint64)}
		for _, s := range batch {
			txn.Expect[keyJob(s.job.ID)], txn.Expect[keyEnded(s.job.ID)] = 0, 0
			txn.Writes = append(txn.Writes,
				winch.Write{Key: keyJob(s.job.ID), Data: encode(s.job)},
				winch.Write{Key: keyCommand(s.job.ID), Data: []byte(s.job.Command)})
		}
		revision, err := a.node.Table.Commit(ctx, txn)
		var conflict *winch.ConflictError
		switch {
		case err == nil:
			a.confirmAccepted(batch, revision)
			return
		case errors.As(err, &conflict):
			remaining := a.answerStored(batch, conflict)
			if len(remaining) == len(batch) {
				a.answerAll(batch, winch.Uncertain(winch.StoreUnavailable, "the store's answer does not tell what is stored"))
				return
			}
			batch = remaining
		case errors.Is(err, winch.ErrUnavailable):
			a.node.Log.Info("submissions not stored; callers asked to retry", zap.Int("count", len(batch)), zap.Error(err))
			a.answerAll(batch, winch.RefuseFor(winch.StoreUnavailable, "the store did not take the submission", retryAfter))
			return
		default:
			a.node.Log.Info("store did not confirm submissions; callers asked to submit again", zap.Int("count", len(batch)), zap.Error(err))
			a.answerAll(batch, winch.Uncertain(winch.StoreUnavailable, "the store did not answer; submit again with the same ID"))
			return
		}
	}
}

// answerStored answers the submissions that were accepted before and returns the others.
func (a *acceptor) answerStored(batch []*submission, conflict *winch.ConflictError) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if conflict.Current[keyJob(s.job.ID)].Version != 0 || conflict.Current[keyEnded(s.job.ID)].Version != 0 {
			s.done <- winch.Result{Outcome: winch.Done}
			continue
		}
		remaining = append(remaining, s)
	}
	return remaining
}

// answerAll answers all submissions of a batch with the same result.
func (a *acceptor) answerAll(batch []*submission, result winch.Result) {
	for _, s := range batch {
		s.done <- result
	}
}

// confirmAccepted answers the stored submissions of a batch and notifies the planner of them.
func (a *acceptor) confirmAccepted(batch []*submission, revision uint64) {
	msg := proto.AcceptedJobs{Settings: a.node.settings.version()}
	for _, s := range batch {
		msg.Settings = max(msg.Settings, s.job.Settings)
		s.job.Revision = revision
		a.node.commands.Add(s.job.ID, s.job.Command)
		s.done <- winch.Result{Outcome: winch.Done}
		a.node.Log.Info("accepted", zap.String("job", s.job.ID), zap.String("queue", s.job.Queue), zap.String("team", s.job.Team), zap.Uint64("revision", revision))
		msg.Jobs = append(msg.Jobs, proto.AcceptedJob{Job: *s.job, Revision: revision, Command: s.job.Command})
	}
	a.node.notifyPlanner(proto.KindAcceptedJobs, msg)
}

// Submit implements winch.Region. It returns when the job is stored, when storing it has failed or
// its outcome is unknown, or when ctx ends. If the store does not take the job from this entry, other
// entries try.
func (n *Node) Submit(ctx context.Context, job *winch.PhasedJob) winch.Result {
	if result, refused := n.refuse(ctx, job); refused {
		return result
	}
	result := n.store(ctx, job)
	if result.Reason == winch.StoreUnavailable {
		return n.forward(ctx, job, result)
	}
	return result
}

// judge decides again whether a job is allowed, if this entry knows a newer configuration than the one by which the job
// was allowed: another entry has passed it on, or this one has reached the store again since.
func (n *Node) judge(ctx context.Context, job *winch.PhasedJob) (winch.Result, bool) {
	if job.Settings == 0 {
		return winch.Result{}, false
	}
	config, state := n.CurrentConfig(ctx, job.ID)
	if config == nil || state != winch.ConfigCurrent {
		return winch.RefuseFor(winch.StoreUnavailable, "a newer configuration may be in force", retryAfter), true
	}
	if config.Version <= job.Settings {
		return winch.Result{}, false
	}
	result := allowedBy(config, job)
	if !result.OK() {
		n.Log.Info("job is not allowed by a newer configuration", zap.String("job", job.ID), zap.Uint64("allowedBy", job.Settings),
			zap.Uint64("version", config.Version), zap.String("reason", string(result.Reason)))
		return result, true
	}
	job.Settings = config.Version
	return winch.Result{}, false
}

// allowedBy returns whether a configuration allows a job, or the reason why not.
func allowedBy(config *winch.RegionConfig, job *winch.PhasedJob) winch.Result {
	queue, team, refused := config.Authorize(job.Queue, job.Key)
	if refused.OK() && !queue.Public && team != job.Team {
		return winch.Refuse(winch.UnknownKey, "the key is not known")
	}
	return refused
}

// setTerms records the terms of a job's queue, unless the job was allowed by a newer configuration than this entry has.
func (n *Node) setTerms(job *winch.PhasedJob) {
	config := n.Config()
	if config == nil || config.Version < job.Settings {
		return
	}
	if queue := config.Queue(job.Queue); queue != nil {
		job.Terms = queue.Terms()
	}
}

// store stores a job through this entry.
func (n *Node) store(ctx context.Context, job *winch.PhasedJob) winch.Result {
	lost := n.storeLost.wait()
	if !n.storeResponsive() {
		return refuseUnstored()
	}
	if result, refused := n.judge(ctx, job); refused {
		return result
	}
	job.Origin = n.Name
	n.setTerms(job)
	n.admission.remember(job.ID)
	s := &submission{job: job, done: make(chan winch.Result, 1)}
	n.accept.enqueue(s)
	select {
	case result := <-s.done:
		return result
	case <-ctx.Done():
	case <-lost:
	}
	if s.take() {
		return refuseUnstored()
	}
	select {
	case result := <-s.done:
		return result
	case <-ctx.Done():
		return winch.Uncertain(winch.DeadlinePassed, "the store has not answered in time; submit again with the same ID")
	}
}
