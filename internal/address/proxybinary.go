package address

import (
	"encoding/binary"
	"net/netip"
)

// The fixed part of a version 2 header: the signature, the version and command, the address family and transport, and the
// length of the variable part.
const (
	binarySignature  = "\r\n\r\n\x00\r\nQUIT\n"
	commandOffset    = 12
	familyOffset     = 13
	lengthOffset     = 14
	fixedHeaderBytes = 16
	// maxBinaryVariableBytes is the maximum length of the variable part, which contains the addresses and extensions.
	maxBinaryVariableBytes = 4096
)

// Values of the byte with the version and the command.
const (
	commandLocal = 0x20 // the connection is the proxy's own, such as a health check
	commandProxy = 0x21
)

// Values of the byte with the address family and the transport.
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

// parseBinary parses a header of version 2. data begins with its signature. Extensions after the addresses are skipped.
func parseBinary(data []byte) (client netip.AddrPort, size int, err error) {
	if len(data) > commandOffset && data[commandOffset] != commandLocal && data[commandOffset] != commandProxy {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	if len(data) < fixedHeaderBytes {
		return netip.AddrPort{}, 0, ErrIncomplete
	}
	hasClient := data[commandOffset] == commandProxy && data[familyOffset] != familyUnspecified
	addressBytes := addressLength(data[familyOffset])
	length := int(binary.BigEndian.Uint16(data[lengthOffset:]))
	if length > maxBinaryVariableBytes || hasClient && (addressBytes == 0 || length < 2*addressBytes+2*portBytes) {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	size = fixedHeaderBytes + length
	if len(data) < size {
		return netip.AddrPort{}, 0, ErrIncomplete
	}
	if hasClient {
		client = sourceAddress(data[fixedHeaderBytes:size], addressBytes)
	}
	return client, size, nil
}

// addressLength returns the length in bytes of an address of a family, or 0 if the family is not supported.
func addressLength(family byte) int {
	switch family {
	case familyTCP4:
		return ipv4Bytes
	case familyTCP6:
		return ipv6Bytes
	}
	return 0
}

// sourceAddress parses the source from the variable part: source address, destination address, source port, destination port.
func sourceAddress(block []byte, addressBytes int) netip.AddrPort {
	address, _ := netip.AddrFromSlice(block[:addressBytes])
	port := binary.BigEndian.Uint16(block[2*addressBytes:])
	return netip.AddrPortFrom(address.Unmap(), port)
}
