package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"

	"plantainwinch/proto"
	"plantainwinch/state/config"
	"plantainwinch/winch"
)

// First returns the first message on a new connection to a peer. It lists the slots of the peer that this entry
// uses or has requested.
func (e *Entry) First(peer string) (winch.Kind, any) {
	return proto.KindHeldSlots, proto.HeldSlots{Held: e.grants.grantsOf(peer), Complete: true, Process: e.incarnation}
}

// heartbeat returns the entry's heartbeat.
func (e *Entry) heartbeat(ctx context.Context) proto.Heartbeat {
	b := proto.Heartbeat{Config: e.config.Version(), Loads: e.table.Loads(), Store: e.storeContact.within(memberLease)}
	b.Placer, b.Epoch = e.office.Holder()
	use, _ := e.units.Usage(ctx)
	for team, n := range use {
		b.Teams = append(b.Teams, proto.TeamUse{Team: team, Running: n[0], Want: n[1]})
	}
	if b.Placer == e.Name() {
		jobs, _ := e.office.Quota.Usage(ctx)
		for team, n := range jobs {
			b.Teams = append(b.Teams, proto.TeamUse{Team: team, Running: n[0], Want: n[1]})
		}
		load := e.office.Load(ctx)
		b.Office = &load
	}
	return b
}

// onHeartbeat schedules a fetch of the configuration if the peer has a newer one.
func (e *Entry) onHeartbeat(name string, beat proto.Heartbeat) {
	if beat.Config > e.config.Version() {
		select {
		case e.newerPeer <- name:
		default:
		}
	}
}

// runConfigFetch fetches newer configurations from peers, so that an entry stays current as long as it reaches the
// store or a peer that is current.
func (e *Entry) runConfigFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-e.newerPeer:
			e.fetchConfigFrom(ctx, name)
		}
	}
}

func (e *Entry) fetchConfigFrom(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var response proto.ConfigResponse
	if e.Peers.Request(ctx, name, proto.KindConfig, proto.ConfigRequest{Have: e.config.Version()}, &response) != nil || len(response.Document) == 0 {
		return
	}
	doc := new(winch.Document)
	if json.Unmarshal(response.Document, doc) == nil {
		e.applyConfig(ctx, doc)
	}
}

// Handle processes a message of another entry and returns the response, if the kind of message has one.
func (e *Entry) Handle(ctx context.Context, from string, kind winch.Kind, decode func(any) error) any {
	switch kind {
	case proto.KindHeartbeat:
		return decodeAndHandle(decode, func(b proto.Heartbeat) any { e.members.Receive(from, b); return nil })
	case proto.KindConfig:
		return decodeAndHandle(decode, func(r proto.ConfigRequest) any { return e.configResponse(r) })
	case proto.KindSlot:
		return decodeAndHandle(decode, func(r proto.SlotRequest) any { return e.slotResponse(ctx, from, r) })
	case proto.KindSlotRelease:
		return decodeAndHandle(decode, func(d proto.SlotRelease) any { _ = e.table.Return(d); return nil })
	case proto.KindHeldSlots:
		return decodeAndHandle(decode, func(h proto.HeldSlots) any {
			_ = e.table.Reconcile(slotHolder(from, h.Process), h.Held, h.Complete)
			return nil
		})
	case proto.KindHandoff:
		return decodeAndHandle(decode, func(h proto.Handoff) any { _ = e.table.Adopt(h); return nil })
	case proto.KindJobHint:
		return decodeAndHandle(decode, func(h proto.JobHint) any { e.handleJobHint(ctx, h.ID); return nil })
	case proto.KindJobStatus:
		return decodeAndHandle(decode, func(r proto.JobStatusRequest) any { return e.office.Status(ctx, r.ID) })
	default:
		metrics.GetOrRegisterCounter("Peer.UnknownKind", e.Metrics).Inc(1)
		return nil
	}
}

// decodeAndHandle decodes a message and passes it to f. It drops a message that cannot be decoded: a peer of the same
// version sends none.
func decodeAndHandle[T any](decode func(any) error, f func(T) any) any {
	var msg T
	if decode(&msg) != nil {
		return nil
	}
	return f(msg)
}

// configResponse returns the configuration if it is newer than the requester's.
func (e *Entry) configResponse(request proto.ConfigRequest) proto.ConfigResponse {
	doc := e.config.Get()
	if doc == nil || doc.Version <= request.Have {
		return proto.ConfigResponse{}
	}
	clone, err := config.Clone(doc)
	if err != nil {
		return proto.ConfigResponse{}
	}
	clone.Trail = nil // The audit trail is read from the store only.
	data, err := json.Marshal(clone)
	if err != nil {
		return proto.ConfigResponse{}
	}
	return proto.ConfigResponse{Document: data}
}

// slotResponse grants a slot of an executor whose home is this entry, or refuses the request.
func (e *Entry) slotResponse(ctx context.Context, from string, request proto.SlotRequest) proto.SlotResponse {
	if e.draining.Load() {
		return proto.SlotResponse{Refused: winch.RefuseFor(winch.Stopping, "the executor's home entry is stopping", time.Second)}
	}
	return e.table.Acquire(ctx, slotHolder(from, request.Process), request)
}

// slotHolder returns the name under which a process of another entry holds slots. A new process of the same entry has another
// name: it knows nothing of the earlier one's calls, which may still run.
func slotHolder(entry, process string) string { return entry + "/" + process }
