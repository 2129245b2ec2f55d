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

// First returns the first message on a new connection to a peer: which slots of the peer's executors this entry uses.
func (e *Entry) First(peer string) (winch.Kind, any) {
	return proto.KindHeldSlots, proto.HeldSlots{Held: e.grants.of(peer), Complete: true}
}

// heartbeat returns the entry's heartbeat.
func (e *Entry) beat(ctx context.Context) proto.Heartbeat {
	b := proto.Heartbeat{Config: e.held.Version(), Loads: e.table.Loads(), Store: e.alive.within(memberLease)}
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
func (e *Entry) heard(name string, beat proto.Heartbeat) {
	if beat.Config > e.held.Version() {
		select {
		case e.fetch <- name:
		default:
		}
	}
}

// runConfigFetch fetches newer configurations from peers, so that an entry stays current as long as it reaches the
// store or a peer that is current.
func (e *Entry) runFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-e.fetch:
			e.fetchFrom(ctx, name)
		}
	}
}

func (e *Entry) fetchFrom(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	var response proto.ConfigResponse
	if e.Peers.Request(ctx, name, proto.KindConfig, proto.ConfigRequest{Have: e.held.Version()}, &response) != nil || len(response.Document) == 0 {
		return
	}
	doc := new(winch.Document)
	if json.Unmarshal(response.Document, doc) == nil {
		e.offer(ctx, doc)
	}
}

// Handle processes a message of another entry and returns the response, if the kind of message has one.
func (e *Entry) Handle(ctx context.Context, from string, kind winch.Kind, decode func(any) error) any {
	switch kind {
	case proto.KindHeartbeat:
		return handle(decode, func(b proto.Heartbeat) any { e.members.Receive(from, b); return nil })
	case proto.KindConfig:
		return handle(decode, func(a proto.ConfigRequest) any { return e.giveConfig(a) })
	case proto.KindSlot:
		return handle(decode, func(a proto.SlotRequest) any { return e.giveSlot(ctx, from, a) })
	case proto.KindSlotRelease:
		return handle(decode, func(d proto.SlotRelease) any { _ = e.table.Return(d); return nil })
	case proto.KindHeldSlots:
		return handle(decode, func(h proto.HeldSlots) any { _ = e.table.Reconcile(from, h.Held, h.Complete); return nil })
	case proto.KindHandoff:
		return handle(decode, func(h proto.Handoff) any { _ = e.table.Adopt(h); return nil })
	case proto.KindJobHint:
		return handle(decode, func(h proto.JobHint) any { e.hinted(ctx, h.ID); return nil })
	case proto.KindJobStatus:
		return handle(decode, func(a proto.JobStatusRequest) any { return e.office.Status(ctx, a.ID) })
	default:
		metrics.GetOrRegisterCounter("Peer.UnknownKind", e.Metrics).Inc(1)
		return nil
	}
}

// decodeAndHandle decodes a message and passes it to f. A message that cannot be decoded is dropped: a peer of the same
// version sends none.
func handle[T any](decode func(any) error, f func(T) any) any {
	var msg T
	if decode(&msg) != nil {
		return nil
	}
	return f(msg)
}

// configResponse returns the configuration if it is newer than the requester's.
func (e *Entry) giveConfig(request proto.ConfigRequest) proto.ConfigResponse {
	doc := e.held.Get()
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

// slotResponse grants a slot of an executor whose home this entry is, or refuses.
func (e *Entry) giveSlot(ctx context.Context, from string, request proto.SlotRequest) proto.SlotResponse {
	if e.draining.Load() {
		return proto.SlotResponse{Refused: winch.RefuseFor(winch.Stopping, "the executor's home entry is stopping", time.Second)}
	}
	return e.table.Acquire(ctx, from, request)
}
