package deploy_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lichenfall/lichenfall/lib/golden"
)

// TestDeployFiles compares the files from which the users' platform builds, configures and
// starts the programs with their recorded checksums, so that none changes unnoticed.
func TestDeployFiles(t *testing.T) {
	var out strings.Builder
	for _, file := range []string{"deploy/system.toml", "platform/coordinator.hujson", "platform/worker.hujson"} {
		text, err := os.ReadFile(filepath.Join("..", filepath.FromSlash(file)))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%x  %s\n", sha256.Sum256(text), file)
	}
	golden.Check(t, "deploy.golden", out.String())
}
