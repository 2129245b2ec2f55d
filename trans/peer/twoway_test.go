package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// twoWay makes an entry of startPair name its address, and the second one dial nobody.
func twoWay(i int, m *Mesh) {
	m.Self.Address = fmt.Sprintf("address of %s", m.Self.Entry)
	if i == 1 {
		m.Addresses = func() []string { return nil }
	}
}

// awaitCondition polls a condition for a few seconds.
func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// Guards against links whose number grows with the square of the entries: one link has to carry the requests of
// both entries.
func TestOneLinkCarriesRequestsOfBothEntries(t *testing.T) {
	is := is.New(t)
	entries := startPair(t, echo, twoWay)
	is.True(<-entries[0].up)
	is.True(<-entries[1].up)
	for i, to := range []string{"b", "a"} {
		var got string
		is.NoErr(entries[i].Request(t.Context(), to, proto.KindConfig, "x", &got))
		is.Equal(got, "x")
	}
	is.Equal(len(entries[0].accepted)+len(entries[1].accepted), 1)
}

// Guards against two entries that dial each other at the same time and each close the link that the other one
// uses: exactly one link must remain, and both must use it.
func TestEntriesThatDialEachOtherKeepOneLink(t *testing.T) {
	is := is.New(t)
	entries := startPair(t, echo, func(_ int, m *Mesh) { m.Self.Address = m.Self.Entry })
	accepted := func(m *Mesh) int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.accepted)
	}
	awaitCondition(t, "one link", func() bool {
		return entries[0].Linked("b") && entries[1].Linked("a") && accepted(entries[0].Mesh)+accepted(entries[1].Mesh) == 1
	})
	for i, to := range []string{"b", "a"} {
		var got string
		is.NoErr(entries[i].Request(t.Context(), to, proto.KindConfig, "x", &got))
	}
}

// Guards against requests that are lost when two entries have dialled each other at the same time: the link that they were
// sent on is replaced by the other one while they are being handled.
func TestRequestsSurviveTheReplacementOfTheirLink(t *testing.T) {
	is := is.New(t)
	var addresses [2]string
	handling, proceed := make(chan bool, 2), make(chan struct{})
	entries := startPair(t, func(_ context.Context, _ string, _ winch.Kind, _ func(any) error) any {
		handling <- true
		<-proceed
		return "x"
	}, func(i int, m *Mesh) {
		addresses[1-i] = m.Addresses()[0]
		m.Self.Address = m.Self.Entry
		m.Addresses = func() []string { return nil }
	})
	connect := func(from, to int) {
		awaitCondition(t, "dialled", func() bool {
			entries[from].mu.Lock()
			running := entries[from].dialers != nil
			entries[from].mu.Unlock()
			return running
		})
		<-entries[from].startDial(addresses[to])
	}
	connect(1, 0) // The link that b dials is replaced by that of a, whose name is smaller.
	awaitCondition(t, "link of b", func() bool { return entries[0].Linked("b") && entries[1].Linked("a") })
	first := [2]*link{entries[0].linkTo("b"), entries[1].linkTo("a")}
	for i, e := range entries {
		e.mu.Lock()
		first[i].since = time.Now().Add(time.Minute) // However long the rest of the test takes.
		e.mu.Unlock()
	}
	errs := make(chan error, 2)
	var group conc.WaitGroup
	for i, to := range []string{"b", "a"} {
		group.Go(func() {
			var got string
			errs <- entries[i].Request(t.Context(), to, proto.KindConfig, "x", &got)
		})
		<-handling
	}
	connect(0, 1)
	awaitCondition(t, "link of a", func() bool {
		return entries[0].linkTo("b") != first[0] && entries[1].linkTo("a") != first[1]
	})
	close(proceed)
	group.Wait()
	is.NoErr(<-errs)
	is.NoErr(<-errs)
}

// Guards against a peer that has lost its link and is refused a new one because the other side still holds the
// broken link: the later link must replace it.
func TestLaterLinkOfAPeerReplacesABrokenOne(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Self: proto.Hello{Entry: "m", Address: "m"}}
	at := func(peer, dialled string, age time.Duration) *link {
		return &link{hello: proto.Hello{Entry: peer, Address: peer}, dialled: dialled, since: time.Now().Add(-age)}
	}
	is.True(m.replaces(at("z", "", 0), at("z", "", time.Hour)))      // The peer dialled again.
	is.True(m.replaces(at("a", "", 0), at("a", "a", time.Hour)))     // The peer lost the link that this entry had dialled.
	is.True(!m.replaces(at("z", "", 0), at("z", "z", 0)))            // Both dialled: m is smaller than z.
	is.True(m.replaces(at("a", "", 0), at("a", "a", 0)))             // Both dialled: a is smaller than m.
	is.True(!m.replaces(at("a", "a", 0), at("a", "", 0)))            // The same, in the other order.
	is.True(!m.replaces(at("z", "z", 0), at("z", "z", time.Hour)))   // A peer with two addresses.
	is.True(!m.replaces(&link{hello: proto.Hello{Entry: "z"}}, nil)) // Links in one direction are not replaced.
}

// Guards against entries of the build before, which answer no requests on links that they have dialled: such a
// link must not be used for requests, and its peer must be known as one to dial.
func TestPeerWithoutAddressIsNotSentRequestsOnItsLink(t *testing.T) {
	is := is.New(t)
	entries := startPair(t, echo, func(i int, m *Mesh) {
		twoWay(i, m)
		if i == 0 {
			m.Self.Address = ""
		}
	})
	is.True(<-entries[0].up)
	var got string
	is.NoErr(entries[0].Request(t.Context(), "b", proto.KindConfig, "x", &got))
	is.True(!entries[1].Linked("a"))
	is.Equal(entries[1].OneWay(), []string{"a"})
}

// Guards against links that stay open although nobody needs them: one that was made on demand must serve, and end
// once it is idle.
func TestLinkOnDemandEndsOnceItIsIdle(t *testing.T) {
	is := is.New(t)
	var address string
	entries := startPair(t, echo, func(i int, m *Mesh) {
		if i == 0 {
			address = m.Addresses()[0]
		}
		m.Self.Address = m.Self.Entry
		m.Addresses = func() []string { return nil }
	})
	awaitCondition(t, "running", func() bool {
		return entries[0].Connect(t.Context(), "b", address) == nil
	})
	var got string
	is.NoErr(entries[0].Request(t.Context(), "b", proto.KindConfig, "x", &got))
	is.Equal(entries[0].Connect(t.Context(), "b", "nowhere"), nil) // There is a link.
	entries[0].closeIdle(nil)
	is.True(entries[0].Linked("b")) // It has just been used.
	l := entries[0].linkTo("b")
	l.used.Store(time.Now().Add(-2 * idleTimeout).UnixNano())
	entries[0].closeIdle([]string{address})
	is.True(entries[0].Linked("b")) // It is wanted.
	l.used.Store(time.Now().Add(-2 * idleTimeout).UnixNano())
	entries[0].closeIdle(nil)
	awaitCondition(t, "closed", func() bool { return !entries[0].Linked("b") })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.Equal(entries[0].Connect(ctx, "b", ""), winch.ErrNoPeer)
}
