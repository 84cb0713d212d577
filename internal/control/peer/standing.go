package peer

import (
	"context"
	"encoding/base64"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
)

// standingHeader carries what is the same in each pull of a session: who
// pulls, and from which view's changes it reads on. HTTP/2 sends a repeated
// header as one byte, where the same fields in the body would cost half of the
// pull that follows each change.
const standingHeader = "Banyanlug-Standing"

type standingKey struct{}

// withStanding moves the standing part of a pull into the call's headers.
func withStanding(ctx context.Context, req *peerpb.PullRequest) (context.Context, error) {
	standing := &peerpb.PullRequest{Instance: req.GetInstance(), Domain: req.GetDomain(), Boot: req.GetBoot(), Epoch: req.GetEpoch()}
	req.Instance, req.Domain, req.Boot, req.Epoch = "", "", 0, 0
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(standing)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	h := http.Header{standingHeader: {base64.RawStdEncoding.EncodeToString(b)}}
	return twirp.WithHTTPRequestHeaders(ctx, h)
}

// readStanding gives the server's methods the standing part of a pull.
func readStanding(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The date is of no use to a peer and costs thirty bytes a second.
		w.Header()["Date"] = nil
		text := r.Header.Get(standingHeader)
		if text == "" {
			next.ServeHTTP(w, r)
			return
		}
		standing := &peerpb.PullRequest{}
		b, err := base64.RawStdEncoding.DecodeString(text)
		if err == nil {
			err = proto.Unmarshal(b, standing)
		}
		if err != nil {
			// A failed write means that the peer has gone; nobody is left to tell.
			_ = twirp.WriteError(w, twirp.NewError(twirp.InvalidArgument, standingHeader+": "+err.Error()))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), standingKey{}, standing)))
	})
}

// mergeStanding completes a pull by what its headers said.
func mergeStanding(ctx context.Context, req *peerpb.PullRequest) {
	if standing, ok := ctx.Value(standingKey{}).(*peerpb.PullRequest); ok {
		proto.Merge(req, standing)
	}
}
