package region

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// clockAt returns times relative to an arbitrary moment.
func clockAt() func(ms int) time.Time {
	begin := time.Now()
	return func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
}

// Guards against an entry that goes on sending submissions to a store that has become silent: after a
// tenth of a second without an answer it must suspect that, and after silenceTimeout count on it.
func TestSilentStoreIsSuspectedAndThenUnresponsive(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	is.True(!h.responsive(at(0))) // It was never called.
	for i := range 20 {
		id := h.begin(at(10 * i))
		h.end(id, at(10*i+4), true, false)
		h.answered(at(10*i + 4))
	}
	h.begin(at(1000))
	is.True(!h.suspect(at(1090)))
	is.True(h.suspect(at(1110)))
	is.True(h.responsive(at(1590)))
	is.True(!h.responsive(at(1610)))
	h.answered(at(1620))
	is.True(h.responsive(at(1630)))
	is.True(!h.suspect(at(1630)))
}

// Guards against a slow store that counts as silent: once its round trips are known, a call that takes as
// long as others must not hold submissions up.
func TestSlowStoreIsNotSuspected(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	for i := range 20 {
		id := h.begin(at(400 * i))
		h.end(id, at(400*i+280), true, false)
		h.answered(at(400*i + 280))
	}
	h.begin(at(9000))
	is.True(!h.suspect(at(9280)))
	is.True(h.suspect(at(9610)))
}

// Guards against an entry that goes on trying a store that turns it away, and against one that gives up
// because of a single refusal.
func TestStoreThatRefusesIsUnresponsive(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	h.answered(at(0))
	h.end(h.begin(at(100)), at(104), false, true)
	is.True(h.responsive(at(200)))
	h.answered(at(210))
	is.True(h.responsive(at(600)))
	h.end(h.begin(at(700)), at(704), false, true)
	h.end(h.begin(at(900)), at(904), false, true)
	is.True(!h.responsive(at(1010)))
}

// Guards against a store whose answers are lost now and then and that counts as silent: an answer to a
// later call shows that it is there.
func TestLostAnswerIsForgottenWithTheNextAnswer(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	h.answered(at(0))
	h.begin(at(100)) // Its answer is lost.
	h.end(h.begin(at(400)), at(404), true, false)
	h.answered(at(404))
	is.True(h.responsive(at(900)))
	is.True(!h.suspect(at(900)))
}

// Guards against round trips that are not measured: an answer is noted as a sign of the store before
// its call returns. A store that answers slowly, but always, would be suspected all the time.
func TestRoundTripIsMeasuredThoughTheAnswerIsNotedFirst(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	for i := range 20 {
		c := h.begin(at(400 * i))
		h.answered(at(400*i + 300))
		h.end(c, at(400*i+300), true, false)
	}
	h.begin(at(8000))
	is.True(!h.suspect(at(8290)))
	is.True(h.suspect(at(8610)))
}

// Guards against a pause of this entry that counts as a silence of the store: an answer may have arrived and not been read. The
// silence after a pause counts, and pauses without end do not keep a silent store responsive.
func TestPauseOfTheEntryIsNoSilenceOfTheStore(t *testing.T) {
	is := is.New(t)
	at := clockAt()
	var h storeHealth
	h.answered(at(0))
	for i := range 20 {
		h.look(at(50 * i))
	}
	h.begin(at(960))
	is.True(h.responsive(at(1900))) // The last look was at 950.
	is.True(!h.suspect(at(1900)))
	for i := range 12 {
		h.look(at(1950 + 50*i))
	}
	is.True(h.responsive(at(2490)))
	is.True(!h.responsive(at(2510)))
	h.answered(at(2520))
	h.begin(at(2530))
	for i := range 6 {
		h.look(at(2800 + 300*i))
	}
	is.True(!h.responsive(at(4310)))
}

// Guards against logs that do not tell a pause of the entry from a silence of all others, and against ordinary delays that are
// logged as pauses.
func TestPauseOfTheEntryIsCounted(t *testing.T) {
	is := is.New(t)
	n := &Node{Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
	pauses := metrics.GetOrRegisterCounter("Entry.Pauses", n.Metrics)
	n.logPause(time.Now().Add(-healthCheckInterval))
	is.Equal(pauses.Count(), int64(0))
	n.logPause(time.Now().Add(-time.Second))
	is.Equal(pauses.Count(), int64(1))
}
