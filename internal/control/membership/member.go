package membership

// Role is what a member does.
type Role uint8

// Roles.
const (
	RoleForwarder Role = iota // it follows a planner
	RolePlanner               // it owns a partition of the workers
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleForwarder:
		return "forwarder"
	case RolePlanner:
		return "planner"
	}
	return "unknown"
}

// Member is what a process announces of itself to the others.
type Member struct {
	Name        string // at most 255 bytes
	Role        Role
	Addr        string // of a planner: where it accepts sessions
	Incarnation uint64 // start of its process, Unix time in ns: of two with one name the later one counts
	Home        string // of a forwarder: the planner that it follows; empty: none
	Load        int    // of a forwarder: its load relative to others', at most 1024; 0 counts as 1
	Workers     int    // of a planner: workers that it knows, rounded up to a power of two; 0: it does not know
}
