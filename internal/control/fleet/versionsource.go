package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/tree"
)

const (
	// maxTransferTime bounds the time that the transfer of a version is expected to take.
	maxTransferTime = time.Second
	// largeTransfer is the time of a transfer from the parent from which a source that
	// delivers sooner is looked for. On a link of 10 Mbit/s it is that of 16 KB.
	largeTransfer = 100 * time.Millisecond
)

// versionSource is a node that a version can be fetched from and the time that this takes.
type versionSource struct {
	peer     netip.AddrPort
	transfer time.Duration
}

// versionSources returns the nodes to fetch a version of some bytes from, in order: the
// parent that announced it, then the others. A large version is first fetched from where it
// comes soonest.
func (f *Fleet) versionSources(position tree.Position, from membership.Record, bytes uint32) []versionSource {
	transfer := f.transferTime(bytes, from)
	sources := sourcesOf(append([]membership.Record{from}, position.Parents()...), transfer)
	if transfer < largeTransfer {
		return sources
	}
	soonest, ok := f.soonestSource()
	if !ok {
		return sources
	}
	peer := soonest.Record().ControlAddress()
	sources = slices.DeleteFunc(sources, func(s versionSource) bool { return s.peer == peer })
	return slices.Insert(sources, 0, versionSource{peer, min(maxTransferTime, soonest.Time(int(bytes)))})
}

// sourcesOf returns the sources of a version, each node once.
func sourcesOf(records []membership.Record, transfer time.Duration) []versionSource {
	var out []versionSource
	for _, r := range records {
		if s := (versionSource{r.ControlAddress(), transfer}); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// cachedSource caches the source of large versions, which depends on the members of the
// node's failure domain only.
type cachedSource struct {
	mu     sync.Mutex
	change uint64 // of the domain, that the source was computed from
	source tree.Source
	ok     bool
}

// soonestSource returns the parent from which a large version comes soonest.
func (f *Fleet) soonestSource() (tree.Source, bool) {
	self, _ := f.ownRecord()
	c := &f.cachedSource
	c.mu.Lock()
	defer c.mu.Unlock()
	if records, change := f.view.domainRecords(self.Domain(), c.change); change != c.change {
		c.change = change
		c.source, c.ok = tree.SourceOf(self.Instance(), self.Domain(), records)
	}
	return c.source, c.ok
}

// transferTime returns how long a version of some bytes takes from a parent that sends it to
// all its children, on the narrower of the two links.
func (f *Fleet) transferTime(bytes uint32, from membership.Record) time.Duration {
	self, _ := f.ownRecord()
	link := from.LinkMbps()
	if own := self.LinkMbps(); own > 0 && (link == 0 || own < link) {
		link = own
	}
	if link == 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(bytes) * bitsPerByte * tree.Fanout / (float64(link) * bitsPerMbit)
	return min(maxTransferTime, time.Duration(seconds*float64(time.Second)))
}
