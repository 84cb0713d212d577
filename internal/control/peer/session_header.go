package peer

import (
	"context"
	"encoding/base64"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/peer/peerpb"
)

// sessionHeader carries the fields that are the same in each pull of a session.
// HPACK encodes the repeated header as one byte.
const sessionHeader = "Banyanlug-Standing"

type sessionFieldsKey struct{}

// withSessionHeader moves the session fields of a pull from the body to the
// call's headers.
func withSessionHeader(ctx context.Context, req *peerpb.PullRequest) (context.Context, error) {
	fields := &peerpb.PullRequest{
		Instance: req.GetInstance(), Domain: req.GetDomain(), Boot: req.GetBoot(), Epoch: req.GetEpoch(),
		WaitMs: req.GetWaitMs(), AcceptStale: req.GetAcceptStale(),
	}
	req.Instance, req.Domain, req.Boot, req.Epoch, req.WaitMs, req.AcceptStale = "", "", 0, 0, 0, false
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(fields)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	h := http.Header{sessionHeader: {base64.RawStdEncoding.EncodeToString(b)}}
	return twirp.WithHTTPRequestHeaders(ctx, h)
}

// readSessionHeader decodes the session fields into the request's context.
func readSessionHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Omit the Date header; no peer reads it.
		w.Header()["Date"] = nil
		text := r.Header.Get(sessionHeader)
		if text == "" {
			next.ServeHTTP(w, r)
			return
		}
		fields := &peerpb.PullRequest{}
		b, err := base64.RawStdEncoding.DecodeString(text)
		if err == nil {
			err = proto.Unmarshal(b, fields)
		}
		if err != nil {
			// A failed write means that the peer has disconnected.
			_ = twirp.WriteError(w, twirp.NewError(twirp.InvalidArgument, sessionHeader+": "+err.Error()))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sessionFieldsKey{}, fields)))
	})
}

// mergeSessionFields adds the fields of the session header to a pull.
func mergeSessionFields(ctx context.Context, req *peerpb.PullRequest) {
	if fields, ok := ctx.Value(sessionFieldsKey{}).(*peerpb.PullRequest); ok {
		proto.Merge(req, fields)
	}
}
