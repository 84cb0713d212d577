// Package membership decides which targets exist and which of them get new
// work, from announcements that arrive late, twice, reordered or not at all.
package membership
