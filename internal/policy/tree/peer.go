package tree

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

// peerTries is how many members of another failure domain are tried: its two
// readers and the two that follow them.
const peerTries = 4

// Region returns the region of a failure domain: the part of its name before
// the first slash, or "" where names have none.
func Region(domain string) string {
	region, _, ok := strings.Cut(domain, "/")
	if !ok {
		return ""
	}
	return region
}

// neighbours returns the failure domains that a domain pulls from. In its own
// region these are the ones 1, 2, 4, … further on in the ring of hashes, and
// likewise one domain in each of the regions 1, 2, 4, … further on: few hops
// and several ways from each domain to each other, with pulls that grow by the
// logarithm of their number and not by all pairs.
func neighbours(domain string, domains []string) []string {
	home := Region(domain)
	var regions []string
	byRegion := map[string][]string{}
	for _, d := range domains {
		r := Region(d)
		if byRegion[r] == nil {
			regions = append(regions, r)
		}
		byRegion[r] = append(byRegion[r], d)
	}

	out := chords(domain, byRegion[home])
	for _, r := range chords(home, regions) {
		out = append(out, heaviest(domain, byRegion[r]))
	}
	return out
}

// chords returns the names 1, 2, 4, … further on than name in the ring of their
// hashes.
func chords(name string, names []string) []string {
	ring := slices.Clone(names)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, name)
	var out []string
	for step := 1; step < len(ring); step *= 2 {
		out = append(out, ring[(at+step)%len(ring)])
	}
	return out
}

// heaviest returns the name with the largest rendezvous weight for a key.
func heaviest(key string, names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, a), weight(key, b)), cmp.Compare(a, b))
	})
}

func weight(key, name string) uint64 { return xxh3.HashStringSeed(key, xxh3.HashString(name)) }

// peers returns what a reader pulls from: the readers of a domain share the
// neighbours, and the root also pulls from the second reader, which would
// otherwise keep to itself what it learnt outside.
func peers(self, domain string, rank int, nodes []node, records []membership.Record) []Peer {
	byDomain := map[string][]membership.Record{domain: nil}
	for _, r := range records {
		byDomain[r.Domain()] = append(byDomain[r.Domain()], r)
	}
	var domains []string
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	readers := min(Readers, len(nodes))
	var out []Peer
	for i, d := range neighbours(domain, domains) {
		if i%readers == rank {
			if members := tries(self, ranked("", d, byDomain[d])); len(members) > 0 {
				out = append(out, Peer{domain: d, members: members})
			}
		}
	}
	if rank == 0 && len(nodes) > 1 {
		out = append(out, Peer{domain: domain, members: []membership.Record{nodes[1].record}})
	}
	return out
}

// tries returns the members of another domain to pull from: its readers first,
// in an order of their own for each puller, so that both are used.
func tries(self string, nodes []node) []membership.Record {
	nodes = nodes[:min(peerTries, len(nodes))]
	readers := min(Readers, len(nodes))
	return append(byWeight(self, nodes[:readers]), byWeight(self, nodes[readers:])...)
}
