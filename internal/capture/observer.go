package capture

import (
	"time"

	"valvecove/internal/requests"
)

// maxTextBytes is the maximum length of a path, or of a text from a callback, in a line.
const maxTextBytes = 512

// Observe implements requests.Observer. It records the notifications that are not events of the dispatcher.
func (r *Recorder) Observe(notification requests.Notification) {
	r.protect(func() { r.observe(notification) })
}

// observe is Observe without protection against panics.
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

// record writes a line that is not part of a step.
func (r *Recorder) record(line Line) {
	line.Milliseconds = r.now().Milliseconds()
	r.write(line)
	r.flush()
}

// recordRejection records a request that was rejected at admission, at a limited rate.
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

// recordCallback records a callback, at a limited rate if it is not about an attempt in flight.
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

// requestLine returns a line with the header of a request.
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

// truncate returns at most maxTextBytes of a text.
func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

const (
	floodBurst         = 100 // lines
	floodRatePerSecond = 20  // lines per second, after a burst
)

// floodLimiter is a token bucket for lines that any client or worker can cause in any number. It keeps them from displacing all
// other lines.
type floodLimiter struct {
	tokens    float64
	updatedAt time.Duration
	skipped   int // lines that were not allowed since takeSkipped
}

func newFloodLimiter() floodLimiter { return floodLimiter{tokens: floodBurst} }

// allow reports whether a line may be written, and removes a token for it. Otherwise it counts the line as skipped.
func (f *floodLimiter) allow(now time.Duration) bool {
	f.tokens = min(floodBurst, f.tokens+floodRatePerSecond*(now-f.updatedAt).Seconds())
	f.updatedAt = now
	if f.tokens < 1 {
		f.skipped++
		return false
	}
	f.tokens--
	return true
}

// takeSkipped returns the number of lines that were skipped since its last call.
func (f *floodLimiter) takeSkipped() int {
	skipped := f.skipped
	f.skipped = 0
	return skipped
}
