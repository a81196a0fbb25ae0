package dispatch

// Whether slots are leased at all, by what the messages for it cost. The paper and the design have no
// sentence on this: the cost of messages is a figure of the platform.
const (
	defaultPeerBudget = 0.02 // share of the result that messages may cost
	leaseBytesPerJob  = 160  // bytes: a request, its answers, a start, an end, and a part of the reports
	peerCostBytes     = 256  // bytes per job that Settings.PeerCost is the price of
)

// UsesLeases reports whether slots are leased. They are not if there is only one dispatcher, if messages
// are not allowed or exceed their budget, or if workers send no start notifications: a coordinator measures
// by these how many jobs a worker has capacity for.
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
