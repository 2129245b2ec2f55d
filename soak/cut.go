package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"time"

	"plantainwinch/duty"
)

// cuts says which entries' words do not reach which others. Its zero value, and
// nil, cut nobody off.
type cuts struct {
	mu   sync.Mutex
	ways map[[2]string]int // ways counts the cuts, by who sends and who would get it.
}

func (c *cuts) add(from, to string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ways == nil {
		c.ways = make(map[[2]string]int)
	}
	c.ways[[2]string{from, to}] += n
}

func (c *cuts) cut(from, to string) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ways[[2]string{from, to}] > 0
}

// dialler finds out which entry has dialled a connection: it names itself in the
// first message after the handshake.
type dialler struct {
	mu   sync.Mutex
	seen []byte
	who  string
}

// helloMost bounds what is looked at for a name.
const helloMost = 4 << 10

// entryName is how an entry names its boot.
var entryName = regexp.MustCompile(`(e[0-9]+)/[A-Z0-9]{6}`)

func (d *dialler) name() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.who
}

func (d *dialler) listen(data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.who != "" || len(d.seen) > helloMost {
		return
	}
	d.seen = append(d.seen, data...)
	_, frame, ok := bytes.Cut(d.seen, []byte("\r\n\r\n"))
	if !ok {
		return
	}
	if m := entryName.FindSubmatch(unmask(frame)); m != nil {
		d.who = string(m[1])
	}
}

// unmask returns what a WebSocket frame of a client carries, as far as it is there.
func unmask(frame []byte) []byte {
	const masked, long, mask = 0x80, 126, 4
	if len(frame) < 2 || frame[1]&masked == 0 {
		return nil
	}
	at := 2
	if frame[1]&^masked == long {
		at += 2
	}
	if len(frame) < at+mask {
		return nil
	}
	key, out := frame[at:at+mask], bytes.Clone(frame[at+mask:])
	for i := range out {
		out[i] ^= key[i%mask]
	}
	return out
}

// cutting cuts an entry, or all of a failure domain, off from one other or from all
// others, both ways or one way. Cuts overlap.
func (s *Soak) cutting(calls context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 4))
	for {
		duty.Sleep(calls, time.Duration(1000+rnd.IntN(5000))*time.Millisecond)
		if calls.Err() != nil {
			return
		}
		i := rnd.IntN(len(s.procs))
		p, q := s.procs[i], s.procs[(i+1+rnd.IntN(max(len(s.procs)-1, 1)))%len(s.procs)]
		domain, pair, out, in := rnd.IntN(4) == 0, rnd.IntN(2) == 0, true, true
		switch rnd.IntN(3) {
		case 0:
			out = false
		case 1:
			in = false
		}
		long := time.Duration(500+rnd.IntN(6000)) * time.Millisecond
		var near, far []string
		for _, x := range s.procs {
			switch {
			case x == p || domain && x.domain == p.domain:
				near = append(near, x.name)
			case !pair || x == q:
				far = append(far, x.name)
			}
		}
		s.note("cut %s from %s, what it says %v, what it hears %v, for %v", strings.Join(near, ","), strings.Join(far, ","), out, in, long)
		s.group.Go(func() {
			s.site.Checker.RecordDisturbance(true)
			defer s.site.Checker.RecordDisturbance(false)
			s.cut(near, far, out, in, 1)
			duty.Sleep(calls, long)
			s.cut(near, far, out, in, -1)
		})
	}
}

// cut begins a cut or ends it.
func (s *Soak) cut(near, far []string, out, in bool, n int) {
	for _, a := range near {
		for _, b := range far {
			if out {
				s.cuts.add(a, b, n)
			}
			if in {
				s.cuts.add(b, a, n)
			}
		}
	}
}
