package address

import (
	"bytes"
	"net/netip"
	"strconv"
	"strings"
)

const (
	textSignature = "PROXY "
	// maxTextHeaderBytes is the maximum length of a version 1 header, including its line ending.
	maxTextHeaderBytes = 107
	// textFieldCount is the number of fields after the signature: the family, two addresses and two ports.
	textFieldCount = 5
)

// parseText parses a header of version 1, which is one line. data begins with its signature.
func parseText(data []byte) (client netip.AddrPort, size int, err error) {
	line, err := textLine(data)
	if err != nil {
		return netip.AddrPort{}, 0, err
	}
	size = len(textSignature) + len(line) + len("\r\n")
	fields := strings.Split(line, " ")
	if fields[0] == "UNKNOWN" {
		return netip.AddrPort{}, size, nil
	}
	if len(fields) != textFieldCount || fields[0] != "TCP4" && fields[0] != "TCP6" {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	isIPv4 := fields[0] == "TCP4"
	source, sourceIsValid := parseTextAddress(fields[1], fields[3], isIPv4)
	_, destinationIsValid := parseTextAddress(fields[2], fields[4], isIPv4)
	if !sourceIsValid || !destinationIsValid {
		return netip.AddrPort{}, 0, ErrMalformed
	}
	return netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), size, nil
}

// textLine returns the first line without the signature and the line ending.
func textLine(data []byte) (string, error) {
	end := bytes.IndexByte(data[:min(len(data), maxTextHeaderBytes)], '\n')
	switch {
	case end < 0 && len(data) < maxTextHeaderBytes:
		return "", ErrIncomplete
	case end < 0 || data[end-1] != '\r':
		return "", ErrMalformed
	}
	return string(data[len(textSignature) : end-1]), nil
}

// parseTextAddress parses an address of the given family without a zone, and a decimal port without sign or leading zeros.
func parseTextAddress(addressText, portText string, isIPv4 bool) (address netip.AddrPort, ok bool) {
	addr, err := netip.ParseAddr(addressText)
	if err != nil || addr.Is4() != isIPv4 || addr.Zone() != "" {
		return netip.AddrPort{}, false
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || portText != strconv.FormatUint(number, 10) {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(addr, uint16(number)), true
}
