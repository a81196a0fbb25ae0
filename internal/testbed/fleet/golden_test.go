package fleet

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"

	"valvecove/internal/storedform"
	"valvecove/internal/testbed/report"
)

// The golden file holds a report as the testbed of d2a7518 writes it, with a value in every field. Reports are kept and taken
// into later ones: the file is never regenerated except under a new form number.
const goldenReport = "report-1.json"

func readReport(t *testing.T) (read Report) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(storedform.Golden(t, goldenReport)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	return read
}

func TestGoldenReportIsRead(t *testing.T) {
	read := readReport(t)
	for _, zero := range storedform.Zero(read) {
		t.Errorf("nothing is read into %s", zero)
	}
	if p := read.Measurements[0]; p.Subject != "valvecove" || p.Workers != 1000 || p.Rate != 2412.5 || p.All.Served != 24125 ||
		len(p.Seconds) != 2 || p.FailureReasons["reset"] != 3 {
		t.Errorf("read %+v", p)
	}
}

func TestGoldenReportIsWrittenToTheSameBytes(t *testing.T) {
	var b bytes.Buffer
	if err := report.WriteJSON(&b, readReport(t)); err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, goldenReport, b.Bytes())
}

// What a report calls its figures stands in tags, and so do the words between the processes of a run.
func TestReportsAreTagged(t *testing.T) {
	storedform.CheckTags(t, Report{}, GrowthReport{}, childMessage{}, Spec{}, ProxyPlan{}, []netip.AddrPort{})
}
