package http1

import "strings"

// isToken reports whether text is a token of RFC 9110, as methods and field names are.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenChar(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenChar(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
}
