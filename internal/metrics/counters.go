// Package metrics counts jobs and attempts by their outcome, and writes the counts in two formats: statsd or influx lines for a
// collector (Exporter), and the text of the operators' metrics call (Counters.AppendText). Each count is stored once, in
// Counters, which observes the request table. Tags are names from the settings and outcomes, never text of a client.
package metrics

import (
	"slices"

	"valvecove/internal/requests"
)

// responseKinds is the number of kinds of requests.Response.
const responseKinds = int(requests.ResponseFailed) + 1

// Counters contains the counts since the start of the process, by tenant and class. It is an observer of the request table, and
// is used on the goroutine of that table.
type Counters struct {
	names           requests.NameTable
	groups          []group // by tenant and then class; the last one is for requests whose class has no name
	attemptsWritten uint64  // attempts whose last byte was written
	unreadable      uint64  // messages that could not be read as a request
}

// group contains the counts of one tenant and class.
type group struct {
	active           bool // a request was admitted; otherwise no gauges are exported
	openRequests     int
	attemptsInFlight int
	jobs             [len(requests.Outcomes)][responseKinds]uint64 // ended
	attempts         [len(requests.Outcomes)]uint64                // ended
}

// NewCounters returns counters for the tenants and classes of a name table.
func NewCounters(names requests.NameTable) *Counters {
	named := max(1, len(names.Tenants)) * len(names.Classes)
	return &Counters{names: names, groups: make([]group, named+1)}
}

// Observe implements requests.Observer. A request that was rejected at admission for lack of capacity is counted as a job with
// requests.ResponseRejected. An unreadable request is not counted as a job.
func (c *Counters) Observe(notification requests.Notification) {
	request := notification.Request
	switch notification.Kind {
	case requests.RequestAdmitted:
		admitted := c.group(request)
		admitted.active = true
		admitted.openRequests++
	case requests.RequestRejected:
		if !isRejectedJob(notification) {
			c.unreadable++
			return
		}
		c.group(request).countJob(request.Outcome(), requests.ResponseRejected)
	case requests.AttemptStarted:
		c.group(request).attemptsInFlight++
	case requests.AttemptWritten:
		c.attemptsWritten++
	case requests.AttemptEnded:
		ended := c.group(request)
		ended.attempts[outcomeIndex(notification.Err.Outcome())]++
		ended.attemptsInFlight--
	case requests.RequestEnded:
		ended := c.group(request)
		ended.openRequests--
		ended.countJob(request.Outcome(), request.Response())
	}
}

// isRejectedJob reports whether a RequestRejected notification is about a readable request that was rejected for lack of
// capacity.
func isRejectedJob(notification requests.Notification) bool {
	return notification.Request != nil && notification.Status == 503
}

// group returns the counts of a request's tenant and class.
func (c *Counters) group(request *requests.Request) *group { return &c.groups[c.groupIndex(request)] }

// groupIndex returns the index of a request's group. A tenant outside the range of the names is limited to that range.
func (c *Counters) groupIndex(request *requests.Request) int {
	if request.Job.Class < 0 || request.Job.Class >= len(c.names.Classes) {
		return len(c.groups) - 1
	}
	tenant := max(0, min(request.Job.Tenant, len(c.names.Tenants)-1))
	return tenant*len(c.names.Classes) + request.Job.Class
}

// groupNames returns the names of a group's tenant and class. Either may be empty.
func (c *Counters) groupNames(index int) (tenant, class string) {
	if index == len(c.groups)-1 {
		return "", ""
	}
	if len(c.names.Tenants) > 0 {
		tenant = c.names.Tenants[index/len(c.names.Classes)]
	}
	return tenant, c.names.Classes[index%len(c.names.Classes)]
}

// AttemptsWritten returns the number of attempts whose last byte was written.
func (c *Counters) AttemptsWritten() uint64 { return c.attemptsWritten }

// outcomeIndex returns the index of an outcome in requests.Outcomes.
func outcomeIndex(outcome requests.Outcome) int { return slices.Index(requests.Outcomes[:], outcome) }

// countJob counts a job that has ended.
func (g *group) countJob(outcome requests.Outcome, response requests.Response) {
	g.jobs[outcomeIndex(outcome)][response]++
}

// jobsByOutcome returns the number of jobs that have ended with an outcome, for all responses.
func (g *group) jobsByOutcome(outcome int) (total uint64) {
	for _, count := range g.jobs[outcome] {
		total += count
	}
	return total
}

// jobsByResponse returns the number of jobs that have ended with a response, for all outcomes.
func (g *group) jobsByResponse(response requests.Response) (total uint64) {
	for outcome := range g.jobs {
		total += g.jobs[outcome][response]
	}
	return total
}

// Responses returns the number of jobs of a class, of all tenants, that have ended with a response.
func (c *Counters) Responses(response requests.Response, class int) (total uint64) {
	for index := class; index < len(c.groups)-1; index += len(c.names.Classes) {
		total += c.groups[index].jobsByResponse(response)
	}
	return total
}
