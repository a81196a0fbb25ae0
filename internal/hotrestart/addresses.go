package hotrestart

import (
	"net/netip"
	"path/filepath"
	"strings"
)

const (
	socketFileName     = "successor.sock"
	abstractNamePrefix = "@valvecove/"
)

// SocketAddresses returns the possible addresses of the Unix socket on which the process that serves clients at listen accepts
// its successor, the preferred one first: a file in the state directory, unless stateDir is empty, and an abstract name. An
// abstract name needs no directory, is removed with its socket, and is visible to all processes of the network namespace.
func SocketAddresses(stateDir string, listen netip.AddrPort) []string {
	abstract := abstractNamePrefix + listen.String()
	if stateDir == "" {
		return []string{abstract}
	}
	return []string{filepath.Join(stateDir, socketFileName), abstract}
}

// IsAbstract reports whether an address of a Unix socket is an abstract name, not a file.
func IsAbstract(address string) bool { return strings.HasPrefix(address, "@") }
