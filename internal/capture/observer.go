package capture

import (
	"time"

	"valvecove/internal/requests"
)

// maxTextBytes bounds the paths and ids that a line holds.
const maxTextBytes = 512

// Observe records what the dispatcher does not see, or not as the clients said it.
func (r *Recorder) Observe(notification requests.Notification) {
	r.protect(func() { r.observe(notification) })
}

func (r *Recorder) observe(notification requests.Notification) {
	switch notification.Kind {
	case requests.RequestForgotten:
		r.forgotten = append(r.forgotten, notification.Request.ID)
	case requests.RequestAdmitted:
		r.callIDs[notification.Request.ID] = notification.Request.CallID
		line := r.requestLine(notification.Request)
		line.Input = inputRequest
		r.record(line)
	case requests.RequestRejected:
		r.recordRejection(notification)
	case requests.ResponseReceived:
		r.record(Line{
			Input: inputResponse, CallID: notification.Request.CallID, Worker: notification.Attempt.EndpointID, Status: notification.Status,
		})
	case requests.CallbackReceived:
		r.recordCallback(notification)
	case requests.RequestEnded:
		r.record(Line{
			Output: outputEnded, CallID: notification.Request.CallID, Outcome: string(notification.Request.Outcome()),
		})
	}
}

// record writes a line that belongs to no step.
func (r *Recorder) record(line Line) {
	line.Milliseconds = r.now().Milliseconds()
	r.write(line)
	r.flush()
}

func (r *Recorder) recordRejection(notification requests.Notification) {
	if !r.limiter.allow(r.now()) {
		return
	}
	var line Line
	if notification.Request != nil {
		line = r.requestLine(notification.Request)
	}
	line.Output = outputRejected
	line.Status = notification.Status
	line.Skipped = r.limiter.takeSkipped()
	r.record(line)
}

func (r *Recorder) recordCallback(notification requests.Notification) {
	isUnknown := notification.Attempt == nil
	if isUnknown && !r.limiter.allow(r.now()) {
		return
	}
	callback := notification.Callback
	line := Line{
		Input: inputCallback, CallID: truncate(callback.CallID), Worker: truncate(callback.EndpointID),
		State: truncate(callback.State), Progress: callback.Progress, UnknownAttempt: isUnknown,
	}
	if callback.Result != nil {
		line.BodyBytes = len(*callback.Result)
	}
	if isUnknown {
		line.Skipped = r.limiter.takeSkipped()
	}
	r.record(line)
}

// requestLine describes a request, without its payload.
func (r *Recorder) requestLine(request *requests.Request) Line {
	line := Line{
		CallID: request.CallID, Method: request.Payload.Method, Path: truncate(request.Payload.Path),
		IdempotencyKey: request.Payload.IdempotencyKey, BodyBytes: len(request.Payload.Body),
	}
	if request.Job.Class < len(r.names.Classes) {
		line.Class = r.names.Classes[request.Job.Class]
	}
	if request.Job.Tenant < len(r.names.Tenants) {
		line.Tenant = r.names.Tenants[request.Job.Tenant]
	}
	return line
}

func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

const (
	floodBurst         = 100 // lines at once
	floodRatePerSecond = 20  // lines, after a burst
)

// floodLimiter is a token bucket for lines that anybody can cause, so that they don't displace all others.
type floodLimiter struct {
	tokens    float64
	updatedAt time.Duration
	skipped   int // lines that were not allowed, not yet reported
}

func newFloodLimiter() floodLimiter { return floodLimiter{tokens: floodBurst} }

// allow takes a token; without one it counts the line as skipped.
func (l *floodLimiter) allow(now time.Duration) bool {
	l.tokens = min(floodBurst, l.tokens+floodRatePerSecond*(now-l.updatedAt).Seconds())
	l.updatedAt = now
	if l.tokens < 1 {
		l.skipped++
		return false
	}
	l.tokens--
	return true
}

// takeSkipped returns how many lines were skipped since it was last called.
func (l *floodLimiter) takeSkipped() int {
	skipped := l.skipped
	l.skipped = 0
	return skipped
}
