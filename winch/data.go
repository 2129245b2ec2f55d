package winch

import (
	"strconv"
	"time"
)

// Bytes is an amount of memory or data.
type Bytes int64

// Resources is an amount of processors, memory and accelerators, needed by a task of a cell
// or available at a VM.
type Resources struct {
	Processors   int
	Memory       Bytes
	Accelerators int
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry    Role = "Entry"
	RoleWorker   Role = "Worker"
	RoleExecutor Role = "Executor"
)

// VM is one row of the platform's list of VMs, which lags behind reality.
type VM struct {
	ID          string
	Address     string
	Role        Role
	Domain      string
	Rack        string    `json:",omitempty"`
	Service     string    `json:",omitempty"`
	Slots       int       `json:",omitempty"`
	Connections int       `json:",omitempty"`
	Size        Resources `json:",omitzero"`
	Leaving     bool      `json:",omitempty"`
	// Evacuated reports that the operator has evacuated the VM's failure domain. It is not part of
	// the platform's list.
	Evacuated bool `json:"-"`
}

// AcceptsWork reports whether new work may be given to the VM.
func (v VM) AcceptsWork() bool {
	return !v.Leaving && !v.Evacuated
}

// Team is a group of callers with a share and an upper limit.
type Team struct {
	Name string
	// Share is the team's part of a fully used fleet, relative to the other teams.
	Share int
	// Limit is the maximum number of requests and tasks that the team may have
	// running at the same time over the whole fleet.
	Limit int
	// CutOffTrust is how long the team's keys stay valid in a domain that is
	// partitioned from both the store and all other domains.
	CutOffTrust time.Duration
}

// KeyRole is what a key may be used for.
type KeyRole string

// Roles of keys.
const (
	KeyTeam     KeyRole = "Team"
	KeyOwner    KeyRole = "Owner"
	KeyOperator KeyRole = "Operator"
)

// Key is the record of an issued key. The key itself is never stored.
type Key struct {
	ID     string
	Role   KeyRole
	Holder string // Holder is a team, a service for an owner's key, or an operator's name.
	Hash   string // Hash is the hexadecimal SHA-256 of the key.
	Issued time.Time
}

// Class is a kind of work with a common target for its start or completion.
type Class struct {
	Name string
	// Wait is the target for the time until the start; zero if the class has a time
	// of day instead.
	Wait time.Duration
	// By is the time of day, in UTC as hours and minutes, by which deferred work is done.
	By string `json:",omitempty"`
	// Repeatable reports whether work of this class may be run again after it has ended.
	Repeatable bool
	// Preemptible reports whether tasks of this class may be checkpointed for others.
	Preemptible bool
	// MaxRun is the maximum run time. Work without a reported completion counts as
	// ended only after this time.
	MaxRun time.Duration
}

// Service is a named group of executors.
type Service struct {
	Name     string
	MaxBody  Bytes
	Approved []string // Approved lists the teams that the owner allows to call the service, sorted.
}

// Audit is one record of the audit trail.
type Audit struct {
	Version uint64
	Time    time.Time
	Actor   string
	Action  string
	Object  string
	Detail  string `json:",omitempty"`
}

// Document is one version of the complete configuration of a cell.
type Document struct {
	Version  uint64
	Teams    map[string]Team
	Keys     map[string]Key
	Classes  map[string]Class
	Services map[string]Service
	// Evacuated holds the evacuated failure domains, and since when they are.
	Evacuated map[string]time.Time `json:",omitempty"`
	// Trail holds the newest audit records; older ones are moved to separate keys.
	Trail []Audit
}

// JobKind is the relation of the tasks of a job to each other.
type JobKind string

// Kinds of jobs.
const (
	Batch       JobKind = "Batch"
	Gang        JobKind = "Gang"
	LongRunning JobKind = "Service"
)

// JobSpec is a job as submitted by a caller.
type JobSpec struct {
	Kind    JobKind
	Tasks   int
	Need    Resources
	RunTime time.Duration // RunTime is the declared run time of a task, which is often wrong.
	Command string
}

// JobState is the state of a job.
type JobState string

// States of jobs. The last four are final.
const (
	JobQueued    JobState = "Queued"
	JobRunning   JobState = "Running"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	JobUnknown   JobState = "Unknown"
)

// Final reports whether the state of a job no longer changes.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled || s == JobUnknown
}

// Job is the ledger's record of an accepted job.
type Job struct {
	ID        string
	Team      string
	KeyID     string
	Class     string
	RequestID string
	Digest    string
	Spec      JobSpec
	Domain    string
	State     JobState
	Reason    Reason `json:",omitempty"`
	Detail    string `json:",omitempty"`
	// Intent lists the tasks of a non-repeatable job whose start was committed.
	Intent []int `json:",omitempty"`
	// EndedTasks lists the tasks that succeeded.
	EndedTasks []int `json:",omitempty"`
	Failed     int   `json:",omitempty"`
	// Epoch is the known epoch of the domain's planner when the job was accepted.
	Epoch     uint64
	Output    []string  `json:",omitempty"`
	Cancel    bool      `json:",omitempty"`
	Submitted time.Time `json:",omitzero"`
	Started   time.Time `json:",omitzero"`
	Finished  time.Time `json:",omitzero"`
}

// CallRecord is the ledger's record of a non-repeatable call.
type CallRecord struct {
	ID        string
	Team      string
	RequestID string
	Digest    string
	Owner     string // Owner is the ID of the only attempt that may send the request.
	Result    Result
	Status    int    `json:",omitempty"`
	Answer    []byte `json:",omitempty"`
	Committed time.Time
	MaxRun    time.Duration
	Finished  time.Time `json:",omitzero"`
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// Attempt identifies one start of a task.
type Attempt struct {
	Task   TaskID
	Number int
}

// TaskState is the state of a task at a worker.
type TaskState string

// States of tasks at a worker.
const (
	TaskRunning TaskState = "Running"
	TaskDone    TaskState = "Done"
	TaskFailed  TaskState = "Failed"
	TaskStopped TaskState = "Stopped"
)

// Task is a task as sent to a worker to start it, or as listed by a worker.
type Task struct {
	ID      TaskID
	Team    string
	Class   string
	Need    Resources
	RunTime time.Duration
	Command string
	// Attempt is the number of the start, unique for each start of the task.
	Attempt int
	State   TaskState
	Output  string `json:",omitempty"`
}

// DomainRecord names the planner of a failure domain in its field Placer.
type DomainRecord struct {
	Domain    string
	Placer    string
	Epoch     uint64
	Successor string
}

// Ref returns the identifier of this start of the task.
func (t Task) Ref() Attempt {
	return Attempt{Task: t.ID, Number: t.Attempt}
}

// String returns the ID as "job.index".
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Index)
}
