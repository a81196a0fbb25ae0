package aperture

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

const (
	logInterval         = time.Second // minimum between two log lines
	loggedChangePercent = 10          // minimum change of the subset that is logged
)

// Size contains the sizes of the fleet and of the subset.
type Size struct {
	Listed        int     // workers that discovery lists
	Ready         int     // ready ones of Listed
	Selected      int     // listed workers in the subset
	SelectedReady int     // ready ones of Selected
	Unresponsive  int     // ready workers in the subset that have not responded in time
	Whole         bool    // the subset is the whole fleet, because that is small or has one scheduler
	Widening      float64 // factor by which load has widened the subset, from 1
}

// Size returns the current sizes.
func (a *Aperture) Size() Size {
	size := Size{Whole: a.coversFleet(), Widening: a.widening.factor}
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

// differsFrom reports whether the difference to another size is worth a log line.
func (s Size) differsFrom(other Size) bool {
	if s.Whole || other.Whole {
		return s.Whole != other.Whole
	}
	change := max(s.Selected-other.Selected, other.Selected-s.Selected)
	return 100*change > loggedChangePercent*other.Selected
}

// String returns the text of the log line.
func (s Size) String() string {
	if s.Whole {
		return fmt.Sprintf("the whole fleet, %d listed, %d ready", s.Listed, s.Ready)
	}
	return fmt.Sprintf("%d of %d listed, %d of %d ready, %d silent, factor %.2f",
		s.Selected, s.Listed, s.SelectedReady, s.Ready, s.Unresponsive, s.Widening)
}

// sizeLog is the state of the log of sizes.
type sizeLog struct {
	reason   string // reason for the next line; empty: none is due
	last     Size
	loggedAt time.Duration
}

// checkSize requests a log line if the size differs from the one that was logged last.
func (a *Aperture) checkSize() {
	if a.log.reason != "" {
		return
	}
	if size := a.Size(); size.Listed > 0 && size.differsFrom(a.log.last) {
		a.log.reason = "as the fleet is now"
	}
}

// appendLog logs the size and the reason, if a line is due.
func (a *Aperture) appendLog(dst []dispatch.Action) []dispatch.Action {
	if a.log.reason == "" || a.now < a.log.loggedAt+logInterval {
		return dst
	}
	size := a.Size()
	text := "aperture: " + size.String()
	if !size.Whole {
		text += ", " + a.log.reason
	}
	a.log = sizeLog{last: size, loggedAt: a.now}
	return append(dst, dispatch.Log{Text: text})
}
