package winch

import "time"

// Outcome is what a caller may assume about a request.
type Outcome string

// The three outcomes. NotRun guarantees that no part of the request has been or will be
// executed. Unknown means that it may have been.
const (
	Done    Outcome = "Done"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Reason is the reason for the outcome of a request.
type Reason string

// Reasons for an outcome other than a plain Done.
const (
	BadRequest       Reason = "BadRequest"
	UnknownKey       Reason = "UnknownKey"
	KeyWithdrawn     Reason = "KeyWithdrawn"
	Forbidden        Reason = "Forbidden"
	NotApproved      Reason = "NotApproved"
	UnknownService   Reason = "UnknownService"
	UnknownClass     Reason = "UnknownClass"
	UnknownJob       Reason = "UnknownJob"
	DeadlinePassed   Reason = "DeadlinePassed"
	DeadlineHopeless Reason = "DeadlineHopeless"
	TooLarge         Reason = "TooLarge"
	DuplicateRequest Reason = "DuplicateRequest"
	OverLimit        Reason = "OverLimit"
	QueueFull        Reason = "QueueFull"
	NoExecutor       Reason = "NoExecutor"
	NeverFits        Reason = "NeverFits"
	Stopping         Reason = "Stopping"
	StoreUnavailable Reason = "StoreUnavailable"
	NoConfiguration  Reason = "NoConfiguration"
	ExecutorFailed   Reason = "ExecutorFailed"
	ExecutorTimeout  Reason = "ExecutorTimeout"
	AnswerCut        Reason = "AnswerCut"
	WrongAnswer      Reason = "WrongAnswer"
	AnswerNotKept    Reason = "AnswerNotKept"
	VersionConflict  Reason = "VersionConflict"
	Cancelled        Reason = "Cancelled"
	CallerGone       Reason = "CallerGone"
	// Overloaded means that the job could not end while its caller still waits.
	Overloaded Reason = "Overloaded"
)

// Result is the result of a request. It replaces an executor's response if there is none,
// and accompanies it otherwise.
type Result struct {
	Outcome    Outcome
	Reason     Reason        `json:",omitempty"`
	Detail     string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// OK reports whether the result is a success so far: no reason is set, and the outcome is
// Done or still unset.
func (r Result) OK() bool {
	return r.Reason == "" && (r.Outcome == "" || r.Outcome == Done)
}

// Refuse returns a NotRun result.
func Refuse(reason Reason, detail string) Result {
	return Result{Outcome: NotRun, Reason: reason, Detail: detail}
}

// RefuseFor returns a NotRun result with a time to wait before a retry.
func RefuseFor(reason Reason, detail string, after time.Duration) Result {
	return Result{Outcome: NotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// Uncertain returns an Unknown result.
func Uncertain(reason Reason, detail string) Result {
	return Result{Outcome: Unknown, Reason: reason, Detail: detail}
}
