package winch

import (
	"context"
	"errors"
	"time"
)

// Errors of a Table in addition to those of a Store.
var (
	// ErrCompacted means that the history after the given revision was removed; the caller
	// has to read all keys again.
	ErrCompacted = errors.New("history is compacted")
)

// ConflictError is returned by Commit when an expected revision does not
// match; nothing was written. Current holds the current values of the expected keys.
type ConflictError struct {
	Current map[string]Value
}

// Error returns the text of ErrConflict.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

// Write sets one key in a transaction. Lease is zero for a key that is not bound to a lease.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// Txn is a transaction that is applied atomically if all expected revisions match. A revision
// of zero expects that the key does not exist.
type Txn struct {
	Expect map[string]uint64
	Writes []Write
	Remove []string
}

// MaxTxnItems is the maximum total number of items in Expect, Writes and Remove of a
// transaction.
const MaxTxnItems = 32

// Event is one change of a watched key.
type Event struct {
	Value
	Deleted bool
}

// Table is the platform's key-value service with transactions. Its errors are ErrUnavailable
// (the call is guaranteed to have had no effect), ErrUncertain (it may have taken effect, or
// may still do so if its condition holds then), ErrNotFound, ErrCompacted and ConflictError.
type Table interface {
	// Read returns all keys under a prefix, and a revision that they are at least as new as.
	Read(ctx context.Context, prefix string) ([]Value, uint64, error)
	// Watch waits at most for the duration wait for changes under a prefix after a revision,
	// and returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// GrantLease grants a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease; ErrNotFound means that it has expired.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease uint64) error
}

// CompletionKind is how a run of a task ended at a worker.
type CompletionKind string

// Kinds of completions. Only CompletionFailed counts as an attempt.
const (
	CompletionDone           CompletionKind = "Done"
	CompletionFailed         CompletionKind = "Failed"
	CompletionStopped        CompletionKind = "Stopped"
	CompletionLeaseExpired   CompletionKind = "Lapsed"
	CompletionGangBroken     CompletionKind = "Broken" // CompletionGangBroken: another member of the gang ended.
	CompletionGangIncomplete CompletionKind = "Alone"  // CompletionGangIncomplete: the gang was not complete in time.
)

// Running is a run that a worker lists.
type Running struct {
	_          struct{} `cbor:",toarray"`
	Task       RunID
	Run        uint64
	Checkpoint string
	// Percent is the percentage of its work or of its full speed that the run has reached. In what an entry says of earlier
	// runs it is zero, or PercentUnlisted.
	Percent float64
	// Load is the tail response time in milliseconds for a lasting task with a target,
	// and the processor use in thousandths of a processor for any other task.
	Load float64
}

// PercentUnlisted stands for a run that the boot which it was meant for has not listed: its start may be on its way.
const PercentUnlisted = -1

// Unlisted reports whether the start of an earlier run may be on its way.
func (r Running) Unlisted() bool { return r.Percent < 0 }

// Completion is the completion of a run. A worker lists it until a hold's Forget covers it.
type Completion struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       RunID
	Run        uint64
	Kind       CompletionKind
	Checkpoint string
}

// HoldResponse is a worker's response to a hold.
type HoldResponse struct {
	Clock   time.Duration // Clock is the worker's own monotonic clock.
	Running []Running
	Ended   []Completion
}

// HoldRequest renews the lease on everything that runs at a worker.
type HoldRequest struct {
	Token uint64
	// Until is the new lease expiry on the worker's clock; zero doesn't change the lease.
	Until time.Duration
	// Forget is the number up to which completions are recorded. Zero forgets none.
	Forget uint64
	// Wait is how long the worker may delay its response until a run completes.
	Wait time.Duration
}

// StartRequest starts one run of a task.
type StartRequest struct {
	Token      uint64
	Task       RunID
	Run        uint64
	Command    string
	Checkpoint string
	Ticket     string
	// Until is the time on the worker's clock after which it refuses the start.
	Until time.Duration
}

// StartResult is the result of a start.
type StartResult int

// Results of a start. All but StartOK and StartUncertain guarantee that this call did not
// start the run.
const (
	StartOK StartResult = iota
	StartFenced
	StartOutdated   // StartOutdated: the run's number is too low for this worker.
	StartLate       // StartLate: the call arrived after its Until.
	StartNoCapacity // StartNoCapacity: the worker has no free capacity.
	StartBadTicket  // StartBadTicket: the ticket is invalid or has expired.
	StartRefused
	StartOtherBoot // StartOtherBoot: another boot responded; all runs on the intended boot have ended.
	StartUncertain // StartUncertain: no response; the run may still begin later.
)

// String returns the name of the result for logs.
func (r StartResult) String() string {
	return [...]string{"OK", "Fenced", "Old", "Late", "NoRoom", "Ticket", "Refused", "OtherBoot", "Uncertain"}[r]
}

// ErrOtherBoot is returned when another boot of a worker VM responded: all runs on the
// intended boot have ended.
var ErrOtherBoot = errors.New("another boot of the worker responded")

// WorkerClient sends orders to the worker VMs of a region. If the start of the boot is known, no other boot carries out an
// order: the next one may respond at the same address under the same ID, but it has other runs, another clock and
// other numbers of completions.
type WorkerClient interface {
	// Hold renews the lease of the worker and returns what runs there and what ended.
	Hold(ctx context.Context, vm WorkerVM, call HoldRequest) (HoldResponse, error)
	// Start starts a run. The duration is the worker's clock; zero if the response holds none.
	Start(ctx context.Context, vm WorkerVM, call StartRequest) (StartResult, time.Duration)
	// Stop stops a run. After an error other than ErrFenced and ErrOtherBoot the worker may
	// not have received the call.
	Stop(ctx context.Context, vm WorkerVM, token uint64, task RunID, run uint64) error
	// Throttle sets the throttle percentage of a run.
	Throttle(ctx context.Context, vm WorkerVM, token uint64, task RunID, run uint64, percent int) error
	// Disconnect closes the connections to a boot that is lost.
	Disconnect(vm WorkerVM)
}

// Ticket is the advice service's permission for a worker to run the tasks of a phase.
type Ticket struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Value  string
}

// Advisor is the advice service, which decides which workers may run a phase.
type Advisor interface {
	// Advise returns tickets for those of the workers that may run the phase, and how long the
	// tickets are valid.
	Advise(ctx context.Context, phase RunID, workers []string) ([]Ticket, time.Duration, error)
}

// Codec decodes what the platform's operator and workers write into the store.
type Codec interface {
	// OperatorPrefix returns the prefix of all keys that the operator writes.
	OperatorPrefix() string
	// ConfigKey returns the key of the operator's configuration.
	ConfigKey() string
	// EvacuationPrefix returns the prefix of the keys that mark failure domains as evacuated. The
	// rest of such a key is the name of the domain.
	EvacuationPrefix() string
	// WorkerPrefix returns the prefix of the keys under which worker VMs register.
	WorkerPrefix() string
	Config(data []byte) (*RegionConfig, error)
	// Worker returns false for a record that describes no usable worker.
	Worker(key string, data []byte) (WorkerVM, bool)
}

// ConfigState says what an entry knows of the configuration that it returns.
type ConfigState int

const (
	// ConfigCurrent says that the configuration was in force within the bound that the operator sets.
	ConfigCurrent ConfigState = iota
	// ConfigUnreachable says that the entry reaches neither the store nor an entry that the store answers. It goes on
	// with what it has, but a queue or key that is not in it may exist.
	ConfigUnreachable
	// ConfigUnconfirmed says that the entry may reach the store, or a peer that it answers, and has not been shown yet that
	// it knows the newest configuration. A request is refused.
	ConfigUnconfirmed
)

// Region is the interface through which the HTTP front end for callers uses an entry.
type Region interface {
	// CurrentConfig returns the configuration by which a request is to be handled, or nil if the entry has
	// none. If the entry has not been shown lately that no newer one is in force, it first waits a moment for that.
	// The request is named in logs.
	CurrentConfig(ctx context.Context, request string) (*RegionConfig, ConfigState)
	// Submit accepts a job, or returns the reason for refusing it.
	Submit(ctx context.Context, job *PhasedJob) Result
	// State returns the state of a job, or a result with UnknownJob if there is no such job.
	State(ctx context.Context, id string) (JobState, Result)
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Result
	// Waiting returns the number of accepted jobs of a queue that have not begun.
	Waiting(ctx context.Context, queue string) (int, Result)
	// Ready reports whether the entry should receive new callers.
	Ready() bool
	// Stopping reports whether the entry is about to stop.
	Stopping() bool
}
