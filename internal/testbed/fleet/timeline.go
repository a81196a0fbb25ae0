package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// BySecond writes the outcomes in each second of each run, from the clients' start, and the reasons of failures.
func (r *Report) BySecond(w io.Writer) error {
	var b strings.Builder
	for i := range r.Measurements {
		r.Measurements[i].writeTimeline(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (m *Measurement) writeTimeline(b *strings.Builder) {
	b.WriteString(m.String())
	m.writeDisturbances(b)
	m.writeCounts(b, "\n  served ", func(second OutcomeCounts) int { return second.Served })
	m.writeCounts(b, "\n  refused", func(second OutcomeCounts) int { return second.Rejected })
	m.writeCounts(b, "\n  failed ", func(second OutcomeCounts) int { return second.Failed })
	b.WriteString("\n")
	for _, reason := range slices.Sorted(maps.Keys(m.FailureReasons)) {
		fmt.Fprintf(b, "  failed %d times: %s\n", m.FailureReasons[reason], reason)
	}
}

func (m *Measurement) writeDisturbances(b *strings.Builder) {
	if len(m.Disturbances) != 2 {
		return
	}
	fmt.Fprintf(b, "; trouble from %.1f s to %.1f s, ", m.Disturbances[0], m.Disturbances[1])
	if seconds := m.RecoveredAfter(); seconds >= 0 {
		fmt.Fprintf(b, "back at 95%% after %d s", seconds)
	} else {
		b.WriteString("not back at 95%")
	}
}

func (m *Measurement) writeCounts(b *strings.Builder, title string, count func(OutcomeCounts) int) {
	b.WriteString(title)
	for _, second := range m.Seconds {
		fmt.Fprintf(b, " %d", count(second))
	}
}
