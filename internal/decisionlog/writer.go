// Package decisionlog writes structured logs that never block a request and whose
// volume is bounded: lines of each kind up to a rate, and counts of the rest.
package decisionlog

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferedLines is the number of lines that wait for a slow output; 2,048 lines of
// about 500 bytes are 1 MB.
const bufferedLines = 2048

// Writer hands lines to an output in the background. Lines that find the buffer
// full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < 64<<10; {
			select {
			case next, ok := <-w.lines:
				if !ok {
					more = false
					break
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		if _, err := out.Write(batch); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped is the number of lines or batches that were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is buffered. No line may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w *Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level))
}
