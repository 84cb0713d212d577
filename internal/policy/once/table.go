package once

import (
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// Rows is fixed for the life of a mesh, since a key's row must be the same
	// at every node and epoch. With three holders a row, 768 processes of the
	// larger deployment share the records.
	Rows = 256
	// holdersPerRow lets one holder die without a key becoming unknown.
	holdersPerRow = 3
)

// RowOf returns the row of a key; it depends on nothing that nodes may see
// differently.
func RowOf(key string) int { return int(xxh3.HashString(key) % Rows) }

// Member is one process that may hold records; a restart makes another one.
type Member struct {
	instance string
	boot     uint64
	peer     netip.AddrPort
}

// NewMember returns the process of an instance and where nodes reach it.
func NewMember(instance string, boot uint64, peer netip.AddrPort) Member {
	return Member{instance, boot, peer}
}

// Instance returns the instance's name.
func (m Member) Instance() string { return m.instance }

// Boot returns the process's boot id.
func (m Member) Boot() uint64 { return m.boot }

// Peer returns the address for control calls.
func (m Member) Peer() netip.AddrPort { return m.peer }

// is reports whether both are one process.
func (m Member) is(o Member) bool { return m.instance == o.instance && m.boot == o.boot }

// replaces reports whether m proves that o has ended: it listens at o's
// address, which a paused process would still have, and is a later one.
func (m Member) replaces(o Member) bool {
	return m.instance == o.instance && m.peer == o.peer && o.boot < m.boot
}

// Row is who holds the records of a part of the keys in one epoch.
type Row struct {
	epoch             uint64
	holders, previous []Member
}

// NewRow returns a row as the store holds it.
func NewRow(epoch uint64, holders, previous []Member) Row { return Row{epoch, holders, previous} }

// Epoch returns the number of the row's list of holders; 0 is none.
func (r Row) Epoch() uint64 { return r.epoch }

// Holders returns the holders.
func (r Row) Holders() []Member { return r.holders }

// Previous returns the holders of the epoch before.
func (r Row) Previous() []Member { return r.previous }

// majority is the least number of n of which any two sets meet.
func majority(n int) int { return n/2 + 1 }

// Place returns the row with its dead holders replaced and missing ones added
// from the living, and whether that changes it. The living come in the order
// of preference. Holders that live stay: each change costs a hand-over.
func Place(r Row, living []Member) (Row, bool) {
	var keep []Member
	for _, h := range r.holders {
		if slices.ContainsFunc(living, h.is) {
			keep = append(keep, h)
		}
	}
	kept := len(keep)
	free := slices.DeleteFunc(slices.Clone(living), func(m Member) bool { return slices.ContainsFunc(keep, m.is) })
	keep = append(keep, free[:min(len(free), holdersPerRow-kept)]...)
	if len(keep) == 0 || kept == len(r.holders) && len(keep) == kept {
		return r, false
	}
	return Row{epoch: r.epoch + 1, holders: keep, previous: r.holders}, true
}

// Move returns the row with one holder changed for a more preferred one, and
// whether there is one to change. One at a time, a majority that has the
// records stays.
func Move(r Row, preferred []Member) (Row, bool) {
	best := preferred[:min(len(preferred), holdersPerRow)]
	in := slices.IndexFunc(best, func(m Member) bool { return !slices.ContainsFunc(r.holders, m.is) })
	out := slices.IndexFunc(r.holders, func(m Member) bool { return !slices.ContainsFunc(best, m.is) })
	if in < 0 || out < 0 {
		return r, false
	}
	holders := slices.Clone(r.holders)
	holders[out] = best[in]
	return Row{epoch: r.epoch + 1, holders: holders, previous: r.holders}, true
}

// Answerable reports whether a majority of the row's holders can be asked for
// their records, or proved to have ended by the process that took their place.
// Without it an epoch that follows could not be served, and a row whose holders
// are only cut off would be lost to them as well.
func Answerable(r Row, living []Member) bool {
	n := 0
	for _, h := range r.holders {
		if slices.ContainsFunc(living, func(m Member) bool { return m.is(h) || m.replaces(h) }) {
			n++
		}
	}
	return r.epoch == 0 || n >= majority(len(r.holders))
}
