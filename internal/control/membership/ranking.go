package membership

import (
	"cmp"
	"slices"
)

// plannerRank is how good a planner is for this forwarder; a lower one is better.
type plannerRank uint8

const (
	rankHome plannerRank = iota
	rankResponsive
	rankOther
)

// rankPlanners sorts the planners that are present by rank, and those of one rank by the hashes of their names with that of
// this forwarder.
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
