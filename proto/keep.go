package proto

import (
	"time"

	"plantainwinch/winch"
)

// Kinds of the messages between the entries of a region.
const (
	KindAssignmentSet   winch.Kind = "KeepSet"
	KindKeeperOrders    winch.Kind = "KeepOrders"
	KindKeeperPoll      winch.Kind = "KeepPoll"
	KindAdvise          winch.Kind = "Advise"
	KindAcceptedJobs    winch.Kind = "Accepted"
	KindCancel          winch.Kind = "Cancel"
	KindState           winch.Kind = "State"
	KindWaitingJobs     winch.Kind = "Waiting"
	KindSettings        winch.Kind = "Settings"
	KindSettingsRequest winch.Kind = "SettingsAsk"
	KindMirror          winch.Kind = "Mirror"
	KindCommand         winch.Kind = "Command"
	KindTerm            winch.Kind = "Term"
	KindSubmit          winch.Kind = "Submit"
	KindClock           winch.Kind = "Clock"
	KindPeers           winch.Kind = "Peers"
	KindUnregistered    winch.Kind = "Unregistered"
)

// Session identifies one uninterrupted planner-keeper connection. A planner that
// misses a keeper's response begins a new session with new fencing tokens, so no
// state of the old session has to be reconciled.
type Session struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Assignment assigns one worker to a keeper, with the fencing token to use.
type Assignment struct {
	VM    winch.WorkerVM `cbor:"1,keyasint"`
	Token uint64         `cbor:"2,keyasint"`
	// Empty reports that the worker runs nothing except what is ordered in this session.
	Empty bool `cbor:"3,keyasint,omitempty"`
	// Left is the maximum remaining time of the leases granted under earlier assignments
	// of the worker, counted from the arrival of the message.
	Left time.Duration `cbor:"4,keyasint,omitempty"`
	// Generation is the generation of the assignment as recorded in the roster.
	Generation uint64 `cbor:"5,keyasint,omitempty"`
	// NextBoot reports that the worker's ID belonged to an earlier boot, whose calls may be carried out late by this one.
	NextBoot bool `cbor:"6,keyasint,omitempty"`
}

// AssignmentSet is sent to a keeper and lists all workers assigned to it from now on.
type AssignmentSet struct {
	Session Session      `cbor:"1,keyasint"`
	Workers []Assignment `cbor:"2,keyasint,omitempty"`
	// Authority is how long the keeper may go on renewing leases without another message
	// from the planner, counted from the first set of the session. It is a duration
	// because the clocks of the two machines differ.
	Authority time.Duration `cbor:"3,keyasint"`
}

// OrderKind is the action that an Order requests.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderThrottle
	OrderForget
	// OrderReportRate sets whether the status of the worker's runs is reported more often.
	OrderReportRate
	// OrderAllowRenewal allows the keeper to renew the lease of a worker that has listed
	// its runs or become responsive again, once the planner has received the event that
	// reports this. Spell is copied from the event.
	OrderAllowRenewal
)

// Order is one order to a worker.
type Order struct {
	_    struct{} `cbor:",toarray"`
	Kind OrderKind
	// Token is the fencing token of the worker's assignment when the order was created.
	// It identifies the worker in the encoded order, and an order that was delayed until
	// after the worker was reassigned is dropped.
	Token      uint64
	Task       winch.RunID
	Run        uint64
	Checkpoint string
	Ticket     string
	Percent    int
	Forget     uint64
	// Closely is set by an OrderReportRate that requests more frequent status reports.
	Closely bool
	// Spell is the number of the worker's unresponsive period that an
	// OrderAllowRenewal responds to.
	Spell  uint64
	Worker string `cbor:"-"`
}

// KeeperOrders carries orders to a keeper. Origins maps each job that is started to the
// entry that accepted it and still has its command.
type KeeperOrders struct {
	Session Session           `cbor:"1,keyasint"`
	Orders  []Order           `cbor:"2,keyasint"`
	Origins map[string]string `cbor:"3,keyasint,omitempty"`
	// Addresses holds where peers reach the entries of Origins, as far as they are live.
	Addresses map[string]string `cbor:"4,keyasint,omitempty"`
	// Settings is the version of the configuration by which the planner decided to start work; zero if nothing is started.
	Settings uint64 `cbor:"5,keyasint,omitempty"`
}

// CommandRequest asks the entry that accepted a job for its command.
type CommandRequest struct {
	Job string `cbor:"1,keyasint"`
}

// CommandResponse is the response to a CommandRequest; Known is false if the entry no
// longer has the command.
type CommandResponse struct {
	Known   bool   `cbor:"1,keyasint,omitempty"`
	Command string `cbor:"2,keyasint,omitempty"`
}

// TermRequest asks an entry how long it has known that a term, or a later one, began.
type TermRequest struct {
	Term uint64 `cbor:"1,keyasint"`
	// All requests that for all terms that the entry remembers.
	All bool `cbor:"2,keyasint,omitempty"`
}

// TermResponse is the response to a TermRequest; Known is false if the entry has seen
// neither the term nor a later one.
type TermResponse struct {
	Known bool          `cbor:"1,keyasint,omitempty"`
	Age   time.Duration `cbor:"2,keyasint,omitempty"`
	// Terms holds what was requested with All.
	Terms []TermAge `cbor:"3,keyasint,omitempty"`
}

// TermAge is how long it has been known that a term, or a later one, began.
type TermAge struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Age  time.Duration
}

// KeeperPollRequest asks a keeper for new events. The keeper responds at once if there
// are any, and after Wait at the latest.
type KeeperPollRequest struct {
	Session   Session       `cbor:"1,keyasint"`
	Authority time.Duration `cbor:"2,keyasint"`
	Wait      time.Duration `cbor:"3,keyasint"`
	// Stamp is copied from the keeper's last response in the session. Authority counts
	// from that time on the keeper's own clock: a request may be queued for seconds
	// before it is read, while the planner counts from when it was sent.
	Stamp time.Duration `cbor:"4,keyasint,omitempty"`
	// Messages is how many messages the planner has sent in the session before. A keeper that
	// has received fewer ends the session. Zero means that they are not counted.
	Messages uint64 `cbor:"5,keyasint,omitempty"`
}

// KeeperPollResponse holds the events at a keeper's workers since its last response.
type KeeperPollResponse struct {
	Session Session       `cbor:"1,keyasint"`
	Events  []KeeperEvent `cbor:"2,keyasint,omitempty"`
	// Term is the term of the keeper's own session if that differs from the request's.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Stamp is the keeper's clock at the time of the response.
	Stamp time.Duration `cbor:"4,keyasint,omitempty"`
}

// EventKind is the kind of a KeeperEvent.
type EventKind uint8

// Kinds of events.
const (
	// EventListed is the first response of a worker under the session's token. A run that
	// is not in its lists is not running there, and no earlier order can start it anymore.
	EventListed EventKind = iota + 1
	EventStarted
	// EventNotStarted reports that a start is guaranteed to have had no effect and never
	// to have one; Result is the reason.
	EventNotStarted
	EventEnded
	// EventVanished reports a run that the worker lists neither as running nor as ended.
	EventVanished
	// EventStatus reports the status of the runs of a worker.
	EventStatus
	// EventLost reports that the lease on everything at the worker is guaranteed to have
	// expired unless another planner's keeper renews it or, if Result is StartOtherBoot,
	// that another boot has replaced the worker.
	EventLost
	// EventFenced reports that the worker knows a higher token.
	EventFenced
	// EventFound reports runs that the planner did not order in this session.
	EventFound
	// EventKnownRuns reports the runs that a keeper knew of at a worker when the session
	// of a later planner began. With it that planner can proceed if the worker is
	// unresponsive.
	EventKnownRuns
	// EventUnresponsive reports that the worker is unresponsive: no start is sent to it,
	// and its lease is not renewed before an OrderAllowRenewal.
	EventUnresponsive
	// EventResponsive reports that an unresponsive worker responds again.
	EventResponsive
	// EventReleased reports that the assignment with the event's token has ended. It is
	// sent again until the planner is known to have received it.
	EventReleased
)

// KeeperEvent is one event at a worker.
type KeeperEvent struct {
	_    struct{} `cbor:",toarray"`
	Kind EventKind
	// Token is the fencing token of the worker's assignment. An event of an earlier
	// assignment says nothing about the current one.
	Token   uint64
	Task    winch.RunID
	Run     uint64
	Result  winch.StartResult
	Ended   []winch.Completion
	Running []winch.Running
	// Left is set for EventUnresponsive: the time after which all leases at the worker are
	// guaranteed to have expired if nobody renews them. For EventReleased it covers the leases that
	// the keeper granted in this and earlier assignments, and, if the worker has responded in one of
	// them, those granted before by others. For EventLost with Result StartUncertain it is set if starts got no
	// response: until then, the worker's next boot may run what they started.
	Left time.Duration
	// Spell is set for EventListed and EventResponsive: the number of unresponsive periods
	// of the worker in this assignment.
	Spell uint64
	// Turn is set for EventKnownRuns and EventReleased: the generation of the assignment.
	Turn uint64
	// Blind is set for EventEnded: the time since the last contact with a worker whose
	// preceding call failed; zero if that call succeeded.
	Blind time.Duration
	// Worker is empty in an encoded event of a current assignment, which Token identifies.
	Worker string
}

// AdviseRequest asks an entry to call the advice service in its lane.
type AdviseRequest struct {
	Phase   winch.RunID `cbor:"1,keyasint"`
	Workers []string    `cbor:"2,keyasint"`
}

// AdviseResponse is the response to an AdviseRequest; Failed is the error text if the
// call to the advice service failed.
type AdviseResponse struct {
	Tickets []winch.Ticket `cbor:"1,keyasint,omitempty"`
	Valid   time.Duration  `cbor:"2,keyasint,omitempty"`
	Failed  string         `cbor:"3,keyasint,omitempty"`
}

// AcceptedJobs notifies the planner of jobs that were committed.
type AcceptedJobs struct {
	Jobs []AcceptedJob `cbor:"1,keyasint"`
	// Settings is the version of the configuration by which they were accepted.
	Settings uint64 `cbor:"2,keyasint,omitempty"`
}

// AcceptedJob is a committed job with its revision.
type AcceptedJob struct {
	Job      winch.PhasedJob `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	// Command is set by the entry that accepted the job.
	Command string `cbor:"3,keyasint,omitempty"`
}

// SubmitRequest asks an entry to store a job on behalf of one that the store does not answer.
type SubmitRequest struct {
	Job     winch.PhasedJob `cbor:"1,keyasint"`
	Command string          `cbor:"2,keyasint,omitempty"`
	// Key is the key with which the job was submitted. The receiver may know a newer configuration.
	Key string `cbor:"3,keyasint,omitempty"`
}

// SubmitResponse is the response to a SubmitRequest.
type SubmitResponse struct {
	Result winch.Result `cbor:"1,keyasint"`
}

// CancelJob notifies the planner of a committed cancellation.
type CancelJob struct {
	ID string `cbor:"1,keyasint"`
}

// StateRequest asks the planner for a job's state.
type StateRequest struct {
	ID string `cbor:"1,keyasint"`
}

// StateResponse is the response to a StateRequest; Known is false if the receiver does
// not know the job or is not the planner.
type StateResponse struct {
	Known bool           `cbor:"1,keyasint,omitempty"`
	State winch.JobState `cbor:"2,keyasint,omitempty"`
}

// WaitingJobs notifies all entries of the number of jobs in each queue that have not begun.
type WaitingJobs struct {
	Term   uint64         `cbor:"1,keyasint"`
	Queues map[string]int `cbor:"2,keyasint,omitempty"`
	// Settings is the version of the planner's configuration.
	Settings uint64 `cbor:"3,keyasint,omitempty"`
	// Evacuations is what the planner knows of evacuated failure domains.
	Evacuations *winch.Evacuations `cbor:"4,keyasint,omitempty"`
	// Standby is the address of the planner's standby, to which each entry keeps a link.
	Standby string `cbor:"5,keyasint,omitempty"`
	// SettingsAge is how long ago the planner was shown that what it knows of the operator's settings is the
	// newest; zero if it does not know.
	SettingsAge time.Duration `cbor:"6,keyasint,omitempty"`
	// SettingsKnown is for how long the version in Settings has been known to an entry, at least.
	SettingsKnown time.Duration `cbor:"8,keyasint,omitempty"`
	// SentAt is for how long the sender's process has run.
	SentAt time.Duration `cbor:"7,keyasint,omitempty"`
	// SettingsAsOf is a revision of the store as of which the planner knows all that the operator has written.
	SettingsAsOf uint64 `cbor:"9,keyasint,omitempty"`
}

// ClockRequest asks an entry for how long its process has run.
type ClockRequest struct{}

// Clock is the response to a ClockRequest.
type Clock struct {
	Uptime time.Duration `cbor:"1,keyasint"`
}

// PeersRequest asks the planner for entries to keep links to: Inside of the sender's failure domain and
// Outside of others, beside those named in Except.
type PeersRequest struct {
	Domain  string   `cbor:"1,keyasint"`
	Inside  int      `cbor:"2,keyasint"`
	Outside int      `cbor:"3,keyasint"`
	Except  []string `cbor:"4,keyasint,omitempty"`
}

// PeersResponse is the response to a PeersRequest.
type PeersResponse struct {
	Peers []PeerAddress `cbor:"1,keyasint,omitempty"`
}

// PeerAddress names an entry and where peers reach it.
type PeerAddress struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Domain  string `cbor:"3,keyasint"`
}

// Unregistered tells an entry that the planner finds no record of it in the store.
type Unregistered struct{}

// Settings announces the version of the operator's configuration at an entry, or is the response to a
// SettingsRequest.
type Settings struct {
	Version uint64 `cbor:"1,keyasint"`
	// Data is the configuration as stored, in the response to a build that does not ask for parts.
	Data []byte `cbor:"2,keyasint,omitempty"`
	// Evacuations is what the sender knows of evacuated failure domains; a response omits it if it
	// is not newer than what the receiver knows.
	Evacuations *winch.Evacuations `cbor:"3,keyasint,omitempty"`
	// Unserved is set in a response if the store does not answer the sender.
	Unserved bool `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the sender of a response was shown that what it knows is the newest; zero if it
	// does not know.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Term is the last term of a planner that the sender of a response knows.
	Term uint64 `cbor:"7,keyasint,omitempty"`
	// Known is for how long the version has been known, at least, to the sender or to an entry that it has it from.
	Known time.Duration `cbor:"6,keyasint,omitempty"`
	// AsOf is a revision of the store as of which the sender knows all that the operator has written; zero if it does
	// not know one.
	AsOf uint64 `cbor:"8,keyasint,omitempty"`
	// Part is a part of a configuration: the one that was asked for, or all of a small change that is announced.
	Part *SettingsPart `cbor:"9,keyasint,omitempty"`
}

// SettingsPart is a part of a configuration in the encoded form of package delta, so that the messages that follow on the
// same link do not wait for all of it.
type SettingsPart struct {
	Version uint64 `cbor:"1,keyasint"`
	// Base is the version that the configuration is encoded against; zero if it is complete.
	Base   uint64 `cbor:"2,keyasint,omitempty"`
	Offset int    `cbor:"3,keyasint,omitempty"`
	Size   int    `cbor:"4,keyasint"` // Size is the length of the encoded form.
	Data   []byte `cbor:"5,keyasint"`
	Digest []byte `cbor:"6,keyasint"` // Digest is that of the decoded configuration.
}

// SettingsRequest asks for the version of the configuration, if it is newer than Have, and for the evacuated failure
// domains, which are sent only if they are known as of a later revision of the store than EvacuationsAsOf.
type SettingsRequest struct {
	Have            uint64 `cbor:"1,keyasint,omitempty"`
	EvacuationsAsOf uint64 `cbor:"2,keyasint,omitempty"`
	// Parts says that the sender asks for a configuration in parts. To a build that does not know them, the newest one is
	// sent in one piece.
	Parts bool `cbor:"3,keyasint,omitempty"`
	// Want is the version of which the part that begins at Offset is requested; zero requests none.
	Want   uint64 `cbor:"4,keyasint,omitempty"`
	Offset int    `cbor:"5,keyasint,omitempty"`
}

// Mirror replicates the set of possible runs to the planner's standby: runs are added
// before they are started, and removed when they are known not to exist anymore.
type Mirror struct {
	Term    uint64 `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
	// Full reports that Add holds all runs and that the message begins the session.
	Full   bool        `cbor:"3,keyasint,omitempty"`
	Add    []MirrorRun `cbor:"4,keyasint,omitempty"`
	Remove []MirrorRun `cbor:"5,keyasint,omitempty"`
	// LeaseExpiries holds the lease expiries of all unresponsive workers that may run work.
	// A planner that is about to stop adds the workers that have not responded yet. None of
	// these leases is renewed before the standby accepts a message without the worker.
	LeaseExpiries []MirrorLeaseExpiry `cbor:"6,keyasint,omitempty"`
	// ExpiriesUnchanged reports that the lease expiries are those of the last message of
	// the session that held any.
	ExpiriesUnchanged bool `cbor:"8,keyasint,omitempty"`
	// Stamp is copied from the standby's last response. The lease expiries are valid only
	// for a short time from then: after that the planner may renew the leases without the
	// standby being notified.
	Stamp time.Duration `cbor:"7,keyasint,omitempty"`
	// Yield reports that the store does not answer the planner, so that the standby should
	// take the office over if the store answers it.
	Yield bool `cbor:"9,keyasint,omitempty"`
	// Speeds holds the kinds and workers of unusual speed whose factor has changed since the last
	// message of the session that held any, or all of them if Full is set.
	Speeds []MirrorSpeed `cbor:"10,keyasint,omitempty"`
	// Saved holds changes to the checkpoints of stopped tasks that have not been started again.
	// If Full is set, it holds all of them.
	Saved []MirrorSaved `cbor:"12,keyasint,omitempty"`
	// Started holds the runs that their boots have listed since the last message or, if Full is set, all of Add that they
	// have listed. NamesStarted reports that the planner sends them.
	Started      []MirrorRun `cbor:"13,keyasint,omitempty"`
	NamesStarted bool        `cbor:"14,keyasint,omitempty"`
}

// MirrorSpeed is how long runs take at a worker or, if Worker is empty, at a kind of workers.
type MirrorSpeed struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Kind   string
	// Percent is the time that runs take relative to the usual. An element without samples and with
	// 100 says that the worker or kind is no longer unusual.
	Percent int
	Samples int
	Age     time.Duration // Age is the age of the last sample when the message was sent.
}

// MirrorSaved is the checkpoint of a stopped task; it is empty if the task no longer needs it.
type MirrorSaved struct {
	_          struct{} `cbor:",toarray"`
	Task       winch.RunID
	Checkpoint string
}

// MirrorLeaseExpiry is the time after which the leases that a keeper granted at a worker
// are guaranteed to have expired. A worker that had several keepers has several.
type MirrorLeaseExpiry struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Left   time.Duration
	Keeper string
}

// MirrorRun is one run at a worker.
type MirrorRun struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Task   winch.RunID
	Run    uint64
}

// MirrorAck reports whether the standby accepted a Mirror. It rejects those of a planner
// that has been replaced.
type MirrorAck struct {
	OK bool `cbor:"1,keyasint,omitempty"`
	// Stamp is the standby's clock at the time of the response.
	Stamp time.Duration `cbor:"2,keyasint,omitempty"`
}
