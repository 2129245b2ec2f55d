package region

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainwinch/winch"
)

// Guards against a configuration that is applied late without a trace: the entry reports the requests that it has
// handled by the version before for longer than the bound, each once.
func TestRequestsHandledByAReplacedConfigurationAreReported(t *testing.T) {
	is := is.NewRelaxed(t)
	const bound = 2 * time.Second
	var w witness
	begin := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	is.Equal(len(w.learn(1, at(0), bound)), 0)
	for _, r := range []handledRequest{{"early", 1, 0, at(1)}, {"in time", 1, 0, at(3.5)}, {"late", 1, winch.ConfigUnreachable, at(4.5)}} {
		is.Equal(w.handle(r), time.Duration(0)) // The entry does not know better.
	}
	late := w.learn(2, at(2), bound)
	is.Equal(len(late), 1)
	is.Equal(late[0].id, "late")
	is.Equal(len(w.learn(2, at(1), bound)), 1)                                                // An earlier time finds one more.
	is.Equal(len(w.learn(2, at(1), bound)), 0)                                                // Each is reported once.
	is.Equal(w.handle(handledRequest{"after", 1, 0, at(6)}), at(6).Sub(at(1)))                // It is known to be late when it is handled.
	is.Equal(w.handle(handledRequest{"current", 2, 0, at(6)}), time.Duration(0))              // The version is the newest.
	is.Equal(len(w.learn(1, at(0), bound)), 0)                                                // An older version is no news.
	is.True(w.known(2) >= time.Minute-at(2).Sub(begin) && w.known(1) == 0 && w.newest() == 2) // It is passed on with its age.
}
