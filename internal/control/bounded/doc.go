// Package bounded bounds the bodies that nodes send to each other. Whatever process has an
// address may send bytes without end, and both sides read a whole body before they decode it.
package bounded
