package hotrestart

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"valvecove/internal/storedform"
)

// goldenCordoned are the workers in the golden file of version 1, which is never regenerated: see storedform.Golden.
var goldenCordoned = []string{"s-0", "node \"<7>\"", "östlich-3"}

// The file of cordoned workers is written with the same bytes as by the first build of version 1.
func TestGoldenCordonFileIsWritten(t *testing.T) {
	dir := t.TempDir()
	if err := WriteCordonFile(dir, goldenCordoned); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, CordonFileName))
	if err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, "worker-nodes-out.json", text)
}

// A file that a build of version 1 has written is read, under the file name of that build.
func TestGoldenCordonFileIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "worker-nodes-out.json"), storedform.Golden(t, "worker-nodes-out.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadCordonFile(dir); err != nil || !slices.Equal(got, goldenCordoned) {
		t.Errorf("%q, %v, expected %q", got, err, goldenCordoned)
	}
}

func TestCordonFileIsTagged(t *testing.T) { storedform.CheckTags(t, cordonFile{}) }
