package management

// Connections that are served at once. Each takes a file descriptor.
const (
	MaxOperatorConnections = 16
	MaxStatusConnections   = 8
)
