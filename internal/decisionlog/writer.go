// Package decisionlog writes structured logs without blocking requests. It decides which
// requests get a line and limits the lines of each kind to a rate, beyond which it counts
// them; the events and the output are left to others.
package decisionlog

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferedLines is the number of lines that are kept for a slow output: 2,048 lines of
// about 500 bytes are 1 MB.
const bufferedLines = 2048

// Writer writes lines to an output in the background. It drops and counts lines while its
// buffer is full. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes the buffered lines in batches of about 64 KiB at most.
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

// Write implements zapcore.WriteSyncer. It never blocks or fails; it drops the line if the
// buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped, plus how many batches of lines could not be
// written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and ends the goroutine. Write must not be called after
// it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// NewLogger returns a logger that writes JSON lines of the given level and above to w.
// Durations are written in ms.
func NewLogger(w *Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level))
}
