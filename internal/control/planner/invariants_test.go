package planner

import (
	"fmt"
	"math"
)

// checkInvariants compares a planner's counters and indexes with the objects that they refer to.
func checkInvariants(p *Planner) error {
	for _, check := range []func(p *Planner) error{
		checkRequests, checkRequestTable, checkForwarders, checkCredits, checkSessions, checkWorkers, checkLocations, checkContract,
	} {
		if err := check(p); err != nil {
			return err
		}
	}
	return nil
}

func checkRequests(p *Planner) error {
	for id, req := range p.requests.byID {
		inFlight := 0
		for i := range req.attempts {
			if req.attempts[i].inFlight() {
				inFlight++
			}
		}
		f := req.forwarder
		switch {
		case req.id != id || req.inFlight != inFlight:
			return fmt.Errorf("request %d: %d attempts in flight, counted %d", id, inFlight, req.inFlight)
		case req.state != expectedState(req):
			return fmt.Errorf("request %d is %v with %d attempts in flight", id, req.state, inFlight)
		case req.state.isOpen() && (f == nil || f.session == nil || f.requests[req.forwarderID] != req || req.epoch != f.epoch):
			return fmt.Errorf("request %d is open without a session", id)
		}
	}
	return nil
}

// expectedState returns the state that a request must have between steps, according to its attempts.
func expectedState(req *request) requestState {
	switch {
	case req.state.isOpen() && req.inFlight == 0:
		return requestQueued
	case req.state.isOpen():
		return requestInFlight
	case req.inFlight > 0:
		return requestClosing
	}
	return requestRemoved // such a request must not be in the table
}

func checkRequestTable(p *Planner) error {
	open, queued, closing, slots := 0, 0, 0, 0.0
	for _, req := range p.requests.byID {
		slots += float64(req.inFlight) * req.slots
		switch req.state {
		case requestQueued:
			queued++
			open++
		case requestInFlight:
			open++
		case requestClosing:
			closing++
		}
	}
	listed := 0
	for range p.requests.queued.all() {
		listed++
	}
	table := &p.requests
	if open != table.openCount || queued != listed || queued != table.queued.length || closing != table.expiries.Len() ||
		math.Abs(slots-table.slotsInUse) > 1e-6 {
		return fmt.Errorf("%d open, counted %d; %d queued, %d in the queue, counted %d; %d closing, %d with an expiry; %v slots, counted %v",
			open, table.openCount, queued, listed, table.queued.length, closing, table.expiries.Len(), slots, table.slotsInUse)
	}
	return nil
}

func checkForwarders(p *Planner) error {
	open := map[*forwarder]int{}
	for _, req := range p.requests.byID {
		if req.state.isOpen() {
			open[req.forwarder]++
		}
	}
	for _, f := range p.forwarders.byName {
		listed := 0
		for range f.offered.all() {
			listed++
		}
		if listed != len(f.requests) || listed != f.offered.length || open[f] != f.openCount ||
			f.session == nil && (f.openCount > 0 || f.credit.limit > 0) {
			return fmt.Errorf("forwarder %s: %d requests, %d in its list, %d open, counted %d", f.name, len(f.requests), listed,
				open[f], f.openCount)
		}
	}
	return nil
}

func checkCredits(p *Planner) error {
	sum := 0
	for _, f := range p.forwarders.byName {
		sum += f.credit.limit
	}
	if sum > p.config.MaxOpenRequests {
		return fmt.Errorf("sum of credits is %d, maximum %d", sum, p.config.MaxOpenRequests)
	}
	return nil
}

func checkSessions(p *Planner) error {
	established := 0
	for id, session := range p.forwarders.sessions {
		f := session.forwarder
		switch {
		case session.id != id:
			return fmt.Errorf("session %d is stored under ID %d", session.id, id)
		case f == nil && session.state != sessionAwaitingHandshake:
			return fmt.Errorf("session %d is %v without a forwarder", id, session.state)
		case f != nil && (session.state != sessionEstablished || f.session != session || p.forwarders.byName[f.name] != f):
			return fmt.Errorf("session %d is %v, of forwarder %s", id, session.state, f.name)
		case f != nil:
			established++
		}
	}
	if established != len(p.forwarders.connected) {
		return fmt.Errorf("%d sessions established, %d forwarders connected", established, len(p.forwarders.connected))
	}
	return nil
}

func checkWorkers(p *Planner) error {
	references := map[*worker]int{}
	for _, req := range p.requests.byID {
		for i := range req.attempts {
			references[req.attempts[i].worker]++
		}
	}
	for worker := range references {
		if p.workers.byID[worker.ID] != worker {
			return fmt.Errorf("worker %d was removed with %d attempts", worker.ID, references[worker])
		}
	}
	for i, worker := range p.workers.list {
		if worker.index != i || p.workers.byID[worker.ID] != worker || worker.references != references[worker] {
			return fmt.Errorf("worker %d: index %d at %d, %d attempts, counted %d", worker.ID, worker.index, i, references[worker],
				worker.references)
		}
	}
	if len(p.workers.list) != len(p.workers.byID) {
		return fmt.Errorf("%d workers by ID, %d in the list", len(p.workers.byID), len(p.workers.list))
	}
	return nil
}

func checkLocations(p *Planner) error {
	up, located := 0, 0
	for _, worker := range p.workers.list {
		if worker.isUp() {
			up++
		}
	}
	for _, at := range p.locations.locations {
		if at.available < 0 {
			return fmt.Errorf("location %v has %d workers", at.locationKey, at.available)
		}
		located += at.available
	}
	if up != located {
		return fmt.Errorf("%d workers up, %d at locations", up, located)
	}
	return nil
}

func checkContract(p *Planner) error {
	if policy, ok := p.policy.policy.(*contractPolicy); ok && len(policy.violations) > 0 {
		return fmt.Errorf("policy contract violated: %s", policy.violations[0])
	}
	return nil
}
