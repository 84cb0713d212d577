package message

// IsTokenByte reports whether c may occur in the name of a field.
func IsTokenByte(c byte) bool { return tokenBytes[c] }

// IsFieldByte reports whether c may occur in the value of a field.
func IsFieldByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

var tokenBytes = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		t[c] = true
	}
	return t
}()

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int64 {
	switch {
	case isDigit(c):
		return int64(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10
	default:
		return -1
	}
}
