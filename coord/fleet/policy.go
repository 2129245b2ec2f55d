package fleet

// Policy names the mechanisms by which the planner chooses who goes first and
// where. Each can be switched off by itself, to see what it is worth.
type Policy struct {
	// LastCall ranks a job that has missed its objective by the time that is left
	// until nobody waits for it any more.
	LastCall bool
	// PackAccelerators gives accelerators out where the fewest are free, so that
	// whole workers stay free for tasks that need all of one.
	PackAccelerators bool
	// Reserve keeps room for gangs and large tasks that wait for it.
	Reserve bool
	// AskAll asks about all workers at once where that costs little more than asking
	// about some: who may run a step does not change.
	AskAll bool
	// Restart starts tasks elsewhere that stand still or are much slower than others.
	Restart bool
	// Preempt stops work that saves its progress and has time to spare, for gangs and
	// large tasks that would wait long for room.
	Preempt bool
	// UrgentRoom keeps room free for urgent work.
	UrgentRoom bool
	// Shares ranks what a team hands in beyond its share behind the rest.
	Shares bool
	// Chance ranks urgent work that cannot be on time behind what can.
	Chance bool
	// LateLast ranks jobs that nobody waits for any more behind all others.
	LateLast bool
	// Moves moves lasting tasks from workers that are about to leave.
	Moves bool
}

// DefaultPolicy returns the policy that serves: all mechanisms.
func DefaultPolicy() Policy {
	return Policy{
		LastCall: true, PackAccelerators: true, Reserve: true, AskAll: true, Restart: true, Preempt: true,
		UrgentRoom: true, Shares: true, Chance: true, LateLast: true, Moves: true,
	}
}
