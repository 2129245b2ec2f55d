package winch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors returned by every Store, possibly wrapped.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrConflict means that the given version is not the current one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call is guaranteed to have had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain means that the call may have taken effect.
	ErrUncertain = errors.New("store reply lost")
)

// Value is one key of the store with the version of its last write.
type Value struct {
	Key     string
	Data    []byte
	Version uint64
}

// Change is one event of a watch. It carries no data; the watcher reads the keys it needs.
type Change struct {
	Key     string
	Version uint64
	Deleted bool
}

// Store is the platform's key-value service. Each write increases the version of the whole
// store. A version of zero stands for a key that does not exist.
type Store interface {
	Get(ctx context.Context, key string) (Value, error)
	Put(ctx context.Context, key string, data []byte, version uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]Value, error)
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
	// Watch waits until a key under one of the prefixes has changed after the given
	// version, or until a timeout of the store, and returns the changes and the version
	// to continue from.
	Watch(ctx context.Context, prefixes []string, after uint64) ([]Change, uint64, error)
}

// Lister reads the platform's list of VMs, which lags behind reality.
type Lister interface {
	// VMs returns the list and its version. The list is omitted if the version equals
	// known.
	VMs(ctx context.Context, known uint64) ([]VM, uint64, error)
}

// ErrFenced is returned by a worker that knows a newer epoch or fencing token.
var ErrFenced = errors.New("epoch or fencing token is older than the worker's")

// ErrRefused is returned by a worker that is guaranteed not to have started a task.
var ErrRefused = errors.New("worker refused the task")

// Worker starts, renews and stops tasks on one VM at a time.
type Worker interface {
	// Start starts a task under a lease. ErrRefused and ErrFenced guarantee that it was
	// not started; after any other error it may have been.
	Start(ctx context.Context, vm VM, epoch uint64, task Task, lease time.Duration) error
	// Renew extends the leases of all tasks on the VM and returns the completed ones.
	Renew(ctx context.Context, vm VM, call Renewal) (Report, error)
	// Stop stops a task and reports whether the worker knew it. A worker that did not
	// know it refuses a start of the same attempt that arrives later.
	Stop(ctx context.Context, vm VM, epoch uint64, task Task) (bool, error)
}

// Renewal is a request that renews the leases of all tasks on a VM.
type Renewal struct {
	Epoch uint64
	Lease time.Duration
	// Wait is how long the worker may delay its response until a task ends.
	Wait time.Duration
	// Full requests the running tasks too, which a new planner needs.
	Full bool
	// Forget lists ended tasks whose completion the sender has recorded.
	Forget []Attempt
}

// Report is a worker's response to a Renewal.
type Report struct {
	// Tasks holds the ended tasks that were not yet listed in a Forget, and the running
	// ones if they were requested.
	Tasks   []Task
	Running int
	// Usage is the measured use of the running tasks, with a delay.
	Usage Resources
}

// Request is one attempt of a call on its way to an executor.
type Request struct {
	ID     string // ID is unique per attempt and is echoed by executors that can.
	Team   string
	Path   string
	Header http.Header
	Body   io.Reader
	Length int64
}

// Response is an executor's response whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// RequestID is the ID of the request that the executor says it answers; empty if it says none.
	RequestID string
}

// Executor sends one request to one executor. The bool reports whether any byte of the
// request may have been sent; false guarantees that the request did not run.
type Executor interface {
	Send(ctx context.Context, vm VM, req Request) (*Response, bool, error)
}

// ErrNoPeer is returned when there is no link to a peer; nothing was sent.
var ErrNoPeer = errors.New("no link to the peer")

// ErrPeerLost is returned when a link failed before the response; the peer may have
// processed the request.
var ErrPeerLost = errors.New("link to the peer broke")

// Kind is the type of a message between entries.
type Kind string

// Peers carries messages between entries.
type Peers interface {
	// Request sends a request and decodes the response into reply.
	Request(ctx context.Context, to string, kind Kind, body, reply any) error
	// Notify sends a notification, which has no response and may be lost.
	Notify(to string, kind Kind, body any) error
	// Names returns the entries with an established link.
	Names() []string
}

// Links is implemented by peers that make links on demand.
type Links interface {
	Peers
	// Linked reports whether there is a link to an entry.
	Linked(name string) bool
	// Connect establishes a link to an entry unless there is one, and returns ErrNoPeer if that fails. The
	// link is closed once it is idle.
	Connect(ctx context.Context, name, address string) error
	// OneWay returns the entries that have linked to this one and accept no messages on that link.
	OneWay() []string
}

// Handler handles messages from other entries. It decodes the body with the given
// function and returns the response, or nil for a notification.
type Handler func(ctx context.Context, from string, kind Kind, decode func(into any) error) any
