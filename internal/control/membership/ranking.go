package membership

import (
	"cmp"
	"slices"
)

// plannerRank is the preference class of a planner for this forwarder; lower is better.
type plannerRank uint8

const (
	rankHome       plannerRank = iota
	rankResponsive             // open session, not slow
	rankOther
)

// rankPlanners sorts the planners that are present by rank. Within a rank the order depends on the hash of each planner's name
// combined with this forwarder's.
func (f *ForwarderMembership) rankPlanners() {
	present := slices.DeleteFunc(slices.Clone(f.planners), func(planner *memberRecord) bool {
		return planner.state.isAbsent()
	})
	selfHash := hashName(f.self.Name)
	slices.SortFunc(present, func(a, b *memberRecord) int {
		return cmp.Or(
			cmp.Compare(f.rank(a), f.rank(b)),
			cmp.Compare(mixBits(selfHash^b.hash), mixBits(selfHash^a.hash)),
		)
	})
	f.ranking = f.ranking[:0]
	for _, planner := range present {
		f.ranking = append(f.ranking, planner.Name)
	}
}

// rank returns the rank of a planner.
func (f *ForwarderMembership) rank(planner *memberRecord) plannerRank {
	switch {
	case planner.Name == f.homePlanner:
		return rankHome
	case planner.session == sessionOpen && !planner.isSlow():
		return rankResponsive
	}
	return rankOther
}
