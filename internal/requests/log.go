package requests

import (
	"context"
	"log/slog"
	"strconv"
	"strings"

	"valvecove/dispatch"
)

// logPolicyAction logs an action of the policy that is a message to the operators.
func (t *Table) logPolicyAction(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Log:
		t.logPolicyMessage(action.Text)
	case dispatch.WorkerEjected:
		t.logWorkerEjected(action)
	}
}

// logPolicyMessage logs a message of the policy. The policy identifies workers by number, so the IDs of the endpoints in the text
// are added as an attribute.
func (t *Table) logPolicyMessage(text string) {
	if !t.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("text", text)}
	if ids := t.endpointsNamedIn(text); len(ids) > 0 {
		attrs = append(attrs, slog.String("worker", strings.Join(ids, " ")))
	}
	t.logger.LogAttrs(context.Background(), slog.LevelInfo, "dispatcher", attrs...)
}

// logWorkerEjected logs an ejection with the ID of the worker's endpoint, or with the worker's number if the endpoint is forgotten.
func (t *Table) logWorkerEjected(ejected dispatch.WorkerEjected) {
	worker := t.Endpoint(ejected.Worker).ID
	if worker == "" {
		worker = strconv.FormatUint(ejected.Worker, 10)
	}
	t.logger.Info("worker ejected", "worker", worker, "reason", ejected.Reason.String(),
		"ejection_time", ejected.EjectionTime)
}

// endpointsNamedIn returns the endpoint IDs of the workers that occur in a text as "worker N", in order.
func (t *Table) endpointsNamedIn(text string) []string {
	var ids []string
	for {
		_, after, found := strings.Cut(text, "worker ")
		if !found {
			return ids
		}
		digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
		worker, err := strconv.ParseUint(after[:digits], 10, 64)
		if endpoint := t.Endpoint(worker); err == nil && endpoint.ID != "" {
			ids = append(ids, endpoint.ID)
		}
		text = after
	}
}
