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

// partitions records between which entries the network is partitioned, and in which
// direction. The zero value and a nil pointer stand for no partition.
type partitions struct {
	mu     sync.Mutex
	active map[[2]string]int // active counts the active partitions by sender and receiver.
}

func (p *partitions) add(from, to string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == nil {
		p.active = make(map[[2]string]int)
	}
	p.active[[2]string{from, to}] += n
}

func (p *partitions) blocked(from, to string) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active[[2]string{from, to}] > 0
}

// helloSniffer detects which entry has dialed a connection. The entry names itself in
// the first message after the WebSocket handshake.
type helloSniffer struct {
	mu       sync.Mutex
	received []byte
	entry    string
}

// maxHelloSize bounds how many bytes of a connection are searched for the entry's name.
const maxHelloSize = 4 << 10

// bootPattern matches the name of an entry's boot and captures the entry's name.
var bootPattern = regexp.MustCompile(`(e[0-9]+)/[A-Z0-9]{6}`)

func (h *helloSniffer) entryName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry
}

func (h *helloSniffer) observe(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entry != "" || len(h.received) > maxHelloSize {
		return
	}
	h.received = append(h.received, data...)
	_, frame, ok := bytes.Cut(h.received, []byte("\r\n\r\n"))
	if !ok {
		return
	}
	if m := bootPattern.FindSubmatch(unmask(frame)); m != nil {
		h.entry = string(m[1])
	}
}

// unmask returns the unmasked payload of a WebSocket frame sent by a client, as far as it
// has been received. It returns nil if the frame is not masked or its header is incomplete.
func unmask(frame []byte) []byte {
	const maskBit, extendedLength, keySize = 0x80, 126, 4
	if len(frame) < 2 || frame[1]&maskBit == 0 {
		return nil
	}
	offset := 2
	if frame[1]&^maskBit == extendedLength {
		offset += 2
	}
	if len(frame) < offset+keySize {
		return nil
	}
	key, out := frame[offset:offset+keySize], bytes.Clone(frame[offset+keySize:])
	for i := range out {
		out[i] ^= key[i%keySize]
	}
	return out
}

// injectPartitions partitions the network at random times until activeCtx ends. A partition
// separates an entry, or its whole failure domain, from one other entry or from all others,
// in one direction or both. Partitions may overlap.
func (s *Soak) injectPartitions(activeCtx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 4))
	for {
		duty.Sleep(activeCtx, time.Duration(1000+rnd.IntN(5000))*time.Millisecond)
		if activeCtx.Err() != nil {
			return
		}
		i := rnd.IntN(len(s.procs))
		p, q := s.procs[i], s.procs[(i+1+rnd.IntN(max(len(s.procs)-1, 1)))%len(s.procs)]
		wholeDomain, single, out, in := rnd.IntN(4) == 0, rnd.IntN(2) == 0, true, true
		switch rnd.IntN(3) {
		case 0:
			out = false
		case 1:
			in = false
		}
		duration := time.Duration(500+rnd.IntN(6000)) * time.Millisecond
		var inside, outside []string
		for _, x := range s.procs {
			switch {
			case x == p || wholeDomain && x.domain == p.domain:
				inside = append(inside, x.name)
			case !single || x == q:
				outside = append(outside, x.name)
			}
		}
		s.logFault("partition of %s from %s, outgoing %v, incoming %v, for %v", strings.Join(inside, ","), strings.Join(outside, ","), out, in, duration)
		s.group.Go(func() {
			s.platform.Checker.RecordDisturbance(true)
			defer s.platform.Checker.RecordDisturbance(false)
			s.setPartition(inside, outside, out, in, 1)
			duty.Sleep(activeCtx, duration)
			s.setPartition(inside, outside, out, in, -1)
		})
	}
}

// setPartition adds n to the partitions between two groups of entries in the given
// directions: n is 1 to begin a partition and -1 to end it.
func (s *Soak) setPartition(inside, outside []string, out, in bool, n int) {
	for _, a := range inside {
		for _, b := range outside {
			if out {
				s.partitions.add(a, b, n)
			}
			if in {
				s.partitions.add(b, a, n)
			}
		}
	}
}
