package address

import (
	"encoding/binary"
	"net/netip"
)

// The fixed part of a version 2 header: the signature, the version with the command, the family, and the length of what
// follows.
const (
	binarySignature = "\r\n\r\n\x00\r\nQUIT\n"
	commandOffset   = 12
	familyOffset    = 13
	lengthOffset    = 14
	fixedBytes      = 16
	// maxBinaryBytes is how many bytes may follow the fixed part.
	maxBinaryBytes = 4096
)

// Commands, with the version.
const (
	commandLocal = 0x20 // the proxy's own connection
	commandProxy = 0x21
)

// Families, with the transport.
const (
	familyUnspecified = 0x00
	familyTCP4        = 0x11
	familyTCP6        = 0x21
)

const (
	ipv4Bytes = 4
	ipv6Bytes = 16
	portBytes = 2
)

// parseBinary reads version 2. data begins with its signature. What follows the addresses is skipped.
func parseBinary(data []byte) (client netip.AddrPort, size int, err error) {
	if len(data) > commandOffset && data[commandOffset] != commandLocal && data[commandOffset] != commandProxy {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	if len(data) < fixedBytes {
		return netip.AddrPort{}, 0, ErrIncomplete
	}
	namesClient := data[commandOffset] == commandProxy && data[familyOffset] != familyUnspecified
	addressBytes := addressBytesOf(data[familyOffset])
	length := int(binary.BigEndian.Uint16(data[lengthOffset:]))
	if length > maxBinaryBytes || namesClient && (addressBytes == 0 || length < 2*addressBytes+2*portBytes) {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	size = fixedBytes + length
	if len(data) < size {
		return netip.AddrPort{}, 0, ErrIncomplete
	}
	if namesClient {
		client = sourceAddress(data[fixedBytes:size], addressBytes)
	}
	return client, size, nil
}

// addressBytesOf returns the length of a family's addresses; 0 if the family is not supported.
func addressBytesOf(family byte) int {
	switch family {
	case familyTCP4:
		return ipv4Bytes
	case familyTCP6:
		return ipv6Bytes
	}
	return 0
}

// sourceAddress reads the source from a block of source address, destination address, source port and destination port.
func sourceAddress(block []byte, addressBytes int) netip.AddrPort {
	address, _ := netip.AddrFromSlice(block[:addressBytes])
	port := binary.BigEndian.Uint16(block[2*addressBytes:])
	return netip.AddrPortFrom(address.Unmap(), port)
}
