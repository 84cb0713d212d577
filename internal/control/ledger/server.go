package ledger

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/policy/once"
)

// pathPrefix is where the service is mounted; short, since it is sent with each
// connection's first call.
const pathPrefix = "/o"

// Service returns what the peers' address serves to other nodes.
func (n *Node) Service() ledgerpb.TwirpServer {
	return ledgerpb.NewLedgerServer(server{n}, twirp.WithServerPathPrefix(pathPrefix))
}

// server answers other nodes.
type server struct{ n *Node }

var _ ledgerpb.Ledger = server{}

// row refuses rows that do not exist.
func row(n uint32) (int, error) {
	if n >= once.Rows {
		return 0, twirp.InvalidArgumentError("row", "does not exist")
	}
	return int(n), nil
}

// Claim implements ledgerpb.Ledger.
func (s server) Claim(_ context.Context, req *ledgerpb.ClaimRequest) (*ledgerpb.ClaimResponse, error) {
	r, err := row(req.GetRow())
	if err != nil {
		return nil, err
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	v, answer := s.n.held.Claim(s.n.clock.Now(), r, once.Claim{
		Key: req.GetKey(), Token: toToken(req.GetToken()), Epoch: req.GetEpoch(),
		Left: time.Duration(req.GetLeftMs()) * time.Millisecond,
	})
	return &ledgerpb.ClaimResponse{Verdict: uint32(v), Answer: answer}, nil
}

// End implements ledgerpb.Ledger.
func (s server) End(_ context.Context, req *ledgerpb.EndRequest) (*ledgerpb.EndResponse, error) {
	r, err := row(req.GetRow())
	if err != nil {
		return nil, err
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	if req.GetDone() {
		s.n.held.Complete(s.n.clock.Now(), r, req.GetKey(), toToken(req.GetToken()), req.GetAnswer())
	} else {
		s.n.held.Abandon(r, req.GetKey(), toToken(req.GetToken()))
	}
	return &ledgerpb.EndResponse{}, nil
}

// Seal implements ledgerpb.Ledger.
func (s server) Seal(_ context.Context, req *ledgerpb.SealRequest) (*ledgerpb.SealResponse, error) {
	r, err := row(req.GetRow().GetRow())
	if err != nil {
		return nil, err
	}
	asked, err := toMember(req.GetAsked())
	if err != nil {
		return nil, twirp.InvalidArgumentError("asked", err.Error())
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	sealed, ok := s.n.held.Seal(r, req.GetRow().GetEpoch(), asked)
	if !ok {
		return &ledgerpb.SealResponse{}, nil
	}
	return fromSealed(s.n.clock.Now(), sealed), nil
}

// Table implements ledgerpb.Ledger.
func (s server) Table(_ context.Context, req *ledgerpb.TableRequest) (*ledgerpb.TableResponse, error) {
	if err := s.n.take(req.GetNews(), false); err != nil {
		return nil, twirp.InvalidArgumentError("news", err.Error())
	}
	return &ledgerpb.TableResponse{News: s.n.since(req.GetVersion())}, nil
}
