// Package lines writes log lines without blocking the code that logs: if the process
// that reads the standard output has stopped, requests must not stop with it.
package lines

import (
	"context"
	"io"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueSize limits the lines that wait to be written. The queue holds one second of
	// lines at the peak rate.
	queueSize = 4096
	// maxWriteSize is the number of bytes at which waiting lines are written out.
	maxWriteSize = 32 << 10
)

// Writer queues lines and writes them from a separate goroutine. If the queue is full,
// lines are dropped and counted.
type Writer struct {
	Out     io.Writer
	Dropped metrics.Counter

	queue chan []byte
}

// New returns a writer. Lines are written while its Run method runs.
func New(out io.Writer, reg metrics.Registry) *Writer {
	return &Writer{Out: out, Dropped: metrics.GetOrRegisterCounter("Log.Dropped", reg), queue: make(chan []byte, queueSize)}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.Dropped.Inc(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Run writes queued lines until ctx ends, and then the lines that remain in the queue.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush(nil)
			return
		case line := <-w.queue:
			w.flush(line)
		}
	}
}

// flush writes out and all lines in the queue.
func (w *Writer) flush(out []byte) {
	for {
		select {
		case line := <-w.queue:
			out = append(out, line...)
			if len(out) < maxWriteSize {
				continue
			}
		default:
			if len(out) > 0 {
				_, _ = w.Out.Write(out) // A failed write of the log cannot be logged.
			}
			return
		}
		_, _ = w.Out.Write(out)
		out = nil
	}
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger() *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, zapcore.InfoLevel))
}
