package commands

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/lichenfall/lichenfall/config"
	"github.com/lichenfall/lichenfall/lib/logging"
)

// TestReloadLevel reloads a changed settings file: the log takes its level, and an invalid
// file changes nothing.
func TestReloadLevel(t *testing.T) {
	file := filepath.Join(t.TempDir(), "worker.hujson")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	log := logging.Discard()
	flag := &settingsFlag{Config: file}
	good := `{"store": {"address": "10.0.0.7:9000"}, "backend": {"address": "10.0.0.7:9001", "listen": "10.0.0.7:9002"}, "log": {"level": "error"}}`
	for _, text := range []string{good, `{"log": {"level": "debug"}}`, `{`} {
		write(text)
		reloadLevel(flag, config.DefaultWorker(), log)
		if got := log.Level.String(); got != "error" {
			t.Errorf("after %s the level is %s", text, got)
		}
	}
}
