// Package lines writes log lines without ever making the writer of a line wait:
// a reader of our standard output that has stopped must not stop requests.
package lines

import (
	"context"
	"io"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// ringSize bounds the lines that wait to be written, a second's worth at the
	// highest rate seen.
	ringSize = 4096
	// gatherBytes bounds what goes out in one write.
	gatherBytes = 32 << 10
)

// Writer takes lines and writes them from a goroutine of its own. A line that
// finds the ring full is dropped and counted.
type Writer struct {
	Out     io.Writer
	Dropped metrics.Counter

	ring chan []byte
}

// New returns a writer; its Run must be called.
func New(out io.Writer, reg metrics.Registry) *Writer {
	return &Writer{Out: out, Dropped: metrics.GetOrRegisterCounter("Log.Dropped", reg), ring: make(chan []byte, ringSize)}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.ring <- kept:
	default:
		w.Dropped.Inc(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Run writes until ctx ends, and then what still waits.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush(nil)
			return
		case line := <-w.ring:
			w.flush(line)
		}
	}
}

// flush writes a line with all that waits behind it.
func (w *Writer) flush(out []byte) {
	for {
		select {
		case line := <-w.ring:
			out = append(out, line...)
			if len(out) < gatherBytes {
				continue
			}
		default:
			if len(out) > 0 {
				_, _ = w.Out.Write(out) // There is nowhere else to say that it failed.
			}
			return
		}
		_, _ = w.Out.Write(out)
		out = nil
	}
}

// Logger returns a logger of structured lines.
func (w *Writer) Logger() *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, zapcore.InfoLevel))
}
