package fleet

import (
	"sync/atomic"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/version"
)

// offeredVersion is the version that the node offers to others before it is active.
//
// Decoding takes a small share of a core longer than the transfer, so each level of the tree
// would add that time. Each node still decodes the whole version itself: one that refuses it
// withdraws it, and its children refuse it too.
type offeredVersion struct {
	current atomic.Pointer[offer]
	// refused is the hash of the last version that this node refused. Its parent may run a
	// newer program and offer it again.
	refused atomic.Uint64
}

// offer is a version in the compressed form in which it came.
type offer struct {
	version    uint64
	compressed []byte
}

// newest returns the newest version that the node announces, and its compressed form.
func (f *Fleet) newest() (uint64, func() []byte) {
	// In this order: an offer is withdrawn only after its version has become active.
	o, active := f.offered.current.Load(), f.config.Load()
	if o != nil && o.version > active.snap.Version() {
		return o.version, func() []byte { return o.compressed }
	}
	return active.snap.Version(), active.compressed
}

// applyCompressed passes on a version from another node, then activates it. The number is
// what that node says; the decoded version counts for this node.
func (f *Fleet) applyCompressed(announced uint64, compressed []byte, from string) {
	hash := xxh3.Hash(compressed)
	if hash == f.offered.refused.Load() {
		return // its source may run a newer program and offer it again and again
	}
	o := f.offer(announced, compressed, hash, from)
	b, err := decompress(compressed)
	decided := true
	if err != nil {
		f.log.Emit(event.VersionRefused, event.F("error", err), event.F("from", from))
	} else {
		number := announced
		if number < f.Current().Version() {
			// A number that is too low must not hide a newer version.
			number = version.Unknown
		}
		decided = f.activate(number, b, func() []byte { return compressed }, from)
	}
	if decided && f.Current().Version() < announced {
		f.offered.refused.Store(hash)
	}
	if o != nil {
		f.offered.current.CompareAndSwap(o, nil)
	}
}

// offer announces a version to other nodes, unless the node has a newer one or has refused
// this one. It returns nil if nothing was announced.
func (f *Fleet) offer(version uint64, compressed []byte, hash uint64, from string) *offer {
	o := &offer{version, compressed}
	for {
		before := f.offered.current.Load()
		if version <= f.Current().Version() || hash == f.offered.refused.Load() || before != nil && before.version >= version {
			return nil
		}
		if f.offered.current.CompareAndSwap(before, o) {
			break
		}
	}
	f.log.Emit(event.VersionOffered, event.F("version", version), event.F("from", from), event.F("bytes", len(compressed)))
	f.signalAnnounced()
	return o
}

// nextAnnounced returns a channel that is closed when the next version is offered or becomes
// active.
func (f *Fleet) nextAnnounced() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced
}

func (f *Fleet) signalAnnounced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.announced)
	f.announced = make(chan struct{})
}
