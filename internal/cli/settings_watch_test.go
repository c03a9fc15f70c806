package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSettingsChangeWithoutSignal guards against settings that take effect only at a signal, and
// against a file that is read while it is being written.
func TestSettingsChangeWithoutSignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.conf")
	write := func(content string, age time.Duration) {
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		at := time.Now().Add(-age)
		is.NoErr(os.Chtimes(path, at, at))
	}
	write("a=1", time.Hour)
	w := newFileWatcher(path)
	is.True(!w.changed())
	write("a=", time.Minute)
	is.True(!w.changed()) // it may still be written
	write("a=2", time.Second)
	is.True(!w.changed())
	is.True(w.changed())
	is.True(!w.changed())

	replacement := path + ".new"
	is.NoErr(os.WriteFile(replacement, []byte("a=3"), 0o600))
	is.NoErr(os.Rename(replacement, path))
	is.True(!w.changed())
	is.True(w.changed())

	is.NoErr(os.Remove(path))
	is.True(!w.changed())
	is.True(!w.changed()) // the previous settings stay in force
}
