package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plantainwinch/duty"
	"plantainwinch/platform/fake"
)

const (
	// openConnections is how many connections callers keep open to each entry.
	openConnections = 6
	// maxRequestPause bounds the time between two requests on a connection. Half of the pauses are short.
	maxRequestPause, shortRequestPause = 2500 * time.Millisecond, 20 * time.Millisecond
	// redialDelay is the pause after a connection has ended.
	redialDelay = 30 * time.Millisecond
	// maxUnanswered is how long after its last byte was sent a request to a stopping entry may end without a response: by
	// then the entry has not read it.
	maxUnanswered = 200 * time.Millisecond
	// requestDeadline is the callers' deadline, after which no response is owed.
	requestDeadline = 3 * time.Second
	// signalMemory is how long after an entry was killed, paused or resumed by a fault its requests are not checked.
	signalMemory = 5 * time.Second
	// minStallDelay and maxStallDelay bound the time from SIGTERM until an entry gets no processor for stallTime. It
	// closes its connections then.
	minStallDelay, maxStallDelay = 2100 * time.Millisecond, 2600 * time.Millisecond
	stallTime                    = 350 * time.Millisecond
	// delayInterval is how often the soak looks whether it gets the processor itself.
	delayInterval = 10 * time.Millisecond
)

// ownDelay measures for how long the soak's own process has waited for the processor in all.
type ownDelay struct {
	mu    sync.Mutex
	total time.Duration
}

func (d *ownDelay) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		duty.Sleep(ctx, delayInterval)
		now := time.Now()
		d.mu.Lock()
		d.total += now.Sub(last) - delayInterval
		d.mu.Unlock()
		last = now
	}
}

func (d *ownDelay) get() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total
}

// keepConnections uses connections to an entry, one after the other and each until it ends, until ctx ends.
func (s *Soak) keepConnections(ctx context.Context, p *proc, i int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(3000+i)))
	for ctx.Err() == nil {
		if c, err := net.Dial("tcp", p.callersAddress); err == nil {
			s.useConnection(ctx, p, c, rnd)
			_ = c.Close()
		}
		duty.Sleep(ctx, redialDelay)
	}
}

// useConnection sends requests on a connection until the entry closes it or ctx ends.
func (s *Soak) useConnection(ctx context.Context, p *proc, c net.Conn, rnd *rand.Rand) {
	r := bufio.NewReader(c)
	for {
		pause := maxRequestPause
		if rnd.IntN(2) == 0 {
			pause = shortRequestPause
		}
		duty.Sleep(ctx, time.Duration(rnd.Int64N(int64(pause))))
		id := ""
		if rnd.IntN(2) == 0 {
			id = fmt.Sprintf("%016x", rnd.Uint64())
		}
		request, err := fake.QueueRequest(ctx, p.callersAddress, id)
		var data bytes.Buffer
		if err != nil || ctx.Err() != nil || request.Write(&data) != nil || c.SetDeadline(time.Now().Add(2*requestDeadline)) != nil {
			return
		}
		if _, err := c.Write(data.Bytes()); err != nil {
			return // The request was not sent in whole.
		}
		sent, delay := time.Now(), s.delay.get()
		response, err := http.ReadResponse(r, request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		took := time.Since(sent) - max(s.delay.get()-delay, 0)
		s.updateReport(func(r *Report) { r.Requests++ })
		if err != nil {
			s.checkUnanswered(p, sent, took, err)
		}
		if err != nil || response.Close {
			return
		}
	}
}

// checkUnanswered reports a request that a stopping entry has left without a complete response.
func (s *Soak) checkUnanswered(p *proc, sent time.Time, took time.Duration, err error) {
	stopping, ok := p.plannedStop(sent)
	if !ok || took >= requestDeadline {
		return
	}
	s.updateReport(func(r *Report) { r.Cut++ })
	s.logFault("request to %s cut off %v after it was sent, %v after SIGTERM: %v", p.name, took, time.Since(stopping), err)
	if took > maxUnanswered {
		s.addProblem("a request to %s had no complete response: its connection ended %v after it was sent, %v after SIGTERM: %v", p.name, took, time.Since(stopping), err)
	}
}

// plannedStop returns when the process was told to stop as planned. It returns false if it was not, or was killed or paused
// by a fault since or near the given time.
func (p *proc) plannedStop(near time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping, !p.stopping.IsZero() && !p.paused && p.disturbed.Before(near.Add(-signalMemory))
}

// noteSignal records a signal of a fault or of a planned stop. The mutex is held.
func (p *proc) noteSignal(signal syscall.Signal) {
	switch {
	case signal == syscall.SIGTERM && p.stopping.IsZero():
		p.stopping = time.Now()
	case signal == syscall.SIGKILL, signal == syscall.SIGSTOP, signal == syscall.SIGCONT && p.paused:
		p.disturbed, p.paused = time.Now(), signal == syscall.SIGSTOP
	}
}

// stallWhileStopping keeps a stopping process from the processor while it closes its connections, as a busy machine does.
func (s *Soak) stallWhileStopping(ctx context.Context, p *proc, rnd *rand.Rand) {
	cmd := p.currentCmd()
	duty.Sleep(ctx, minStallDelay+time.Duration(rnd.Int64N(int64(maxStallDelay-minStallDelay))))
	if cmd == nil || cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return // It has ended.
	}
	s.logFault("%s gets no processor for %v", p.name, stallTime)
	duty.Sleep(ctx, stallTime)
	_ = cmd.Process.Signal(syscall.SIGCONT) // It may have been killed.
}
