package cli

import (
	"io/fs"
	"os"
	"time"
)

// settingsCheckInterval is the time between two checks whether the settings file has changed.
const settingsCheckInterval = time.Second

// fileWatcher detects changes of a file by its attributes. It is not safe for concurrent use.
type fileWatcher struct {
	path string
	// known are the attributes as of the last change that was reported, and last those of the
	// last check. Nil means that the file could not be read.
	known, last fs.FileInfo
}

// newFileWatcher returns a watcher that reports changes from now on.
func newFileWatcher(path string) *fileWatcher {
	w := &fileWatcher{path: path}
	w.known = w.stat()
	w.last = w.known
	return w
}

// changed reports whether the file has changed since the last reported change. A change is
// reported at the first check that finds the file as the check before did, since a file that is
// still being written may be incomplete.
func (w *fileWatcher) changed() bool {
	now := w.stat()
	settled := sameFile(now, w.last)
	w.last = now
	if now == nil || !settled || sameFile(now, w.known) {
		return false
	}
	w.known = now
	return true
}

func (w *fileWatcher) stat() fs.FileInfo {
	info, err := os.Stat(w.path)
	if err != nil {
		return nil // a missing file is no change; a reload by signal reports the error
	}
	return info
}

// sameFile reports whether two results of stat are of the same content, as far as they tell.
func sameFile(a, b fs.FileInfo) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return os.SameFile(a, b) && a.Size() == b.Size() && a.ModTime().Equal(b.ModTime())
}
