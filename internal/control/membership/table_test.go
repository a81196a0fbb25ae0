package membership

import (
	"fmt"
	"slices"
	"testing"
)

// A later incarnation replaces an earlier one of the same name. Reports about an earlier incarnation, and announcements of an
// incarnation that has left, are ignored.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	f := NewForwarderMembership(Member{Name: "f"}, Config{})
	planner := func(incarnation uint64, addr string) MemberJoined {
		return MemberJoined{Member{Name: "p", Role: RolePlanner, Incarnation: incarnation, Addr: addr}}
	}
	f.Step(1, []Event{planner(5, "")}, nil)
	f.Step(2, []Event{MemberDied{"p", 4}, MemberLeft{"p", 4}, planner(4, "old")}, nil)
	if record := f.find("p"); record.gossip != gossipAlive || record.Incarnation != 5 || record.Addr != "" {
		t.Errorf("%+v", record)
	}
	f.Step(3, []Event{MemberLeft{"p", 5}, planner(5, "")}, nil)
	if record := f.find("p"); record.gossip != gossipLeft {
		t.Errorf("gossip state after leaving is %v", record.gossip)
	}
	f.Step(4, []Event{planner(6, "")}, nil)
	if record := f.find("p"); record.gossip != gossipAlive || record.state != memberAlive {
		t.Errorf("the next incarnation is %v, gossip state %v", record.state, record.gossip)
	}
}

// The table limits the number of members per role, keeps them sorted by name, and counts those that it does not add.
func TestMemberTableIsBounded(t *testing.T) {
	f := NewForwarderMembership(Member{Name: "f"}, Config{})
	for i := range 2 * maxPlanners {
		f.Step(4, []Event{MemberJoined{Member{Name: fmt.Sprint("p", i), Role: RolePlanner, Incarnation: 1}}}, nil)
	}
	if len(f.members) != maxPlanners || f.OverflowCount() != maxPlanners {
		t.Errorf("%d members, overflow count %d", len(f.members), f.OverflowCount())
	}
	if !slices.IsSortedFunc(f.members, func(a, b *memberRecord) int { return compareName(a, b.Name) }) {
		t.Error("members are not sorted")
	}
	joined := []Event{
		MemberJoined{Member{Name: "f", Incarnation: 2}},
		MemberJoined{Member{Name: "", Incarnation: 1}},
		MemberJoined{Member{Name: fmt.Sprintf("%0*d", maxNameLength+1, 0), Incarnation: 1}},
	}
	f.Step(5, joined, nil)
	if len(f.members) != maxPlanners {
		t.Error("the process's own name, an empty name or a name that is too long was added")
	}
}
