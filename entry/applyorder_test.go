package entry

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"plantainwinch/winch"
)

// documentOf returns a configuration in which the failure domains are evacuated.
func documentOf(version uint64, evacuated ...string) *winch.Document {
	doc := &winch.Document{Version: version, Evacuated: make(map[string]time.Time)}
	for _, domain := range evacuated {
		doc.Evacuated[domain] = time.Now()
	}
	return doc
}

// evacuatedExecutor reports whether an entry knows the only executor as one of an evacuated failure domain.
func (n *node) evacuatedExecutor() bool {
	synctest.Wait()
	for _, vm := range n.members.View().VMs {
		return vm.Evacuated
	}
	return false
}

// Guards against an evacuation that is lost because the process was paused, until the context of the call expired,
// between adopting the configuration and applying it: the same version is not applied again.
func TestEvacuationIsAppliedAfterAPause(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		w.addExecutor("e0", "d1", 1)
		n := w.addEntry("d1-0", "d1")
		time.Sleep(5 * time.Second)
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		const tries = 20 // duty.Loop.Do may or may not accept work if the context has expired.
		for i := range uint64(tries) {
			n.applyConfig(expired, documentOf(100+2*i, "d1"))
			is.True(n.evacuatedExecutor())
			n.applyConfig(context.Background(), documentOf(101+2*i))
			is.True(!n.evacuatedExecutor())
		}
	})
}

// Guards against an older configuration that undoes an evacuation: it was adopted first, and its goroutine was set
// aside before it set the evacuated failure domains.
func TestOlderConfigurationDoesNotUndoAnEvacuation(t *testing.T) {
	bubble(t, func(w *world) {
		is := is.New(w.t)
		var delayed atomic.Bool
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel)
		w.log = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
			if e.Message == "configuration applied" && delayed.CompareAndSwap(true, false) {
				time.Sleep(time.Second)
			}
			return nil
		}))
		w.addExecutor("e0", "d1", 1)
		n := w.addEntry("d1-0", "d1")
		time.Sleep(5 * time.Second)
		delayed.Store(true)
		var group conc.WaitGroup
		group.Go(func() { n.applyConfig(context.Background(), documentOf(100)) })
		synctest.Wait()
		n.applyConfig(context.Background(), documentOf(101, "d1"))
		group.Wait()
		is.True(n.evacuatedExecutor())
	})
}
