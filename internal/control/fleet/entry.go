package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// nodesPrefix is the prefix of all store keys that nodes write.
	nodesPrefix = "fleet/"
	// membersPrefix is the store key prefix of the nodes' entries.
	membersPrefix = nodesPrefix + "members/"
)

// domainPrefix returns the store key prefix of the entries of a failure domain.
func domainPrefix(domain string) string { return membersPrefix + domain + "/" }

// entryKey returns the store key of an instance's entry.
func entryKey(domain, instance string) string { return domainPrefix(domain) + instance }

// instanceOf returns the instance whose entry has a store key, and false for other keys.
func instanceOf(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, membersPrefix)
	return rest[strings.LastIndexByte(rest, '/')+1:], ok
}

// EntryError reports a stored or received entry that is invalid.
type EntryError struct {
	Key    string
	Reason string
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry %s: %s", e.Key, e.Reason) }

// entry is the JSON form of a node's record in the store.
type entry struct {
	Instance string  `json:"instance"`
	Domain   string  `json:"failure_domain"`
	Pool     string  `json:"pool"`
	Address  string  `json:"address"`
	Peer     string  `json:"peer"`
	Boot     *uint64 `json:"boot"`
	Seq      *uint64 `json:"seq"`
	State    string  `json:"state"`
	Target   string  `json:"target,omitempty"`
	Slots    int     `json:"slots,omitempty"`
	Crash    string  `json:"crash,omitempty"`
	Link     int     `json:"link_mbps,omitempty"`
	Version  string  `json:"version,omitempty"`
	Departed string  `json:"departed,omitempty"`
}

func encodeEntry(r membership.Record) []byte {
	boot, seq := r.Boot(), r.Seq()
	// Marshalling strings and numbers can't fail.
	b, _ := json.Marshal(entry{
		Instance: r.Instance(), Domain: r.Domain(), Pool: r.Pool(),
		Address: r.Address().String(), Peer: r.ControlAddress().String(),
		Boot: &boot, Seq: &seq, State: r.State().String(), Target: r.TargetID(), Slots: r.Slots(), Crash: r.Crash(), Link: r.LinkMbps(), Version: r.Version(), Departed: r.Departed(),
	})
	return b
}

// decodeEntry parses an entry of the store. The store has other writers, so an incomplete
// entry is rejected and the known record is kept.
func decodeEntry(key string, b []byte) (membership.Record, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return membership.Record{}, &EntryError{Key: key, Reason: "cannot be decoded"}
	}
	return e.record(key)
}

// decodePeerEntry parses an entry received from another node.
func decodePeerEntry(b []byte) (membership.Record, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return membership.Record{}, &EntryError{Key: "received from a node", Reason: "cannot be decoded"}
	}
	return e.record(entryKey(e.Domain, e.Instance))
}

// record validates the entry stored under a key and returns its record.
func (e entry) record(key string) (membership.Record, error) {
	state, known := stateByName[e.State]
	address, aerr := netip.ParseAddrPort(e.Address)
	peer, perr := netip.ParseAddrPort(e.Peer)
	switch {
	case e.Instance == "" || key != entryKey(e.Domain, e.Instance):
		return membership.Record{}, &EntryError{Key: key, Reason: "instance or failure domain doesn't match the key"}
	case !known:
		return membership.Record{}, &EntryError{Key: key, Reason: "unknown state"}
	case aerr != nil || perr != nil || !canBeCalled(address) || !canBeCalled(peer):
		return membership.Record{}, &EntryError{Key: key, Reason: "invalid address"}
	case e.Boot == nil || e.Seq == nil:
		return membership.Record{}, &EntryError{Key: key, Reason: "without a boot or sequence number"}
	case state == membership.Ready && (e.Pool == "" || e.Target == ""):
		return membership.Record{}, &EntryError{Key: key, Reason: "ready without a pool or target"}
	}
	return membership.NewRecord(e.Instance,
		membership.Domain(e.Domain), membership.Pool(e.Pool), membership.Address(address), membership.ControlAddress(peer),
		membership.Boot(*e.Boot), membership.Seq(*e.Seq), membership.InState(state),
		membership.TargetID(e.Target), membership.Slots(e.Slots), membership.Crash(e.Crash), membership.LinkMbps(max(0, e.Link)), membership.Version(e.Version), membership.Departed(e.Departed)), nil
}

// canBeCalled reports whether an address names a host and port that another node can connect to.
func canBeCalled(a netip.AddrPort) bool { return a.Port() != 0 && !a.Addr().IsUnspecified() }

var stateByName = map[string]membership.State{
	membership.Starting.String(): membership.Starting,
	membership.Ready.String():    membership.Ready,
	membership.Draining.String(): membership.Draining,
	membership.Gone.String():     membership.Gone,
}
