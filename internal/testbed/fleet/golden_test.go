package fleet

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"

	"valvecove/internal/storedform"
	"valvecove/internal/testbed/report"
)

// goldenReport is a report in the form that the testbed of commit d2a7518 writes, with a value in every field. Stored
// reports are read back and included in later ones, so the file must not be regenerated; a new form of the report gets a
// new number and a new file.
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
	for _, zero := range storedform.ZeroFields(read) {
		t.Errorf("field %s was not read", zero)
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

// Every field of the reports, and of the messages between the processes of a run, has a tag with its name in JSON.
func TestReportsAreTagged(t *testing.T) {
	storedform.CheckTags(t, Report{}, GrowthReport{}, childMessage{}, Spec{}, ProxyPlan{}, []netip.AddrPort{})
}
