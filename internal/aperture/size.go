package aperture

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

const (
	logInterval         = time.Second // minimum interval between two log lines
	loggedChangePercent = 10          // a change of the subset's size by more than this is logged
)

// Size contains the sizes of the fleet and of the subset.
type Size struct {
	Listed        int     // number of workers that discovery lists
	Ready         int     // number of ready workers among them
	Selected      int     // number of listed workers in the subset
	SelectedReady int     // number of ready workers in the subset
	Unresponsive  int     // number of ready workers in the subset that have not responded in time
	CoversFleet   bool    // the subset is the whole fleet, because the fleet is small or there is one scheduler
	Widening      float64 // factor by which load has widened the subset; at least 1
}

// Size returns the current sizes.
func (a *Aperture) Size() Size {
	size := Size{CoversFleet: a.coversFleet(), Widening: a.widening.factor}
	for _, u := range a.fleet.units {
		counts := u.counts[allJobs]
		size.Listed += counts.listed
		size.Ready += counts.ready
		if u.selected {
			size.Selected += counts.listed
			size.SelectedReady += counts.ready
			size.Unresponsive += counts.ready - counts.responsive
		}
	}
	return size
}

// differsFrom reports whether the size differs enough from another one to be logged.
func (s Size) differsFrom(other Size) bool {
	if s.CoversFleet || other.CoversFleet {
		return s.CoversFleet != other.CoversFleet
	}
	change := max(s.Selected-other.Selected, other.Selected-s.Selected)
	return 100*change > loggedChangePercent*other.Selected
}

// String returns the sizes as in the log line.
func (s Size) String() string {
	if s.CoversFleet {
		return fmt.Sprintf("whole fleet selected: %d workers listed, %d ready", s.Listed, s.Ready)
	}
	return fmt.Sprintf("selected %d of %d listed workers, %d of %d ready, %d unresponsive, widening factor %.2f",
		s.Selected, s.Listed, s.SelectedReady, s.Ready, s.Unresponsive, s.Widening)
}

// sizeLog contains the last logged size, and the reason for the next log line.
type sizeLog struct {
	reason   string // reason for the next log line; empty: none is due
	last     Size
	loggedAt time.Duration
}

// checkSize requests a log line if the size differs from the last logged size.
func (a *Aperture) checkSize() {
	if a.log.reason != "" {
		return
	}
	if size := a.Size(); size.Listed > 0 && size.differsFrom(a.log.last) {
		a.log.reason = "fleet or subset changed"
	}
}

// appendLog logs the size and the reason, if a line is due.
func (a *Aperture) appendLog(dst []dispatch.Action) []dispatch.Action {
	if a.log.reason == "" || a.now < a.log.loggedAt+logInterval {
		return dst
	}
	size := a.Size()
	text := "aperture: " + size.String()
	if !size.CoversFleet {
		text += "; " + a.log.reason
	}
	a.log = sizeLog{last: size, loggedAt: a.now}
	return append(dst, dispatch.Log{Text: text})
}
