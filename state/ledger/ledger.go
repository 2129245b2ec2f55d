// Package ledger records accepted jobs and non-repeatable calls in the store. The
// records are distributed over partitions by a hash of their id, and changes are
// committed in groups: one write carries all changes of a partition that arrived
// while the previous write was in progress.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"plantainwinch/state/swap"
	"plantainwinch/winch"
)

// JobsPrefix and CallsPrefix are the prefixes of the partitions' store keys. Jobs
// and calls have separate partitions, so that planners, which watch the jobs, are
// not notified of every call.
const (
	JobsPrefix  = "Ledger/Jobs/"
	CallsPrefix = "Ledger/Calls/"
)

// DefaultPartitions is the default number of partitions in a cell. The number must
// not change during the cell's life, since it determines the partition of each
// record. Many small partitions cost less than a few large ones, because each
// write rewrites a whole partition.
const DefaultPartitions = 256

const (
	// DefaultRetention is how long a complete record is kept after its job or call
	// has ended.
	DefaultRetention = time.Hour
	// DefaultIDRetention is how long a reduced record is kept after the end, so that
	// a late resubmission is recognized and does not run again.
	DefaultIDRetention = 24 * time.Hour
	// maxPartitionSize stays below the store's limit of one megabyte for a value.
	maxPartitionSize = 700 << 10
	// maxResponsesSize limits the stored responses in a partition; the oldest are
	// dropped first.
	maxResponsesSize = 200 << 10
	// recordOverhead is the approximate size of a record without its texts.
	recordOverhead = 450
)

// ErrFull is returned when a partition has no capacity for another record. Records
// are not dropped early to free capacity, since a request whose record is missing
// could run twice.
var ErrFull = errors.New("the ledger's partition is full")

// maxGroupSize limits the changes in one write and the changes queued for a
// partition.
const maxGroupSize = 512

// Partition is the content of one store value.
type Partition struct {
	Jobs  map[string]winch.Job
	Calls map[string]winch.CallRecord
}

// Change modifies a partition. A change that returns an error must leave the
// partition unmodified; other changes of the same group still apply.
type Change func(p *Partition) error

// ErrBusy is returned immediately when the queue of a partition is full.
var ErrBusy = errors.New("ledger is busy")

type pendingChange struct {
	change Change
	done   chan error
}

// Ledger commits changes of records. Its exported fields must be set before Prepare.
type Ledger struct {
	Store       winch.Store
	Prefix      string
	Partitions  int
	Retention   time.Duration
	IDRetention time.Duration
	// Timeout limits the duration of one group's write, so that a slow store does not
	// block the callers of Commit for longer.
	Timeout time.Duration
	Metrics metrics.Registry

	queues  []chan pendingChange
	stopped chan struct{}
	changes metrics.Counter
	writes  metrics.Counter
}

// Prepare sets defaults and creates the queues. It must be called before Run and
// Commit.
func (l *Ledger) Prepare() {
	if l.Partitions == 0 {
		l.Partitions = DefaultPartitions
	}
	if l.Retention == 0 {
		l.Retention = DefaultRetention
	}
	if l.IDRetention == 0 {
		l.IDRetention = DefaultIDRetention
	}
	if l.Timeout == 0 {
		l.Timeout = 5 * time.Second
	}
	if l.Metrics == nil {
		l.Metrics = metrics.NewRegistry()
	}
	l.changes = metrics.GetOrRegisterCounter("Ledger.Changes", l.Metrics)
	l.writes = metrics.GetOrRegisterCounter("Ledger.Writes", l.Metrics)
	l.stopped = make(chan struct{})
	l.queues = make([]chan pendingChange, l.Partitions)
	for i := range l.queues {
		l.queues[i] = make(chan pendingChange, maxGroupSize)
	}
}

// Run commits changes until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	defer close(l.stopped)
	var group conc.WaitGroup
	for i := range l.queues {
		group.Go(func() { l.runPartition(ctx, i) })
	}
	group.Wait()
}

// ID returns the id of a team's request. It is the same on every entry, so that a
// resubmission finds the record whichever entry receives it.
func ID(kind, team, request string) string {
	sum := sha256.Sum256([]byte(kind + "\x00" + team + "\x00" + request))
	return kind + hex.EncodeToString(sum[:10])
}

// Digest returns a digest that distinguishes a resubmission from a different
// request with the same id.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// PartitionOf returns the number of the partition that holds the record of an id.
func (l *Ledger) PartitionOf(id string) int {
	sum := sha256.Sum256([]byte(id))
	return (int(sum[0])<<8 | int(sum[1])) % l.Partitions
}

// Key returns the store key of a partition.
func (l *Ledger) Key(partition int) string {
	return fmt.Sprintf("%s%03d", l.Prefix, partition)
}

// Commit applies a change to the partition of id and returns once it is stored, or
// returns the change's own error. winch.ErrUncertain means that the change may have
// been stored; winch.ErrUnavailable and ErrBusy mean that it was not.
func (l *Ledger) Commit(ctx context.Context, id string, change Change) error {
	p := pendingChange{change: change, done: make(chan error, 1)}
	select {
	case l.queues[l.PartitionOf(id)] <- p:
	default:
		return ErrBusy
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", winch.ErrUncertain, ctx.Err())
	case <-l.stopped:
		return fmt.Errorf("%w: the ledger has stopped", winch.ErrUncertain)
	}
}

// Read returns the partition that holds the record of an id.
func (l *Ledger) Read(ctx context.Context, id string) (Partition, error) {
	v, err := swap.Read[Partition](ctx, l.Store, l.Key(l.PartitionOf(id)))
	return v.Body, err
}

func (l *Ledger) runPartition(ctx context.Context, partition int) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queues[partition]:
			l.commitGroup(ctx, partition, l.collect(partition, first))
		}
	}
}

// collect returns the first change with all others in the queue. It does not wait
// for more, since the next group accumulates while this one is written.
func (l *Ledger) collect(partition int, first pendingChange) []pendingChange {
	group := []pendingChange{first}
	for len(group) < maxGroupSize {
		select {
		case p := <-l.queues[partition]:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (l *Ledger) commitGroup(ctx context.Context, partition int, group []pendingChange) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	errs := make([]error, len(group))
	_, err := swap.Update(ctx, l.Store, l.Key(partition), func(p *Partition) error {
		return l.applyGroup(p, group, errs)
	})
	l.changes.Inc(int64(len(group)))
	l.writes.Inc(1)
	for i, p := range group {
		switch {
		case errs[i] != nil:
			p.done <- errs[i]
		case errors.Is(err, swap.ErrUnchanged):
			p.done <- nil
		default:
			p.done <- err
		}
	}
}

// applyGroup applies the changes of a group and stores their errors in errs. A
// failed change does not affect the others.
func (l *Ledger) applyGroup(p *Partition, group []pendingChange, errs []error) error {
	if p.Jobs == nil {
		p.Jobs = make(map[string]winch.Job)
	}
	if p.Calls == nil {
		p.Calls = make(map[string]winch.CallRecord)
	}
	changed := false
	for i := range group {
		errs[i] = group[i].change(p)
		changed = changed || errs[i] == nil
	}
	if !changed {
		return swap.ErrUnchanged
	}
	l.expire(p)
	return nil
}
