// Package proto defines the messages between entries, which are encoded as CBOR.
package proto

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"plantainwinch/winch"
)

// Version is the version of the protocol. Entries with different versions reject
// each other's Hello, before any other message.
const Version = 2

// Kinds of the messages between entries.
const (
	KindHello       winch.Kind = "Hello"
	KindHeartbeat   winch.Kind = "Beat"
	KindConfig      winch.Kind = "Config"
	KindSlot        winch.Kind = "Slot"
	KindSlotRelease winch.Kind = "SlotDone"
	KindHeldSlots   winch.Kind = "SlotHeld"
	KindHandoff     winch.Kind = "Handoff"
	KindJobHint     winch.Kind = "JobHint"
	KindJobStatus   winch.Kind = "JobStatus"
)

// Frame is one message on a link.
type Frame struct {
	ID    uint64          `cbor:"1,keyasint,omitempty"` // ID matches a response to its request; zero for a notification.
	Kind  winch.Kind      `cbor:"2,keyasint,omitempty"`
	Reply bool            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Hello is the first message on a link, in both directions.
type Hello struct {
	Version int
	Cell    string
	Entry   string
	Domain  string
	// Address is where peers reach the sender. An entry that names it answers requests on links that it has
	// dialled, too.
	Address string `cbor:",omitempty"`
}

// Load is the slot usage of an entry's executors of one service.
type Load struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`
	Busy    int    `cbor:"3,keyasint,omitempty"`
	Queued  int    `cbor:"4,keyasint,omitempty"`
	// Draining counts the busy slots of executors that get no new calls.
	Draining int `cbor:"5,keyasint,omitempty"`
}

// TeamUse is a team's number of running units at an entry or in an office (the planner's
// leadership lease in the store). Want is the number that the team could use beyond the units
// granted to the sender.
type TeamUse struct {
	Team    string `cbor:"1,keyasint"`
	Running int    `cbor:"2,keyasint,omitempty"`
	Want    int    `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is sent by each entry to every other one.
type Heartbeat struct {
	Domain  string    `cbor:"1,keyasint"`
	Leaving bool      `cbor:"2,keyasint,omitempty"`
	Config  uint64    `cbor:"3,keyasint,omitempty"`
	Loads   []Load    `cbor:"4,keyasint,omitempty"`
	Teams   []TeamUse `cbor:"5,keyasint,omitempty"`
	// Store reports whether the sender can reach the store.
	Store bool `cbor:"6,keyasint,omitempty"`
	// Epoch is the newest epoch of the sender's domain that the sender knows, and
	// Placer the domain's planner in that epoch.
	Epoch  uint64 `cbor:"7,keyasint,omitempty"`
	Placer string `cbor:"8,keyasint,omitempty"`
	// Office is set only by the domain's planner.
	Office *OfficeLoad `cbor:"9,keyasint,omitempty"`
}

// OfficeLoad is the resource usage of a domain's workers.
type OfficeLoad struct {
	Size    winch.Resources `cbor:"1,keyasint"`
	Used    winch.Resources `cbor:"2,keyasint"`
	Waiting int             `cbor:"3,keyasint,omitempty"`
	Running int             `cbor:"4,keyasint,omitempty"` // Running counts the running tasks.
}

// ConfigRequest asks for the configuration if it is newer than Have.
type ConfigRequest struct {
	Have uint64
}

// ConfigResponse carries a configuration document as JSON, empty if there is no newer one.
type ConfigResponse struct {
	Document []byte
}

// SlotRequest asks the home entry of executors, which grants their slots, for a slot.
type SlotRequest struct {
	// Grant is the ID of the grant. The requester chooses it, so that it can release
	// a slot even if the response is lost.
	Grant   string
	Service string
	Class   string
	Team    string
	KeyID   string
	// Remaining is the time until the request's deadline. It is a duration because
	// the clocks of the two machines differ.
	Remaining time.Duration
	// MaxRun is the time after which the work is guaranteed to have ended.
	MaxRun time.Duration
	// Avoid lists executors on which the request was already attempted.
	Avoid []string `cbor:",omitempty"`
	// Process tells the sender's process from earlier ones of the same entry.
	Process string `cbor:",omitempty"`
}

// SlotResponse grants a slot or refuses the request with a result.
type SlotResponse struct {
	Executor winch.VM
	Refused  winch.Result
}

// Verdict is the result of using a slot, as evidence of the executor's health.
type Verdict uint8

// Verdicts.
const (
	Unused   Verdict = iota // Unused: nothing was sent.
	Answered                // Answered: a complete response was received.
	Failed                  // Failed: the executor returned an error of its own or closed the connection early.
	Rejected                // Rejected: the executor was unreachable or had no free slot.
)

// SlotRelease releases a slot.
type SlotRelease struct {
	Grant   string
	Verdict Verdict
	// After is how long the slot stays occupied because the work may still run.
	After time.Duration
	Took  time.Duration
}

// HeldSlot is a slot in use.
type HeldSlot struct {
	Grant    string
	Executor string
	Team     string
	Left     time.Duration // Left is the time after which the work is guaranteed to have ended.
}

// HeldSlots lists slots of the receiver's executors that the sender uses.
type HeldSlots struct {
	Held []HeldSlot
	// Complete reports that the sender's process uses no other slots. It is set in the first
	// message on a new link, before any grant on that link.
	Complete bool
	Process  string `cbor:",omitempty"` // Process is that of the requests for the slots.
}

// Handoff transfers an executor and its slots in use to a new home entry.
type Handoff struct {
	Executor string
	Held     []HeldSlot
}

// JobHint notifies a domain's planner that a job was committed or changed.
type JobHint struct {
	ID string
}

// JobStatusRequest asks a domain's planner why a job is waiting.
type JobStatusRequest struct {
	ID string
}

// JobStatus is the part of a job's status that the domain's planner knows and the ledger does not hold.
type JobStatus struct {
	Known    bool
	Why      string
	Running  int
	Ended    int
	Started  time.Time
	Forecast time.Duration
}

// encMode encodes times with microsecond precision and floats in the shortest exact form.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the CBOR form of a message or a stored record.
func Encode(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// Decode reads the CBOR form of a message or a stored record.
func Decode(data []byte, into any) error {
	return cbor.Unmarshal(data, into)
}
