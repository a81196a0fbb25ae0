package fleet

import (
	"cmp"
	"fmt"
	"time"
)

const zone = "a" // of all workers

var (
	kinds   = []string{"std-4c", "slow-4c"} // machine types of the workers, assigned in turn
	tenants = []string{"khyber-society", "mardan-society", "swat-society"}
)

// Spec describes what a rig runs.
type Spec struct {
	Workers            int           `json:"nodes"`   // number of workers
	Responds           bool          `json:"answers"` // workers respond with the result; otherwise with 202, and callbacks
	StartNotifications bool          `json:"notices"` // workers also send a callback when a job starts
	Work               time.Duration `json:"work"`    // of each job, default 20 ms; below 0: none
	Slots              int           `json:"slots"`   // jobs that a worker runs at once, default 4
	QueueLimit         int           `json:"room"`    // jobs that may be queued at a worker, default 256
	Clients            int           `json:"clients"` // that each wait for their response and then send the next request
	Hint               time.Duration `json:"hint"`    // cost that clients announce; 0: none
	Burst              int           `json:"burst"`   // additional jobs in the first second, each from a client of its own
	Jobs               int           `json:"jobs"`    // the run ends after so many jobs served or failed; 0: after Length
	WarmUp             time.Duration `json:"warm"`    // from the clients' start to the opening of the measurement window
	Length             time.Duration `json:"length"`  // of the window
	Seed               uint64        `json:"seed"`    // of the request identifiers
	Rate               float64       `json:"rate"`    // requests a second, in place of the clients' own pace; 0: theirs
	ChangeInterval     time.Duration `json:"changes"` // between two changes of the endpoint list; 0: it does not change
	Cores              []int         `json:"cores"`   // one engine is bound to each; empty: one engine on any core

	Restarts       time.Duration `json:"restarts"`    // every third worker restarts in the course of this; 0: none does
	SilentShare    float64       `json:"silent"`      // share of the workers, with consecutive addresses, that falls silent
	SilentFor      time.Duration `json:"silent_for"`  // how long they are silent
	DisturbancesAt time.Duration `json:"troubles_at"` // when both begin, from the clients' start
	restartDown    time.Duration // how long a restarting worker is down; default 500 ms
}

const (
	defaultSlots      = 4
	defaultQueueLimit = 256
	anyCore           = -1 // core of an engine that is not bound to one
)

// setDefaults fills in what is unset.
func (s *Spec) setDefaults() {
	s.Work = cmp.Or(s.Work, defaultWork)
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.QueueLimit = cmp.Or(s.QueueLimit, defaultQueueLimit)
	s.restartDown = cmp.Or(s.restartDown, defaultRestartDown)
	if len(s.Cores) == 0 {
		s.Cores = []int{anyCore}
	}
}

func (s *Spec) check() error {
	if s.Workers < 1 || s.Length < 0 || s.WarmUp < 0 {
		return fmt.Errorf("%d workers, warm-up %v, length %v: a run needs a worker, and no duration may be negative", s.Workers,
			s.WarmUp, s.Length)
	}
	return nil
}

// workTime is how long each job runs; 0 for a job that takes no time.
func (s *Spec) workTime() time.Duration { return max(0, s.Work) }
