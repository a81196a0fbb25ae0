package config

// Gossip has schedulers tell each other of leases of slots, where the platform's settings allow it.
type Gossip struct {
	Budget float64 // the share of the result that messages may cost
}

const defaultGossipBudget = 0.02

func decodeGossip(section *table) Gossip {
	return Gossip{Budget: section.number("budget", defaultGossipBudget, 0, 1)}
}

// ApplyTo sets what the operators' file decides about the settings: without [gossip], schedulers tell each other nothing.
func (o Ops) ApplyTo(settings *Settings) {
	if o.Gossip == nil {
		settings.PeerMessages = false
		return
	}
	settings.PeerBudget = o.Gossip.Budget
	if o.Gossip.Budget == 0 { // which stands for the default in the dispatcher's settings
		settings.PeerMessages = settings.PeerMessages && settings.PeerCost == 0
	}
}
