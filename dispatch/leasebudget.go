package dispatch

// Slots are leased only if the messages for it stay within a budget. The paper and the design do not cover
// this: what messages cost depends on the platform.
const (
	defaultPeerBudget = 0.02 // fraction of the total utility that messages may cost
	leaseBytesPerJob  = 160  // bytes: a request, its answers, a start, an end, and a part of the reports
	peerCostBytes     = 256  // bytes of messages per job that cost Settings.PeerCost
)

// UsesLeases reports whether slots are leased. They are not if there is only one dispatcher, if messages
// are not allowed or exceed their budget, or if workers send no start notifications: from these a
// coordinator learns how many jobs a worker has capacity for.
func (s *Settings) UsesLeases() bool {
	if !s.PeerMessages || !s.StartNotifications {
		return false
	}
	return s.Replicas > 1 && s.BudgetSpent(leaseBytesPerJob) <= 1
}

// BudgetSpent returns the share of the message budget that is spent if messages take bytesPerJob bytes for
// each job. Above 1 the budget is exceeded.
func (s *Settings) BudgetSpent(bytesPerJob float64) float64 {
	budget := s.PeerBudget
	if budget == 0 {
		budget = defaultPeerBudget
	}
	return s.PeerCost * bytesPerJob / peerCostBytes / budget
}

// PeerSettings returns Settings.PeerMessages and Settings.PeerBudget.
func (d *Dispatcher) PeerSettings() (allowed bool, budget float64) {
	return d.settings.PeerMessages, d.settings.PeerBudget
}
