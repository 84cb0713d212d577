package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// ownPrefix is where all keys that nodes write stand in the store.
	ownPrefix = "fleet/"
	// MembersPrefix is where the nodes' entries stand in the store.
	MembersPrefix = ownPrefix + "members/"
)

// EntryError tells of an entry that no node of this program wrote.
type EntryError struct {
	Key    string
	Reason string
}

func (e *EntryError) Error() string { return fmt.Sprintf("entry %s: %s", e.Key, e.Reason) }

// entry is a node's announcement as the store holds it.
type entry struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	Pool     string `json:"pool"`
	Address  string `json:"address"`
	Peer     string `json:"peer"`
	Boot     uint64 `json:"boot"`
	Seq      uint64 `json:"seq"`
	State    string `json:"state"`
	Target   string `json:"target,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	Crash    string `json:"crash,omitempty"`
	Link     int    `json:"link_mbps,omitempty"`
	Version  string `json:"version,omitempty"`
}

func encode(r membership.Record) []byte {
	// Marshalling texts and numbers cannot fail.
	b, _ := json.Marshal(entry{
		Instance: r.Instance(), Domain: r.Domain(), Pool: r.Pool(),
		Address: r.Address().String(), Peer: r.Peer().String(),
		Boot: r.Boot(), Seq: r.Seq(), State: r.State().String(), Target: r.Target(), Slots: r.Slots(), Crash: r.Crash(), Link: r.Link(), Version: r.Version(),
	})
	return b
}

// decode reads an entry. Others may write to the same store: what is not whole
// is an error, and the entry that was known before holds.
func decode(key string, b []byte) (membership.Record, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return membership.Record{}, &EntryError{Key: key, Reason: "can't be read"}
	}
	return e.record(key)
}

// decodeAny reads an entry that another node passed on.
func decodeAny(b []byte) (membership.Record, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return membership.Record{}, &EntryError{Key: "from a node", Reason: "can't be read"}
	}
	return e.record(MembersPrefix + e.Instance)
}

// record returns what the entry under a key announces.
func (e entry) record(key string) (membership.Record, error) {
	state, known := states[e.State]
	address, aerr := netip.ParseAddrPort(e.Address)
	peer, perr := netip.ParseAddrPort(e.Peer)
	switch {
	case e.Instance == "" || e.Instance != strings.TrimPrefix(key, MembersPrefix):
		return membership.Record{}, &EntryError{Key: key, Reason: "is of another instance"}
	case !known:
		return membership.Record{}, &EntryError{Key: key, Reason: "has no known state"}
	case aerr != nil || perr != nil:
		return membership.Record{}, &EntryError{Key: key, Reason: "has no address"}
	case state == membership.Ready && (e.Pool == "" || e.Target == ""):
		return membership.Record{}, &EntryError{Key: key, Reason: "is ready without a target"}
	}
	return membership.NewRecord(e.Instance,
		membership.Domain(e.Domain), membership.Pool(e.Pool), membership.Address(address), membership.Peer(peer),
		membership.Boot(e.Boot), membership.Seq(e.Seq), membership.InState(state),
		membership.Target(e.Target), membership.Slots(e.Slots), membership.Crash(e.Crash), membership.Link(max(0, e.Link)), membership.Version(e.Version)), nil
}

var states = map[string]membership.State{
	membership.Starting.String(): membership.Starting,
	membership.Ready.String():    membership.Ready,
	membership.Draining.String(): membership.Draining,
	membership.Gone.String():     membership.Gone,
}
