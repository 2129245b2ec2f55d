package region

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// Keys of the store that the entries of a region write. docs/PLATFORM.md describes who writes
// which key under which condition.
const (
	prefixCell = "cell/"
	prefixNode = "cell/node/"
	keyOffice  = "cell/office"
	keyTerm    = "cell/term"
	keyStandby = "cell/standby"
	keyRoster  = "roster"
	// A job that has not ended has up to four keys. A planner that takes over reads the job,
	// its cancellation and its progress at once, and its command a little later.
	prefixJobs     = "job/"
	suffixCancel   = "/x"
	prefixProgress = "progress/"
	prefixCommands = "command/"
	// prefixEnded holds the records of ended jobs for the retention period.
	prefixEnded = "ended/"
)

func keyJob(id string) string      { return prefixJobs + id }
func keyCancel(id string) string   { return prefixJobs + id + suffixCancel }
func keyProgress(id string) string { return prefixProgress + id }
func keyCommand(id string) string  { return prefixCommands + id }
func keyEnded(id string) string    { return prefixEnded + id }

// jobPart identifies what a key holds of a job.
type jobPart int

const (
	partNone jobPart = iota
	partJob
	partCancel
	partProgress
)

// parseJobKey returns the job that a key belongs to and the part of it that the key holds.
func parseJobKey(key string) (id string, part jobPart) {
	if id, ok := strings.CutPrefix(key, prefixProgress); ok {
		return id, partProgress
	}
	rest, ok := strings.CutPrefix(key, prefixJobs)
	if !ok {
		return "", partNone
	}
	if id, ok := strings.CutSuffix(rest, suffixCancel); ok {
		return id, partCancel
	}
	return rest, partJob
}

// member is the stored record by which an entry registers itself.
type member struct {
	Name    string // Name is unique to the boot.
	Node    string
	Domain  string
	Address string // Address is where peers reach the entry.
	Share   int    // Share is the entry's share of a processor, in thousandths.
	// Before names the earlier boots at the same address, the latest first. They have ended,
	// since this one listens there.
	Before []string
	// Up is how long this boot had been running when it wrote the record.
	Up time.Duration
}

// office is the stored record of the office, the planner's leadership lease.
type office struct {
	Holder string
	Term   uint64
	// Address is where peers reach the holder. Another entry that listens there is a later
	// process of the same VM, so it knows that the holder has ended.
	Address string
	// Lease is the lease that the record ends with. The standby ends it if the holder is silent.
	Lease uint64
	// Largest is the largest processor share of the entries that the holder knew when it took the office, and
	// Strong how many of them were able to plan by that measure.
	Largest int `cbor:",omitempty"`
	Strong  int `cbor:",omitempty"`
}

// rosteredWorker is a worker that a planner may have given work to.
type rosteredWorker struct {
	VM winch.WorkerVM
	// Keeper is the entry through which all orders to the worker go. The runs that it knows of
	// are therefore all that may exist there.
	Keeper string
	// Address is where peers reach the keeper. If another boot listens there, the keeper has
	// ended.
	Address string
	// Earlier holds the earlier keepers that may still renew leases at the worker, since it has
	// not responded to the present one.
	Earlier []earlierKeeper
	// Settled says that Runs is all that may run at the worker. It is set when the planner hands
	// the office over, and for an unresponsive worker that gets no work.
	Settled bool
	Runs    []winch.Running
	// Left is the time, from the writing of the record, after which all work at the worker has
	// ended. It is set when the planner hands the office over and no keeper may renew the
	// worker's lease.
	Left time.Duration
	// LeftTerm is the term of the planner that set Left. A later one may have renewed leases.
	LeftTerm uint64
	// LeftAge is at least how long that term had lasted when Left was set; zero if it is not known.
	LeftAge time.Duration
	// Generation changes whenever the worker is assigned to another keeper. What a keeper
	// reports of an earlier generation is incomplete, since the worker may have been assigned
	// to others in between.
	Generation uint64
	// Bound, if not zero, is a term from whose beginning on nobody can have renewed a lease at
	// the worker or started work there.
	Bound uint64
	// NextBoot says that calls for an earlier boot under the worker's ID may still be carried out there.
	NextBoot bool
	// Revision is that of the stored record that the worker was read from; zero if it was not.
	Revision uint64
	// Used says that the worker may have been assigned to Keeper. It is not stored: a planner that
	// reads the record does not know whether the keeper got the worker.
	Used bool
}

// earlierKeeper is an earlier keeper of a worker, with the generation of its assignment.
type earlierKeeper struct {
	Keeper, Address string
	Generation      uint64
}

// onlyGenerationOf returns the generation of a keeper's assignment, which is recorded before the keeper is used.
// It returns zero if the record names none or several for that keeper.
func (w *rosteredWorker) onlyGenerationOf(keeper string) (generation uint64) {
	for _, k := range append([]earlierKeeper{{w.Keeper, w.Address, w.Generation}}, w.Earlier...) {
		switch {
		case k.Keeper != keeper:
		case generation != 0:
			return 0
		default:
			generation = k.Generation
		}
	}
	return generation
}

// roster is the stored form of the rostered workers of one failure domain. It is compact because
// thousands of them have to fit into one value, which each change writes as a whole. Of a worker's VM it holds
// only what is needed to reach it.
type roster struct {
	Keepers   []string
	Workers   []rosterRow
	Turns     []uint64 // Turns holds the generation of each of Workers.
	Addresses []string // Addresses holds the address of each of Keepers.
	Earlier   []earlierRow
	Bounds    []uint64 // Bounds holds the bound of each of Workers; it is empty if none has one.
	LeftTerm  uint64   `cbor:",omitempty"` // LeftTerm is that of all workers whose Left is set.
	// LeftAge is that of all workers whose Left is set.
	LeftAge   time.Duration `cbor:",omitempty"`
	NextBoots []int         `cbor:",omitempty"` // NextBoots holds the indexes of the Workers whose NextBoot is set.
}

// earlierRow is the stored form of an earlier keeper of a worker.
type earlierRow struct {
	_              struct{} `cbor:",toarray"`
	Worker, Keeper int      // Worker and Keeper are indexes into the roster's Workers and Keepers.
	Turn           uint64
}

// rosterRow is the stored form of a rostered worker.
type rosterRow struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Domain  string
	Born    int64
	Keeper  int // Keeper is an index into the roster's Keepers.
	Settled bool
	Runs    []winch.Running
	Left    time.Duration
}

// newRoster returns the stored form of the workers.
func newRoster(workers map[string]rosteredWorker) roster {
	var out roster
	bound := false
	index := make(map[string]int)
	indexOf := func(keeper, address string) int {
		at, known := index[keeper]
		if !known {
			at = len(out.Keepers)
			index[keeper] = at
			out.Keepers, out.Addresses = append(out.Keepers, keeper), append(out.Addresses, address)
		}
		return at
	}
	for _, w := range workers {
		at := indexOf(w.Keeper, w.Address)
		for _, e := range w.Earlier {
			out.Earlier = append(out.Earlier, earlierRow{Worker: len(out.Workers), Keeper: indexOf(e.Keeper, e.Address), Turn: e.Generation})
		}
		if w.NextBoot {
			out.NextBoots = append(out.NextBoots, len(out.Workers))
		}
		out.Workers = append(out.Workers, rosterRow{
			ID: w.VM.ID, Address: w.VM.Address, Domain: w.VM.Domain, Born: w.VM.Born, Keeper: at, Settled: w.Settled, Runs: w.Runs, Left: w.Left,
		})
		out.Turns, out.Bounds = append(out.Turns, w.Generation), append(out.Bounds, w.Bound)
		bound = bound || w.Bound != 0
		out.LeftTerm, out.LeftAge = max(out.LeftTerm, w.LeftTerm), max(out.LeftAge, w.LeftAge)
	}
	if !bound {
		out.Bounds = nil
	}
	return out
}

// list returns the workers. One whose row refers to no keeper of the roster has none.
func (r *roster) list() []rosteredWorker {
	out := make([]rosteredWorker, 0, len(r.Workers))
	for i, w := range r.Workers {
		x := rosteredWorker{VM: winch.WorkerVM{ID: w.ID, Address: w.Address, Domain: w.Domain, Born: w.Born}, Settled: w.Settled, Runs: w.Runs, Left: w.Left, LeftTerm: r.LeftTerm, LeftAge: r.LeftAge}
		x.Keeper, x.Address = r.keeper(w.Keeper)
		if i < len(r.Turns) {
			x.Generation = r.Turns[i]
		}
		if i < len(r.Bounds) {
			x.Bound = r.Bounds[i]
		}
		out = append(out, x)
	}
	for _, i := range r.NextBoots {
		if i >= 0 && i < len(out) {
			out[i].NextBoot = true
		}
	}
	for _, e := range r.Earlier {
		if e.Worker >= 0 && e.Worker < len(out) {
			name, address := r.keeper(e.Keeper)
			out[e.Worker].Earlier = append(out[e.Worker].Earlier, earlierKeeper{Keeper: name, Address: address, Generation: e.Turn})
		}
	}
	return out
}

// keeper returns the name and the address at an index, which may be out of range.
func (r *roster) keeper(i int) (name, address string) {
	if i >= 0 && i < len(r.Keepers) {
		name = r.Keepers[i]
	}
	if i >= 0 && i < len(r.Addresses) {
		address = r.Addresses[i]
	}
	return name, address
}

// encode returns the stored form of a record. It panics if the record cannot be encoded.
func encode(v any) []byte {
	data, err := proto.Encode(v)
	if err != nil {
		panic(merry.Prepend(err, "record cannot be encoded"))
	}
	return data
}

// decode reads the stored form of a record.
func decode(data []byte, into any) error {
	return merry.Wrap(proto.Decode(data, into))
}

// storedJob is what the store holds of a job that has not ended, or that has ended while runs of
// it remained.
type storedJob struct {
	job       *winch.PhasedJob
	progress  *winch.Progress
	revision  uint64 // revision is that of the progress record.
	cancelled bool
}

// add decodes one part of the job.
func (s *storedJob) add(part jobPart, v winch.Value) error {
	switch part {
	case partJob:
		s.job = new(winch.PhasedJob)
		if err := decode(v.Data, s.job); err != nil {
			s.job = nil
			return err
		}
		s.job.Revision = v.Version
	case partProgress:
		s.progress = new(winch.Progress)
		s.revision = v.Version
		return decode(v.Data, s.progress)
	case partCancel:
		s.cancelled = true
	}
	return nil
}

// state returns the state of the job to report to a caller.
func (s *storedJob) state() winch.JobState {
	switch {
	case s.progress != nil && s.progress.State.Final():
		return s.progress.State
	case s.cancelled:
		return winch.JobCancelled
	case s.progress != nil:
		return winch.JobRunning
	}
	return winch.JobQueued
}

// endedRecord is the stored record of an ended job.
type endedRecord struct {
	State winch.JobState `cbor:"1,keyasint"`
	At    time.Time      `cbor:"2,keyasint"`
}
