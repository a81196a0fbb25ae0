package aperture

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

const (
	logInterval         = time.Second // the size is logged at most so often
	loggedChangePercent = 10          // and only for a change of more than this part of the subset
)

// Size is how large the fleet is, and the subset of it.
type Size struct {
	Listed        int     // workers that discovery lists
	Ready         int     // the ready ones among them
	Selected      int     // listed workers in the subset
	SelectedReady int     // the ready ones among them
	Unresponsive  int     // ready workers in the subset that have not responded in time
	Whole         bool    // the subset is the whole fleet, which is small or has one scheduler
	Widening      float64 // by which load has widened the subset; 1: not at all
}

// Size counts the workers.
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

// differsFrom reports whether the size is far from another one.
func (s Size) differsFrom(other Size) bool {
	if s.Whole || other.Whole {
		return s.Whole != other.Whole
	}
	change := max(s.Selected-other.Selected, other.Selected-s.Selected)
	return 100*change > loggedChangePercent*other.Selected
}

// String is the line that is logged.
func (s Size) String() string {
	if s.Whole {
		return fmt.Sprintf("the whole fleet, %d listed, %d ready", s.Listed, s.Ready)
	}
	return fmt.Sprintf("%d of %d listed, %d of %d ready, %d silent, factor %.2f",
		s.Selected, s.Listed, s.SelectedReady, s.Ready, s.Unresponsive, s.Widening)
}

// sizeLog is what is to be logged of the size, and what was last.
type sizeLog struct {
	reason   string // for the next line; empty: none is due
	last     Size
	loggedAt time.Duration
}

// noticeSize has the size logged if it is far from what was logged last.
func (a *Aperture) noticeSize() {
	if a.log.reason != "" {
		return
	}
	if size := a.Size(); size.Listed > 0 && size.differsFrom(a.log.last) {
		a.log.reason = "as the fleet is now"
	}
}

// appendLog logs how wide the subset is, and why, if there is a reason to.
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
