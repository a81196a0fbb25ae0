package config

// Gossip configures the messages between schedulers about leases, if the platform's settings allow them.
type Gossip struct {
	Budget float64 // maximum cost of the messages, as a fraction of the total utility
}

// defaultGossipBudget is the default of Gossip.Budget.
const defaultGossipBudget = 0.02

// decodeGossip decodes the section gossip.
func decodeGossip(section *table) Gossip {
	return Gossip{Budget: section.number("budget", defaultGossipBudget, 0, 1)}
}

// ApplyTo changes the dispatcher's settings that depend on the operators' file. It disables messages between schedulers if the
// file has no section gossip.
func (o Ops) ApplyTo(settings *Settings) {
	if o.Gossip == nil {
		settings.PeerMessages = false
		return
	}
	settings.PeerBudget = o.Gossip.Budget
	if o.Gossip.Budget == 0 { // in the dispatcher's settings, 0 means the default
		settings.PeerMessages = settings.PeerMessages && settings.PeerCost == 0
	}
}
