package forwarder

// selectPlanner returns the planner to offer a request to, other than the excluded one (which may be nil), or nil if there is
// none now. The target of a transfer is preferred. A planner that is suspected, or that transferred the request last, is selected
// only as a last resort, and only if no planner is excluded.
func (p *placer) selectPlanner(request *openRequest, excluded *plannerSession) *plannerSession {
	if target := p.availableTarget(request); target != nil && target != excluded {
		return target
	}
	var fallback *plannerSession
	for _, session := range p.planners.byPreference() {
		switch {
		case session == excluded || !session.canBeOffered(request):
		case !session.isSuspected() && session != request.transferredBy:
			return session
		case fallback == nil && excluded == nil:
			fallback = session
		}
	}
	return fallback
}

// availableTarget returns the planner that a request was transferred to, or nil if the request can't be offered to it now.
func (p *placer) availableTarget(request *openRequest) *plannerSession {
	if request.transferTarget == "" {
		return nil
	}
	session := p.planners.find(request.transferTarget)
	if session == nil || session.isSuspected() || !session.canBeOffered(request) {
		return nil
	}
	return session
}
