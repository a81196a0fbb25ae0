package http1

// maxDecimalDigits keeps every number within an int of 32 bits.
const maxDecimalDigits = 9

// isTokenChar has the characters of a token: visible ASCII without the delimiters.
var isTokenChar = func() (table [256]bool) {
	for char := '!'; char <= '~'; char++ {
		table[char] = true
	}
	for _, delimiter := range `()<>@,;:\"/[]?={}` {
		table[delimiter] = false
	}
	return table
}()

// IsToken reports whether text is a token (RFC 9110, 5.6.2), as a method and a field name are.
func IsToken(text []byte) bool {
	for _, char := range text {
		if !isTokenChar[char] {
			return false
		}
	}
	return len(text) > 0
}

// equalFold reports whether text is the word, whatever the case of ASCII letters. Unlike bytes.EqualFold it does not fold other
// characters: a Kelvin sign is no k (RFC 9110, 5.6.2: tokens are ASCII).
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

// IsVisible reports whether text has nothing but visible ASCII characters, so that it can stand in a request line or a field
// as it is. The empty text has none that is not.
func IsVisible(text []byte) bool {
	for _, char := range text {
		if char <= ' ' || char >= 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether text may be the value of a header field: it has no control characters but tabs.
func isFieldValue(text []byte) bool {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

// ParseDecimal reads a whole number of one to nine decimal digits, and nothing else.
func ParseDecimal(text []byte) (value int, ok bool) {
	if len(text) == 0 || len(text) > maxDecimalDigits {
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

// trimBlanks cuts spaces and tabs off both ends. Unlike bytes.Trim it never returns nil for a value that is there but empty:
// an empty value is malformed where a missing one may be right.
func trimBlanks(text []byte) []byte {
	for len(text) > 0 && isBlank(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isBlank(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	return text
}

func isBlank(char byte) bool { return char == ' ' || char == '\t' }
