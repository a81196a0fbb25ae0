// Package link is what a scheduler speaks on the wire: one epoll loop over client links, server links and the
// watch on discovery, all HTTP/1.1 by parsers of its own. Each turn of the loop gathers what is ready into the
// ledger, has it step once, and then the ledger's actions write to the links.
package link

import (
	"log/slog"
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/metrics"
	"valvecove/internal/requests"
)

// Loop is the one loop. Everything in this package runs on the goroutine that calls Run, but for Wake.
type Loop struct {
	*eventloop.Loop
	dial            func(to netip.AddrPort) (fd int, err error)
	writing         []byte
	request         http1.Request
	response        http1.Response
	Ledger          *requests.Table
	log             *slog.Logger
	linkLog         *slog.Logger // on client links, whose lines must not crowd out the others
	onWake          func()
	clients         *clientLinks
	servers         *serverLinks
	watch           *watchConnection
	status          *statusLinks                               // nil: off
	operators       *operatorLinks                             // nil: off
	decides         *dispatch.Dispatcher                       // the module that runs, under whatever wraps it
	side            int                                        // descriptors for features
	Capture         *capture.Recorder                          // nil: off
	exporter        *metrics.Exporter                          // nil: off
	lists           *address.AccessLists                       // nil: off
	wrap            func(*dispatch.Dispatcher) requests.Policy // what stands round a module that goes on from another process; nil: none can
	predecessorRole *predecessorRole                           // nil: no successor can come
	successorRole   *successorRole                             // nil: nothing is to be taken over
	limits          config.Limits
	halved          bool                    // another process runs beside this one, and has half of them
	onDivide        func(half bool)         // does the same for memory
	onSuccessor     func()                  // told whenever one stands by to replace this process
	onFail          func(error)             // ends the process
	cordonStore     *hotrestart.CordonStore // nil: nothing outlives this process
}

// clockSinceEpoch returns a clock that counts time from the Unix epoch, so that any start time that discovery tells is
// positive; from here on it follows the monotonic clock.
func clockSinceEpoch() func() time.Duration {
	origin := time.Now()
	return func() time.Duration { return time.Duration(origin.UnixNano()) + time.Since(origin) }
}

// newLoop returns a loop that has no connections yet. maxEvents is how many descriptors may be ready at once.
func newLoop(log, linkLog *slog.Logger, clock func() time.Duration, maxEvents int) (*Loop, error) {
	l := &Loop{log: log, linkLog: linkLog, dial: eventloop.Dial}
	var err error
	l.Loop, err = eventloop.New(eventloop.Config{
		Clock:     clock,
		MaxEvents: maxEvents,
		Log:       log,
		Hooks: eventloop.Hooks{
			NextStep:          l.nextStep,
			Step:              func(now time.Duration) { l.Ledger.Step(now) },
			DescriptorsClosed: l.handleDescriptorsClosed,
			Woken:             func() { l.onWake() },
		},
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// nextStep returns when the request table is to step next. Once a successor owns it, it never is.
func (l *Loop) nextStep() (at time.Duration, ok bool) {
	if l.hasRelinquished() {
		return 0, false
	}
	return l.Ledger.NextStep()
}

func (l *Loop) handleDescriptorsClosed() {
	if l.clients != nil {
		l.clients.resume()
	}
}
