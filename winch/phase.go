package winch

import (
	"slices"
	"time"
)

// Capacity is an amount of processors, memory and accelerators: the need of a task of a phased
// job, the size of a worker VM, or the limit on what a team may have running at once.
type Capacity struct {
	Milli        int64 `cbor:"1,keyasint,omitempty"` // Milli is in thousandths of a processor.
	Memory       Bytes `cbor:"2,keyasint,omitempty"`
	Accelerators int   `cbor:"3,keyasint,omitempty"`
}

// Add returns r plus o.
func (r Capacity) Add(o Capacity) Capacity {
	return Capacity{r.Milli + o.Milli, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Capacity) Sub(o Capacity) Capacity {
	return Capacity{r.Milli - o.Milli, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Capacity) Times(n int) Capacity {
	return Capacity{r.Milli * int64(n), r.Memory * Bytes(n), r.Accelerators * n}
}

// Positive returns r with its negative values replaced by zero.
func (r Capacity) Positive() Capacity {
	return Capacity{max(0, r.Milli), max(0, r.Memory), max(0, r.Accelerators)}
}

// Fits reports whether r is within o in every dimension.
func (r Capacity) Fits(o Capacity) bool {
	return r.Milli <= o.Milli && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Phase is a part of a phased job: Count identical tasks that may start once all tasks of
// the phases in After have succeeded.
type Phase struct {
	Count int      `cbor:"1,keyasint,omitempty"`
	Need  Capacity `cbor:"2,keyasint,omitzero"`
	// Estimate is the caller's estimate of a task's run time, which is often wrong.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	After    []int         `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports that tasks save their progress and can resume from it.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang reports that the tasks make progress only while all of them run.
	Gang     bool   `cbor:"6,keyasint,omitempty"`
	SameRack bool   `cbor:"7,keyasint,omitempty"`
	Label    string `cbor:"8,keyasint,omitempty"` // Label is a label that the worker VM must have.
	Rack     string `cbor:"9,keyasint,omitempty"` // Rack is where the data is; tasks elsewhere are slower.
	// MostPerVM is the maximum number of tasks of the phase on one worker VM; zero means no
	// limit.
	MostPerVM int `cbor:"10,keyasint,omitempty"`
	// Copies allows several runs of one task to overlap.
	Copies bool `cbor:"11,keyasint,omitempty"`
	// Lasting reports that the tasks run until the job is cancelled and are restarted
	// whenever they end. MayMiss is how many of them may be down at a time because of
	// actions of the scheduler.
	Lasting bool   `cbor:"12,keyasint,omitempty"`
	MayMiss int    `cbor:"13,keyasint,omitempty"`
	Image   string `cbor:"14,keyasint,omitempty"`
	// Target is the tail response time that a lasting task must stay below.
	Target time.Duration `cbor:"15,keyasint,omitempty"`
	// Fills makes the tasks filling tasks: they use processor time that other tasks leave
	// idle and can be throttled. Their Need.Milli does not count against the capacity of a
	// worker VM.
	Fills bool `cbor:"16,keyasint,omitempty"`
}

// Charge returns the capacity that a task of the phase occupies at a worker VM.
func (p *Phase) Charge() Capacity {
	need := p.Need
	if p.Fills {
		need.Milli = 0
	}
	return need
}

// PhasedJob is an accepted job that consists of phases. Except for Revision it is written
// once, when the job is accepted.
type PhasedJob struct {
	// ID is chosen by the caller, so that a repeated submission is idempotent.
	ID       string    `cbor:"1,keyasint,omitempty"`
	Queue    string    `cbor:"2,keyasint,omitempty"`
	Team     string    `cbor:"3,keyasint,omitempty"`
	Command  string    `cbor:"-"`                    // Command is stored and sent separately.
	Origin   string    `cbor:"4,keyasint,omitempty"` // Origin names the entry that accepted the job.
	Phases   []Phase   `cbor:"5,keyasint,omitempty"`
	Accepted time.Time `cbor:"6,keyasint,omitzero"`
	// Times is the number of repetitions of the phases; zero means one, due at once.
	// Repetition k is due at First + k * Every.
	Times int           `cbor:"7,keyasint,omitempty"`
	First time.Time     `cbor:"8,keyasint,omitzero"`
	Every time.Duration `cbor:"9,keyasint,omitempty"`
	// Settings is the version of the configuration by which the job was allowed; zero if it is not known.
	Settings uint64 `cbor:"10,keyasint,omitempty"`
	// Terms are those of the queue when the job was accepted; nil for a job that the build before accepted.
	Terms *QueueTerms `cbor:"11,keyasint,omitempty" json:"-"`
	// Key is the key with which the job was submitted. It is not stored.
	Key string `cbor:"-" json:"-"`
	// Revision is the store's revision at which the job was accepted.
	Revision uint64 `cbor:"-"`
}

// Progress is the stored progress of a phased job. Only the holder of the region's office
// (the planner's leadership lease in the store) writes it.
type Progress struct {
	State JobState `cbor:"1,keyasint,omitempty"` // State is empty until it is final.
	// Done lists the tasks that succeeded, by repetition and phase, as bit sets.
	Done map[int][][]byte `cbor:"2,keyasint,omitempty"`
	// Failed lists the runs that failed, by task or whole gang. They are listed rather than
	// counted, since a worker lists a completion again to the next planner if it was not
	// notified in time that the completion is recorded.
	Failed map[string][]uint64 `cbor:"3,keyasint,omitempty"`
	Ended  time.Time           `cbor:"4,keyasint,omitzero"`
	// Crashes lists the worker crashes during runs of a task or a whole gang, one for each
	// run, until the task or gang is shown not to be the cause.
	Crashes map[string][]Crash `cbor:"5,keyasint,omitempty"`
	// Probes holds the next run of each suspect. It is recorded before the run is started,
	// so that a later planner knows that the run may have been a probe.
	Probes map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// Crash is a crash of a worker process during a run.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Run    uint64
	Worker string
	At     time.Time
	// Lived is the age of the run at the last contact with the worker.
	Lived time.Duration
	// Weak reports that other runs are more likely to be the cause. Probe reports that the run
	// was a probe, in which a suspect runs separately from other tasks, and that nothing else
	// explains the crash.
	Weak  bool
	Probe bool
}

// RunID identifies a task of a phased job: repetition K of its phases, phase and index.
type RunID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	K     int
	Phase int
	Index int
}

// Queue is a queue that callers submit phased jobs to.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the priority of the queue; zero is the highest.
	Priority int
	// Attempts is the number of failures of one task after which the job fails.
	Attempts int
	// A job is on time if it takes at most Target plus Stretch times the length of its
	// critical path.
	Target  time.Duration
	Stretch float64
	// Public reports that callers need no key.
	Public bool
	// Timeout bounds one call of a caller.
	Timeout time.Duration
	// Advice is set if a phase may run only on workers that the advice service allows.
	Advice *AdviceCost
}

// QueueTerms is what a queue promises the jobs that it accepts. It is stored with a job, which goes on when the queue
// is removed.
type QueueTerms struct {
	Service  string        `cbor:"1,keyasint,omitempty"`
	Priority int           `cbor:"2,keyasint,omitempty"`
	Attempts int           `cbor:"3,keyasint,omitempty"`
	Target   time.Duration `cbor:"4,keyasint,omitempty"`
	Stretch  float64       `cbor:"5,keyasint,omitempty"`
	Advice   *AdviceCost   `cbor:"6,keyasint,omitempty"`
}

// Terms returns what the queue promises the jobs that it accepts.
func (q *Queue) Terms() *QueueTerms {
	return &QueueTerms{Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Target: q.Target, Stretch: q.Stretch, Advice: q.Advice}
}

// Queue returns a queue with these terms, which accepts no jobs.
func (t *QueueTerms) Queue(name string) Queue {
	return Queue{
		Name: name, Service: t.Service, Priority: t.Priority, Attempts: t.Attempts, Target: t.Target, Stretch: t.Stretch,
		Advice: t.Advice,
	}
}

// LateFactor is the multiple of its objective after which a job is assumed to be no longer
// awaited by its caller.
const LateFactor = 3

// Objective returns how long a job of the queue may take whose critical path takes chain.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return q.Target + time.Duration(q.Stretch*float64(chain))
}

// AdviceCost is the duration of a call of the advice service, as a fixed part and a part for
// each worker, and the validity of its tickets.
type AdviceCost struct {
	Call   time.Duration `cbor:"1,keyasint,omitempty"`
	Worker time.Duration `cbor:"2,keyasint,omitempty"`
	Valid  time.Duration `cbor:"3,keyasint,omitempty"`
}

// RegionTeam is a team as declared by the platform's operator.
type RegionTeam struct {
	Name   string
	Keys   []string
	Weight float64
	// Cap is the limit on what the team may have running; a zero field means no limit.
	Cap Capacity
}

// RegionConfig is one version of the configuration of a region.
type RegionConfig struct {
	Version   uint64
	Queues    []Queue
	Teams     []RegionTeam
	MaxBody   int64
	MaxHeader int
}

// Evacuations lists the failure domains that the operator has evacuated: nothing may be started
// there until they are restored. What runs there may go on.
type Evacuations struct {
	Domains []string `cbor:"1,keyasint,omitempty"` // Domains is sorted.
	// AsOf is a revision of the store that the list is at least as new as.
	AsOf uint64 `cbor:"2,keyasint,omitempty"`
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuations) Contains(domain string) bool {
	return slices.Contains(e.Domains, domain)
}

// WorkerVM is one boot of a worker VM.
type WorkerVM struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Address  string
	Service  string
	Domain   string
	Rack     string
	Labels   []string
	Room     Capacity // Room is the capacity of the VM for tasks.
	Draining bool     // Draining reports that the VM takes no new work and is about to leave.
	// Born is the start of the boot in Unix milliseconds; it distinguishes boots with the
	// same ID.
	Born int64
	// ColdLeft is how much longer the VM is slow, as of its record in the platform's list: after a
	// start, or after its failure domain was evacuated.
	ColdLeft time.Duration `cbor:"-"`
}

// SameBoot reports whether two records of a VM can be of the same boot. A record may lack the start of the boot.
func (vm WorkerVM) SameBoot(other WorkerVM) bool {
	return vm.Born == 0 || other.Born == 0 || vm.Born == other.Born
}

// Kind returns the VM's kind: its first label other than the rack, or "" if it has none.
func (vm WorkerVM) Kind() string {
	for _, label := range vm.Labels {
		if label != vm.Rack {
			return label
		}
	}
	return ""
}
