package winch

import (
	"context"
	"errors"
	"time"
)

// Errors of a Table besides those of a Store.
var (
	// ErrCompacted: the history after the given revision is gone; read anew.
	ErrCompacted = errors.New("history is compacted")
)

// ConflictError is returned by Commit when an expected revision does not
// match; nothing was written. Current holds the expected keys as they stand.
type ConflictError struct {
	Current map[string]Value
}

// Error implements error.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is find ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

// Write sets one key in a transaction. Lease is zero for a key that stays.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// Txn is a transaction: all of it happens, if all expected revisions match, or
// nothing. A revision of zero expects that the key does not exist.
type Txn struct {
	Expect map[string]uint64
	Writes []Write
	Remove []string
}

// TxnEntries is the most rows of Expect, Writes and Remove that one
// transaction may have in all.
const TxnEntries = 32

// Event is one change of a watched key.
type Event struct {
	Value
	Deleted bool
}

// Table is the platform's key-value service with transactions. Errors are
// ErrUnavailable (surely nothing was done), ErrUncertain (it may have been done,
// or may be done later if its condition still holds), ErrMissing and ErrCompacted.
type Table interface {
	// Read returns all keys under a prefix and the revision that they are no older than.
	Read(ctx context.Context, prefix string) ([]Value, uint64, error)
	// Follow waits for changes under a prefix after a revision, at most for wait,
	// and returns them with the revision to go on from.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit returns the revision of the transaction.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Lease grants a lease.
	Lease(ctx context.Context, ttl time.Duration) (uint64, error)
	// Keep renews a lease; ErrMissing says that it has ended.
	Keep(ctx context.Context, lease uint64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease uint64) error
}

// EndKind says how a run of a task ended at a worker.
type EndKind string

// Kinds of ends. Only EndFailed counts as an attempt.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	EndLapsed  EndKind = "Lapsed"
	EndBroken  EndKind = "Broken" // EndBroken: another member of the gang ended.
	EndAlone   EndKind = "Alone"  // EndAlone: the gang was not complete in time.
)

// Running is a run that a worker lists.
type Running struct {
	_          struct{} `cbor:",toarray"`
	Task       RunID
	Run        uint64
	Checkpoint string
	// Percent is the share of its work or of its speed that the run has reached.
	Percent float64
	// Load is the tail response time in milliseconds of a lasting task with a
	// target, and the thousandths of a processor in use of any other.
	Load float64
}

// Ended is the end of a run that a worker lists until it is told to forget it.
type Ended struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       RunID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// Holding is a worker's answer to a hold.
type Holding struct {
	Clock   time.Duration // Clock is the worker's own steady clock.
	Running []Running
	Ended   []Ended
}

// HoldCall renews the lease on everything that runs at a worker.
type HoldCall struct {
	Token uint64
	// Until is a time on the worker's clock; zero leaves the lease as it is.
	Until time.Duration
	// Forget is the number up to which ends are recorded.
	Forget uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// StartCall starts one run of a task.
type StartCall struct {
	Token      uint64
	Task       RunID
	Run        uint64
	Command    string
	Checkpoint string
	Ticket     string
	// Until is a time on the worker's clock after which the start is refused.
	Until time.Duration
}

// StartResult says what became of a start.
type StartResult int

// Results of a start. All but StartOK and StartUncertain mean that the run
// surely did not begin through this call.
const (
	StartOK StartResult = iota
	StartFenced
	StartOld    // StartOld: the run's number is too low at this worker.
	StartLate   // StartLate: the call arrived after its time.
	StartNoRoom // StartNoRoom: the worker has no room.
	StartTicket // StartTicket: the ticket is not good, or not good any more.
	StartRefused
	StartOtherBoot // StartOtherBoot: another boot answered; all that ran on the one meant has ended.
	StartUncertain // StartUncertain: no answer; the run may begin later.
)

// String names the result for logs.
func (r StartResult) String() string {
	return [...]string{"OK", "Fenced", "Old", "Late", "NoRoom", "Ticket", "Refused", "OtherBoot", "Uncertain"}[r]
}

// ErrOtherBoot is returned when another boot of a worker VM answered: all that
// ran on the boot that was meant has ended.
var ErrOtherBoot = errors.New("another boot of the worker answered")

// Runner sends orders to the worker VMs of a region.
type Runner interface {
	Hold(ctx context.Context, vm WorkerVM, call HoldCall) (Holding, error)
	Start(ctx context.Context, vm WorkerVM, call StartCall) (StartResult, time.Duration)
	// Stop ends a run. ErrFenced and ErrOtherBoot are told apart; any other error
	// means that the worker may not have heard of it.
	Stop(ctx context.Context, vm WorkerVM, token uint64, task RunID, run uint64) error
	Pace(ctx context.Context, vm WorkerVM, token uint64, task RunID, run uint64, percent int) error
	// Drop closes the connections to a boot that is gone.
	Drop(vm WorkerVM)
}

// Ticket allows a worker to run the tasks of a phase.
type Ticket struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Value  string
}

// Advisor says which workers may run a phase.
type Advisor interface {
	Advise(ctx context.Context, phase RunID, workers []string) ([]Ticket, time.Duration, error)
}

// Codec reads what the platform's operator and workers write into the store.
type Codec interface {
	// ConfigKey is the key of the operator's configuration.
	ConfigKey() string
	// WorkerPrefix is where worker VMs register.
	WorkerPrefix() string
	Config(data []byte) (*RegionConfig, error)
	// Worker returns false for an entry that names no worker to use.
	Worker(key string, data []byte) (WorkerVM, bool)
}

// Region is what a caller's front needs of an entry.
type Region interface {
	// Config returns the configuration in force, or nil.
	Config() *RegionConfig
	// Submit accepts a job, or says why not.
	Submit(ctx context.Context, job *PhasedJob) Result
	// State returns the state of a job. A result with UnknownJob says that there is none.
	State(ctx context.Context, id string) (JobState, Result)
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Result
	// Waiting returns how many accepted jobs of a queue have not begun.
	Waiting(ctx context.Context, queue string) (int, Result)
	// Ready reports whether the entry should get new callers.
	Ready() bool
	// Stopping reports whether the entry is to end soon.
	Stopping() bool
}
