package fleet

import (
	"bufio"
	"encoding/json"
	"net/http"
	"testing"

	"valvecove/internal/requests"
)

// Discovery gives the snapshot, at once or as the first line of a watch, and announces a restart to watches.
func TestDiscoverySnapshotAndWatch(t *testing.T) {
	rig := testRig(t, Spec{Workers: 7})
	url := "http://" + rig.Addresses().Discovery + "/discovery/hosts"
	response, err := http.Get(url + "?stream=1&index=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	watch := bufio.NewScanner(response.Body)

	checkSnapshot(t, "watch", readWatch(t, watch), rig)
	_, text := do(t, "GET", url, "")
	checkSnapshot(t, "poll", parseList(t, []byte(text)), rig)

	rig.onEngines(func(int, *engine) {
		rig.workers[3].stop()
		rig.workers[3].restart()
	})
	got := readWatch(t, watch)
	if got.Reset || got.Revision != 2 || len(got.Endpoints) != 1 {
		t.Fatalf("a restart: %+v", got)
	}
	if restarted := got.Endpoints[0]; restarted.ID != "w-3" || restarted.StartedAtMs == 0 {
		t.Errorf("a restart: %+v", got)
	}
}

func parseList(t *testing.T, text []byte) (list requests.EndpointList) {
	t.Helper()
	if err := json.Unmarshal(text, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// readWatch reads the next list of a watch, without the heartbeats before it.
func readWatch(t *testing.T, lines *bufio.Scanner) requests.EndpointList {
	t.Helper()
	for lines.Scan() {
		if text := lines.Bytes(); len(text) > 0 {
			return parseList(t, text)
		}
	}
	t.Fatal("the watch has ended:", lines.Err())
	return requests.EndpointList{}
}

// checkSnapshot expects the first revision of the list of seven workers.
func checkSnapshot(t *testing.T, name string, list requests.EndpointList, rig *Rig) {
	t.Helper()
	if !list.Reset || list.Revision != 1 || len(list.Endpoints) != 7 {
		t.Fatalf("%s: not the first snapshot of seven workers: %+v", name, list)
	}
	last := list.Endpoints[6]
	if last.ID != "w-6" || last.StartedAtMs != 0 || last.Addr != rig.Addresses().Workers[6] {
		t.Errorf("%s: unexpected last entry: %+v", name, list)
	}
}
