package membership

// Role is the role of a member in the cluster.
type Role uint8

// Roles.
const (
	RoleForwarder Role = iota // follows a planner
	RolePlanner               // owns a partition of the workers
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

// Member is the information about a process that it announces by gossip.
type Member struct {
	Name        string // at most 255 bytes
	Role        Role
	Addr        string // planners: address that accepts sessions
	Incarnation uint64 // start time of the process, Unix time in ns; replaces earlier incarnations of the same name
	Home        string // forwarders: planner that it follows; empty if none
	Load        int    // forwarders: load relative to other forwarders, at most 1024; 0 counts as 1
	Workers     int    // planners: number of known workers, rounded up to a power of two; 0 if unknown
}
