package region

import (
	"context"
	"time"

	"go.uber.org/zap"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// stateTimeout bounds the request to the planner for a job's state. The store is read
	// after it.
	stateTimeout = 300 * time.Millisecond
	// waitingInterval is how often the planner reports to all entries how many jobs wait, and
	// maxWaitingAge how old the report may be when it is shown.
	waitingInterval = 500 * time.Millisecond
	maxWaitingAge   = 1900 * time.Millisecond
)

// waitingView is the planner's last report of how many jobs have not begun, by queue.
type waitingView struct {
	term   uint64
	queues map[string]int
	at     time.Time
}

// State implements winch.Region. It asks the planner, which has the latest state, and reads the
// stored state if the planner does not answer.
func (n *Node) State(ctx context.Context, id string) (winch.JobState, winch.Result) {
	if response := n.requestState(ctx, id); response.Known {
		return response.State, winch.Result{}
	}
	s, ended, err := n.readJob(ctx, id)
	switch {
	case err != nil:
		return "", winch.RefuseFor(winch.StoreUnavailable, "neither planner nor store answer", retryAfter)
	case ended != nil:
		return ended.State, winch.Result{}
	case s.job == nil:
		return "", winch.Refuse(winch.UnknownJob, "no such submission")
	}
	n.notifyPlanner(proto.KindAcceptedJobs, proto.AcceptedJobs{Jobs: []proto.AcceptedJob{{Job: *s.job, Revision: s.job.Revision}}})
	return s.state(), winch.Result{}
}

// requestState asks the planner for a job's state.
func (n *Node) requestState(ctx context.Context, id string) proto.StateResponse {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if l := n.leadership.Load(); l != nil {
		return l.state(ctx, id)
	}
	var response proto.StateResponse
	if err := n.Peers.Request(ctx, n.cell.holder(), proto.KindState, proto.StateRequest{ID: id}, &response); err != nil {
		return proto.StateResponse{}
	}
	return response
}

// readJob reads what the store holds of a job, or its ended record. The ended record is read
// last: it is written in the transaction that removes the job, so one of the two is found.
func (n *Node) readJob(ctx context.Context, id string) (storedJob, *endedRecord, error) {
	var s storedJob
	for _, prefix := range []string{keyJob(id), keyProgress(id)} {
		values, _, err := n.Table.Read(ctx, prefix)
		if err != nil {
			return s, nil, err
		}
		for _, v := range values {
			got, part := parseJobKey(v.Key)
			if got != id {
				continue
			}
			if err := s.add(part, v); err != nil {
				n.Log.Error("stored record cannot be decoded", zap.String("key", v.Key), zap.Error(err))
				return s, nil, err
			}
		}
		if s.job == nil {
			break
		}
	}
	if s.job != nil {
		return s, nil, nil
	}
	ended, err := n.readEndedRecord(ctx, id)
	return s, ended, err
}

// readEndedRecord reads the ended record of a job; nil if there is none.
func (n *Node) readEndedRecord(ctx context.Context, id string) (*endedRecord, error) {
	values, _, err := n.Table.Read(ctx, keyEnded(id))
	if err != nil {
		return nil, err
	}
	for _, v := range values {
		if v.Key == keyEnded(id) {
			out := new(endedRecord)
			return out, decode(v.Data, out)
		}
	}
	return nil, nil
}

// Waiting implements winch.Region.
func (n *Node) Waiting(_ context.Context, queue string) (int, winch.Result) {
	v := n.waiting.Load()
	if v == nil || time.Since(v.at) > maxWaitingAge {
		return 0, winch.RefuseFor(winch.StoreUnavailable, "the region has no planner at the moment", retryAfter)
	}
	return v.queues[queue], winch.Result{}
}

// notifyPlanner notifies the planner of something that has been stored. A lost message does no
// harm, since the planner also watches the store.
func (n *Node) notifyPlanner(kind winch.Kind, body any) {
	if !n.applyAsPlanner(body) {
		_ = n.Peers.Notify(n.cell.holder(), kind, body)
	}
}

// Handle handles a message from another entry and returns the response, if there is one.
func (n *Node) Handle(ctx context.Context, from string, kind winch.Kind, read func(into any) error) any {
	switch kind {
	case proto.KindAssignmentSet:
		return handleMessage(read, func(m proto.AssignmentSet) any { n.keeper.SetAssignments(m); return nil })
	case proto.KindKeeperOrders:
		return handleMessage(read, func(m proto.KeeperOrders) any {
			n.contacts.noteAddresses(m.Addresses)
			n.settings.require(from, m.Settings)
			n.keeper.QueueOrders(m)
			return nil
		})
	case proto.KindPeers:
		return handleMessage(read, func(m proto.PeersRequest) any { return n.peersResponse(from, m) })
	case proto.KindUnregistered:
		return handleMessage(read, func(proto.Unregistered) any { n.unregistered.Store(true); return nil })
	case proto.KindKeeperPoll:
		return handleMessage(read, func(m proto.KeeperPollRequest) any { return n.keeper.Poll(ctx, m) })
	case proto.KindCommand:
		return handleMessage(read, func(m proto.CommandRequest) any { return n.commandResponse(m) })
	case proto.KindTerm:
		return handleMessage(read, func(m proto.TermRequest) any { return n.termResponse(m) })
	case proto.KindMirror:
		return handleMessage(read, func(m proto.Mirror) any { return n.mirror.respond(m) })
	case proto.KindAdvise:
		return handleMessage(read, func(m proto.AdviseRequest) any { return n.advise(ctx, m) })
	case proto.KindSettings:
		return handleMessage(read, func(m proto.Settings) any {
			n.settings.noteAnnouncement(from, m)
			return nil
		})
	case proto.KindSubmit:
		return handleMessage(read, func(m proto.SubmitRequest) any { return n.submitForPeer(ctx, m) })
	case proto.KindSettingsRequest:
		return handleMessage(read, func(m proto.SettingsRequest) any { return n.settings.respond(m) })
	case proto.KindClock:
		return proto.Clock{Uptime: n.uptime()}
	case proto.KindWaitingJobs:
		return handleMessage(read, func(m proto.WaitingJobs) any {
			n.settings.noteReport(from, m)
			n.updateWaiting(m)
			return nil
		})
	case proto.KindAdmission:
		return handleMessage(read, func(m proto.Admission) any { n.updateAdmission(m); return nil })
	case proto.KindRefusedJobs:
		return handleMessage(read, func(m proto.RefusedJobs) any { n.applyAsPlanner(m); return nil })
	case proto.KindAcceptedJobs:
		return handleMessage(read, func(m proto.AcceptedJobs) any {
			n.settings.noteVersion(from, m.Settings)
			n.applyAsPlanner(m)
			return nil
		})
	case proto.KindCancel:
		return handleMessage(read, func(m proto.CancelJob) any { n.applyAsPlanner(m); return nil })
	case proto.KindState:
		return handleMessage(read, func(m proto.StateRequest) any {
			if l := n.leadership.Load(); l != nil {
				return l.state(ctx, m.ID)
			}
			return proto.StateResponse{}
		})
	}
	n.Log.Error("received a message of unknown kind", zap.String("from", from), zap.String("kind", string(kind)))
	return nil
}

// handleMessage decodes a message and passes it to f. A message that cannot be decoded is dropped.
func handleMessage[T any](read func(into any) error, f func(T) any) any {
	var m T
	if read(&m) != nil {
		return nil
	}
	return f(m)
}

// applyAsPlanner applies a notification if this entry is the planner, and reports whether it is.
func (n *Node) applyAsPlanner(body any) bool {
	l := n.leadership.Load()
	if l != nil {
		l.applyNotification(body)
	}
	return l != nil
}

// updateWaiting stores the planner's report of waiting jobs, unless a planner of a later term has
// sent one.
func (n *Node) updateWaiting(m proto.WaitingJobs) {
	if v := n.waiting.Load(); v != nil && v.term > m.Term {
		return
	}
	n.waiting.Store(&waitingView{term: m.Term, queues: m.Queues, at: time.Now()})
	if m.Term > n.cell.currentTerm().Term {
		n.renewWatches()
	}
	if n.contacts.setStandby(m.Standby) {
		n.contactsChanged()
	}
}

// advise calls the advice service in this entry's lane.
func (n *Node) advise(ctx context.Context, request proto.AdviseRequest) proto.AdviseResponse {
	tickets, valid, err := n.Advisor.Advise(ctx, request.Phase, request.Workers)
	if err != nil {
		return proto.AdviseResponse{Failed: err.Error()}
	}
	return proto.AdviseResponse{Tickets: tickets, Valid: valid}
}
