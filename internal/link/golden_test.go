package link

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"valvecove/internal/storedform"
)

// goldenBans are what the golden file of form 1 has, which is never written anew: see storedform.Golden.
var goldenBans = []string{"s-0", "node \"<7>\"", "östlich-3"}

// The file of the worker nodes that are out by hand is written as the build of form 1 wrote it.
func TestGoldenBansAreWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), cordonFileName)
	if err := writeCordonFile(path, goldenBans); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, "worker-nodes-out.json", text)
}

// A file that a build of form 1 has left is read, under the name that it has there.
func TestGoldenBansAreRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "worker-nodes-out.json"), storedform.Golden(t, "worker-nodes-out.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := readCordonFile(dir); err != nil || !slices.Equal(got, goldenBans) {
		t.Errorf("%q, %v, expected %q", got, err, goldenBans)
	}
}

func TestKeptFilesAreTagged(t *testing.T) { storedform.CheckTags(t, cordonFile{}) }
