package region

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a planner that loses its standby together with itself when their failure domain is partitioned: it
// had chosen one of its own domain because no other entry had linked to it yet.
func TestStandbyOfAnotherDomainReplacesOneOfTheOwn(t *testing.T) {
	is := is.New(t)
	n := &Node{Name: "a1", Domain: "a"}
	n.settings.config.Store(simConfig(1))
	l := newLeadership(n, 1, 1, 1, time.Now())
	strongIn := func(domain string) member { return member{Domain: domain, Share: 800} }
	weakIn := func(domain string) member { return member{Domain: domain, Share: 192} }
	is.True(l.muchBetter(strongIn("b"), strongIn("a"), 800))
	is.True(l.muchBetter(strongIn("a"), weakIn("b"), 800))
	is.True(!l.muchBetter(strongIn("c"), strongIn("b"), 800)) // No change between equal ones.
	is.True(!l.muchBetter(weakIn("b"), strongIn("a"), 800))
	is.True(!l.muchBetter(weakIn("b"), weakIn("a"), 800))
}
