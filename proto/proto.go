// Package proto holds the messages between entries. They travel as CBOR.
package proto

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"plantainwinch/winch"
)

// Version is the version of the protocol. Entries of different versions refuse
// each other in the hello, before any other message.
const Version = 2

// Kinds of messages.
const (
	KindHello     winch.Kind = "Hello"
	KindBeat      winch.Kind = "Beat"
	KindConfig    winch.Kind = "Config"
	KindSlot      winch.Kind = "Slot"
	KindSlotDone  winch.Kind = "SlotDone"
	KindSlotHeld  winch.Kind = "SlotHeld"
	KindHandoff   winch.Kind = "Handoff"
	KindJobHint   winch.Kind = "JobHint"
	KindJobStatus winch.Kind = "JobStatus"
)

// Frame is one message on a link.
type Frame struct {
	ID    uint64          `cbor:"1,keyasint,omitempty"` // ID joins an answer to its question; zero for a message that was told.
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
}

// Load is how full an entry's executors of one service are.
type Load struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`
	Busy    int    `cbor:"3,keyasint,omitempty"`
	Queued  int    `cbor:"4,keyasint,omitempty"`
}

// TeamUse is what a team has running at an entry or in an office, and what it
// could use beyond the units that the holder has.
type TeamUse struct {
	Team    string `cbor:"1,keyasint"`
	Running int    `cbor:"2,keyasint,omitempty"`
	Want    int    `cbor:"3,keyasint,omitempty"`
}

// Beat is the heartbeat that an entry sends to every other.
type Beat struct {
	Domain  string    `cbor:"1,keyasint"`
	Leaving bool      `cbor:"2,keyasint,omitempty"`
	Config  uint64    `cbor:"3,keyasint,omitempty"`
	Loads   []Load    `cbor:"4,keyasint,omitempty"`
	Teams   []TeamUse `cbor:"5,keyasint,omitempty"`
	// Store says that the sender reaches the store.
	Store bool `cbor:"6,keyasint,omitempty"`
	// Epoch is the newest epoch of the sender's domain that it knows, and
	// Placer its holder.
	Epoch  uint64 `cbor:"7,keyasint,omitempty"`
	Placer string `cbor:"8,keyasint,omitempty"`
	// Office is set by the domain's placer.
	Office *OfficeLoad `cbor:"9,keyasint,omitempty"`
}

// OfficeLoad is how full a domain's workers are.
type OfficeLoad struct {
	Size    winch.Resources `cbor:"1,keyasint"`
	Used    winch.Resources `cbor:"2,keyasint"`
	Waiting int             `cbor:"3,keyasint,omitempty"`
}

// ConfigAsk asks for the configuration if it is newer than Have.
type ConfigAsk struct {
	Have uint64
}

// ConfigGive carries a configuration document as JSON, empty if not newer.
type ConfigGive struct {
	Document []byte
}

// SlotAsk asks the home entry of executors for a slot.
type SlotAsk struct {
	// Grant is chosen by the asker, so that it can give back a slot whose grant
	// it never received.
	Grant   string
	Service string
	Class   string
	Team    string
	KeyID   string
	// Remaining is the time until the request's deadline. A duration crosses
	// machines whose clocks differ; a time of day would not.
	Remaining time.Duration
	// MaxRun is the time after which the work has surely ended.
	MaxRun time.Duration
	// Avoid lists executors that the request was already tried at.
	Avoid []string `cbor:",omitempty"`
}

// SlotGive grants a slot or refuses with a result.
type SlotGive struct {
	Executor winch.VM
	Refused  winch.Result
}

// Verdict is what the use of a slot told about the executor.
type Verdict uint8

// Verdicts.
const (
	Unused   Verdict = iota // Unused: nothing was sent.
	Answered                // Answered: a whole answer came.
	Failed                  // Failed: the executor answered with an error of its own or broke off.
	Rejected                // Rejected: the executor could not be reached or had no slot free.
)

// SlotDone gives a slot back.
type SlotDone struct {
	Grant   string
	Verdict Verdict
	// After is how long the slot stays taken because the work may still run.
	After time.Duration
	Took  time.Duration
}

// Held is a slot in use.
type Held struct {
	Grant    string
	Executor string
	Team     string
	Left     time.Duration // Left is the time after which the work has surely ended.
}

// SlotHeld lists slots that the sender uses of the receiver's executors.
type SlotHeld struct {
	Held []Held
	// Complete says that the sender uses no others: it is the first message on a
	// new link, before any grant on it.
	Complete bool
}

// Handoff gives an executor to a new home, all slots in use with it.
type Handoff struct {
	Executor string
	Held     []Held
}

// JobHint tells a domain's placer that a job was committed or changed.
type JobHint struct {
	ID string
}

// JobStatusAsk asks a domain's placer why a job waits.
type JobStatusAsk struct {
	ID string
}

// JobStatus is what a placer knows of a job beyond the ledger.
type JobStatus struct {
	Known    bool
	Why      string
	Running  int
	Ended    int
	Started  time.Time
	Forecast time.Duration
}

// mode encodes times to the microsecond, and numbers in as few bytes as hold them.
var mode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the CBOR form of a message or a stored record.
func Encode(v any) ([]byte, error) {
	return mode.Marshal(v)
}

// Decode reads the CBOR form of a message or a stored record.
func Decode(data []byte, into any) error {
	return cbor.Unmarshal(data, into)
}
