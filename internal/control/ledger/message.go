package ledger

import (
	"net/netip"
	"time"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/policy/idempotency"
)

func memberToProto(m idempotency.Member) *ledgerpb.Member {
	// Marshalling an address cannot fail.
	b, _ := m.Peer().MarshalBinary()
	return &ledgerpb.Member{Instance: m.Instance(), Boot: m.Boot(), Peer: b}
}

func memberFromProto(m *ledgerpb.Member) (idempotency.Member, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(m.GetPeer()); err != nil {
		return idempotency.Member{}, &TableError{Err: err}
	}
	return idempotency.NewMember(m.GetInstance(), m.GetBoot(), a), nil
}

func membersToProto(ms []idempotency.Member) []*ledgerpb.Member {
	out := make([]*ledgerpb.Member, len(ms))
	for i, m := range ms {
		out[i] = memberToProto(m)
	}
	return out
}

func membersFromProto(ms []*ledgerpb.Member) ([]idempotency.Member, error) {
	out := make([]idempotency.Member, len(ms))
	for i, m := range ms {
		var err error
		if out[i], err = memberFromProto(m); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// entry is an assignment and the table version that introduced it.
type entry struct {
	assignment   idempotency.Assignment
	tableVersion uint64
}

func entryToProto(partition int, e entry) *ledgerpb.Row {
	return &ledgerpb.Row{
		Row: uint32(partition), Epoch: e.assignment.Epoch(), Changed: e.tableVersion,
		Holders: membersToProto(e.assignment.Replicas()), Previous: membersToProto(e.assignment.Previous()),
	}
}

func entryFromProto(m *ledgerpb.Row) (entry, error) {
	replicas, err := membersFromProto(m.GetHolders())
	if err != nil {
		return entry{}, err
	}
	previous, err := membersFromProto(m.GetPrevious())
	if err != nil {
		return entry{}, err
	}
	return entry{idempotency.NewAssignment(m.GetEpoch(), replicas, previous), m.GetChanged()}, nil
}

func tokenToProto(t idempotency.Token) *ledgerpb.Token {
	return &ledgerpb.Token{Boot: t.Boot, Number: t.Number}
}

func tokenFromProto(t *ledgerpb.Token) idempotency.Token {
	return idempotency.Token{Boot: t.GetBoot(), Number: t.GetNumber()}
}

func tokensToProto(ts []idempotency.Token) []*ledgerpb.Token {
	var out []*ledgerpb.Token
	for _, t := range ts {
		out = append(out, tokenToProto(t))
	}
	return out
}

func tokensFromProto(ts []*ledgerpb.Token) []idempotency.Token {
	var out []idempotency.Token
	for _, t := range ts {
		out = append(out, tokenFromProto(t))
	}
	return out
}

// sealToProto encodes times as durations, since the clocks of nodes differ.
func sealToProto(now time.Time, s idempotency.SealResult) *ledgerpb.SealResponse {
	out := &ledgerpb.SealResponse{Ok: true, Lost: s.Ended}
	if !s.BlankSince.IsZero() {
		out.BlankAgeMs = uint32(max(1, now.Sub(s.BlankSince).Milliseconds()))
	}
	for _, r := range s.Records {
		out.Records = append(out.Records, &ledgerpb.Record{
			Key: r.Key, Token: tokenToProto(r.Token), Epoch: r.Epoch, Done: r.Done, Answer: r.Answer,
			LeftMs: uint32(max(0, r.Expires.Sub(now).Milliseconds())) + 1,
			Rivals: tokensToProto(r.Rivals),
		})
	}
	return out
}

func sealFromProto(now time.Time, m *ledgerpb.SealResponse) idempotency.SealResult {
	s := idempotency.SealResult{Ended: m.GetLost()}
	if age := m.GetBlankAgeMs(); age > 0 {
		s.BlankSince = now.Add(-time.Duration(age-1) * time.Millisecond)
	}
	for _, r := range m.GetRecords() {
		s.Records = append(s.Records, idempotency.Record{
			Key: r.GetKey(), Token: tokenFromProto(r.GetToken()), Epoch: r.GetEpoch(), Done: r.GetDone(), Answer: r.GetAnswer(),
			Expires: now.Add(time.Duration(r.GetLeftMs()) * time.Millisecond),
			Rivals:  tokensFromProto(r.GetRivals()),
		})
	}
	return s
}
