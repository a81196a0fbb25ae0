package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// history is the list of all events of a run. The model derives the verdict on each command from the whole history.
type history struct {
	settings dispatch.Settings
	now      time.Duration
	records  []record
}

// record is an entry of the history. Its event is a dispatch.Event, a message.WorkerStatus, an assignment, a usedNumber or an
// appliedCommand.
type record struct {
	at    time.Duration
	event any
}

// assignment makes a session the owner of a request.
type assignment struct {
	request uint64
	owner   message.Epoch
}

// usedNumber records that the request's owner has used a number for a send command.
type usedNumber struct {
	request uint64
	number  int
}

// appliedCommand is a valid command that sends or ends a request.
type appliedCommand struct{ *anyCommand }

func (h *history) add(event any) { h.records = append(h.records, record{h.now, event}) }

// modelWorker is an entry of the own endpoint list, with the revision of the list that last contained it.
type modelWorker struct {
	dispatch.Worker
	revision int64
}

// status returns the worker's status according to the own endpoint list.
func (m *modelWorker) status() message.WorkerStatus {
	status := message.WorkerStatus{WorkerID: m.ID, StartedMs: m.BootAt.Milliseconds(), Revision: m.revision}
	if !m.Ready {
		status.State = message.WorkerDraining
	}
	return status
}

// list returns the current endpoint list of the forwarder.
func (h *history) list() map[uint64]modelWorker { return h.listAfter(len(h.records)) }

// listAfter returns the forwarder's endpoint list after the first count records.
func (h *history) listAfter(count int) map[uint64]modelWorker {
	list := map[uint64]modelWorker{}
	for _, record := range h.records[:count] {
		update, ok := record.event.(dispatch.WorkerList)
		if !ok || update.Kind == dispatch.ListUnavailable {
			continue
		}
		if update.Kind != dispatch.ListDelta {
			clear(list)
		}
		for _, worker := range update.Workers {
			delete(list, worker.ID)
			if !worker.Removed {
				list[worker.ID] = modelWorker{worker, update.Revision}
			}
		}
	}
	return list
}

// newestStatus returns the newest status of a worker from any planner, or nil if there is none.
func (h *history) newestStatus(workerID uint64) (newest *message.WorkerStatus) {
	for i := range h.records {
		status, ok := h.records[i].event.(message.WorkerStatus)
		if ok && status.WorkerID == workerID && (newest == nil || status.Supersedes(*newest)) {
			newest = &status
		}
	}
	return newest
}

// modelRequest is the state of a request, derived from the history.
type modelRequest struct {
	job       dispatch.Job
	arrivedAt time.Duration
	closed    bool
	owner     message.Epoch
	assigned  bool
	attempts  []modelAttempt
	used      []int // numbers that the owner can't use for send commands any more
}

// modelAttempt is the state of an attempt, derived from the history.
type modelAttempt struct {
	worker     uint64
	cell, zone int
	number     int
	sentAt     time.Duration
	ended      bool
	result     dispatch.Result
}

func (m modelAttempt) possiblyExecuted() bool {
	return !m.ended ||
		m.result != dispatch.WorkerFull && m.result != dispatch.ConnectFailed && m.result != dispatch.NotSent
}

// request returns the state of a request, or nil if it has not arrived.
func (h *history) request(id uint64) (request *modelRequest) {
	for i, record := range h.records {
		if requestIDOf(record.event) != id {
			continue
		}
		switch event := record.event.(type) {
		case dispatch.Job:
			request = &modelRequest{job: event, arrivedAt: record.at}
		case dispatch.ClientDisconnected, dispatch.ResponseStarted:
			request.closed = true
		case dispatch.Outcome:
			request.end(event)
		case assignment:
			request.assign(event.owner)
		case usedNumber:
			request.used = append(request.used, event.number)
		case appliedCommand:
			request.apply(event.anyCommand, record.at, h.listAfter(i))
		}
	}
	return request
}

// requestIDOf returns the ID of the request that an event is about, or 0 if it is about none.
func requestIDOf(event any) uint64 {
	switch event := event.(type) {
	case dispatch.Job:
		return event.ID
	case dispatch.ClientDisconnected:
		return event.Job
	case dispatch.ResponseStarted:
		return event.Job
	case dispatch.Outcome:
		return event.Job
	case assignment:
		return event.request
	case usedNumber:
		return event.request
	case appliedCommand:
		return event.request
	}
	return 0
}

func (m *modelRequest) end(outcome dispatch.Outcome) {
	m.attempts[outcome.Attempt].ended = true
	m.attempts[outcome.Attempt].result = outcome.Result
	m.closed = m.closed || outcome.Closed
}

func (m *modelRequest) assign(owner message.Epoch) {
	m.owner = owner
	m.assigned = true
	m.used = nil
	for i := range m.attempts {
		m.attempts[i].number = i
		m.used = append(m.used, i)
	}
}

func (m *modelRequest) apply(command *anyCommand, at time.Duration, list map[uint64]modelWorker) {
	if command.kind != message.KindSendCommand {
		m.closed = true
		return
	}
	worker := list[command.worker]
	m.attempts = append(m.attempts, modelAttempt{
		worker: command.worker, cell: worker.Cell, zone: worker.Zone, number: command.attempt, sentAt: at,
	})
}
