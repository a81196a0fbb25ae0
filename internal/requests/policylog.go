package requests

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"valvecove/dispatch"
)

// policyLog logs the messages and panics of the policy. It adds the IDs of the endpoints that the policy identifies by number.
type policyLog struct {
	logger    *slog.Logger
	endpoints *endpointSet
}

// logPanic logs a panic of the policy. openRequests is the number of requests that fail because of it.
func (p *policyLog) logPanic(panicked *policyPanic, openRequests int) {
	p.logger.Error("policy panic: policy restarted", "panic", fmt.Sprint(panicked.cause), "failed", openRequests,
		"stack", string(panicked.stack))
}

// logAction logs an action of the policy that is a message to the operators.
func (p *policyLog) logAction(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Log:
		p.logMessage(action.Text)
	case dispatch.WorkerEjected:
		p.logWorkerEjected(action)
	}
}

// logMessage logs a message of the policy. The policy identifies workers by number, so the IDs of the endpoints in the text
// are added as an attribute.
func (p *policyLog) logMessage(text string) {
	if !p.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("text", text)}
	if ids := p.endpointIDsIn(text); len(ids) > 0 {
		attrs = append(attrs, slog.String("worker", strings.Join(ids, " ")))
	}
	p.logger.LogAttrs(context.Background(), slog.LevelInfo, "dispatcher", attrs...)
}

// logWorkerEjected logs an ejection with the ID of the worker's endpoint, or with the worker's number if the endpoint is
// forgotten.
func (p *policyLog) logWorkerEjected(ejected dispatch.WorkerEjected) {
	worker := p.endpoints.endpoint(ejected.Worker).ID
	if worker == "" {
		worker = strconv.FormatUint(ejected.Worker, 10)
	}
	p.logger.Info("worker ejected", "worker", worker, "reason", ejected.Reason.String(),
		"ejection_time", ejected.EjectionTime)
}

// endpointIDsIn returns the endpoint IDs of the workers that occur in a text as "worker N", in order.
func (p *policyLog) endpointIDsIn(text string) []string {
	var ids []string
	for {
		_, after, found := strings.Cut(text, "worker ")
		if !found {
			return ids
		}
		digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
		worker, err := strconv.ParseUint(after[:digits], 10, 64)
		if endpoint := p.endpoints.endpoint(worker); err == nil && endpoint.ID != "" {
			ids = append(ids, endpoint.ID)
		}
		text = after
	}
}
