package http1

import "bytes"

// maxDecimalDigits ensures that every number fits into an int of 32 bits. Leading zeros do not count.
const maxDecimalDigits = 9

// isTokenChar is the set of the characters of a token: visible ASCII without the delimiters.
var isTokenChar = func() (table [256]bool) {
	for char := '!'; char <= '~'; char++ {
		table[char] = true
	}
	for _, delimiter := range `()<>@,;:\"/[]?={}` {
		table[delimiter] = false
	}
	return table
}()

// IsToken reports whether text is a token (RFC 9110, 5.6.2). Methods and field names are tokens.
func IsToken(text []byte) bool {
	for _, char := range text {
		if !isTokenChar[char] {
			return false
		}
	}
	return len(text) > 0
}

// equalFold reports whether text and word are equal, ignoring the case of ASCII letters. bytes.EqualFold also folds other
// characters, such as the Kelvin sign to k, which are not allowed in tokens (RFC 9110, 5.6.2).
func equalFold(text []byte, word string) bool {
	if len(text) != len(word) {
		return false
	}
	for i, char := range text {
		if lowerCase(char) != lowerCase(word[i]) {
			return false
		}
	}
	return true
}

func lowerCase(char byte) byte {
	if 'A' <= char && char <= 'Z' {
		return char + ('a' - 'A')
	}
	return char
}

// IsVisible reports whether text consists of visible ASCII characters only, so that it can be written to a request line or a
// field without encoding. It is true for an empty text.
func IsVisible(text []byte) bool {
	for _, char := range text {
		if char <= ' ' || char >= 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether text is valid as the value of a header field: it contains no control characters except tabs.
func isFieldValue(text []byte) bool {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

// ParseDecimal parses an unsigned integer of one to nine decimal digits after any number of leading zeros, without sign or
// whitespace.
func ParseDecimal(text []byte) (value int, ok bool) {
	if len(text) == 0 {
		return 0, false
	}
	text = trimLeadingZeros(text)
	if len(text) > maxDecimalDigits {
		return 0, false
	}
	for _, char := range text {
		if char < '0' || char > '9' {
			return 0, false
		}
		value = value*10 + int(char-'0')
	}
	return value, true
}

// trimLeadingZeros returns the digits of a number without the zeros before them, none for zero.
func trimLeadingZeros(digits []byte) []byte { return bytes.TrimLeft(digits, "0") }

// trimWhitespace removes leading and trailing spaces and tabs. Unlike bytes.Trim it does not return nil for an empty result:
// Get returns nil only for a missing field, which may be valid where an empty one is malformed.
func trimWhitespace(text []byte) []byte {
	for len(text) > 0 && isWhitespace(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isWhitespace(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	return text
}

func isWhitespace(char byte) bool { return char == ' ' || char == '\t' }
