package issuer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/zeebo/xxh3"

	"banyanlug.example/banyanlug/internal/clock/timer"
	"banyanlug.example/banyanlug/internal/config/snapshot"
	"banyanlug.example/banyanlug/internal/control/bounded"
	"banyanlug.example/banyanlug/internal/control/issuer/issuerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/limit"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/token"
	"banyanlug.example/banyanlug/internal/wire/message"
)

const (
	// issuersPerDomain is how many nodes of a failure domain issue tokens. Few keep the
	// number of connections small; more spread the requests.
	issuersPerDomain = 4
	// takeTimeout bounds one request to an issuer, and dialTimeout opening its connection.
	takeTimeout = 250 * time.Millisecond
	dialTimeout = 150 * time.Millisecond
	// avoidTime is how long an issuer that did not answer is avoided, and avoidStoppedTime one
	// whose process has stopped: token.Plan allows two issuers side by side for 500 ms.
	avoidTime        = time.Second
	avoidStoppedTime = 250 * time.Millisecond
	// maxTokens bounds the tokens of one request: more than any node's calls of a second.
	maxTokens = 1 << 20
	// maxFetches bounds the requests that one call waits for.
	maxFetches = 3
	// maxLenders is how many other domains are asked for tokens at once, and triedDomains how
	// many are tried for one call while issuers don't answer.
	maxLenders   = 2
	triedDomains = 2
	// connIdleTimeout closes connections to issuers that are no longer needed.
	connIdleTimeout = 10 * time.Second
)

// Members provides the nodes of the fleet.
type Members interface {
	// HighestRanked returns the first nodes of a failure domain's distribution tree. The
	// slice must not be changed.
	HighestRanked(domain string, n int) []membership.Record
	// Size returns the number of known nodes.
	Size() int
}

// Config provides the active configuration.
type Config interface {
	Current() *snapshot.Snapshot
}

// Agent takes tokens for the calls of one node and issues them to others.
type Agent struct {
	clk      *timer.Service
	log      *event.Logger
	members  Members
	config   Config
	instance string
	domain   string
	domains  []string // all failure domains, sorted
	margin   func() token.Margin
	http     *http.Client

	issuer   *token.Issuer
	cache    *token.Cache
	requests atomic.Uint64
	issued   atomic.Uint64

	mu        sync.Mutex
	fetches   map[string]*fetch
	loans     map[string]*fetch
	avoid     map[string]avoided
	levelLog  map[string]time.Time // when event 1411 was last logged, by organisation
	nextLoans int
	ranked    []string // instances that may issue in the own domain
	since     time.Time
}

// fetch is a request for an organisation's tokens that its calls wait for.
type fetch struct {
	done   chan struct{}
	answer answer
}

// answer is the outcome of a fetch.
type answer uint8

const (
	unreachable answer = iota // no issuer answered
	answered
	unlimited // the issuer knows no limit of the organisation
)

// avoided is an issuer that did not answer. Another node of its domain takes its place only if
// its process has certainly stopped: otherwise others may still take tokens from it.
type avoided struct {
	until   time.Time
	stopped bool
}

// Option configures an Agent.
type Option func(*Agent)

// WithMargin sets a function that returns by how much calls may exceed limits.
func WithMargin(f func() token.Margin) Option { return func(a *Agent) { a.margin = f } }

// WithLog sets the logger of events.
func WithLog(l *event.Logger) Option { return func(a *Agent) { a.log = l } }

// New returns the agent of a node. domains are all failure domains of the fleet.
func New(clk *timer.Service, members Members, config Config, instance, domain string, domains []string, opts ...Option) *Agent {
	if !slices.Contains(domains, domain) {
		domains = append(slices.Clone(domains), domain)
	}
	a := &Agent{
		clk: clk, log: event.Discard(), members: members, config: config, instance: instance, domain: domain,
		domains: slices.Sorted(slices.Values(domains)), margin: func() token.Margin { return token.Margin{} },
		issuer: token.NewIssuer(clk.Now()), cache: token.NewCache(),
		fetches: map[string]*fetch{}, loans: map[string]*fetch{}, avoid: map[string]avoided{}, levelLog: map[string]time.Time{},
	}
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	a.http = &http.Client{Transport: bounded.Transport(message.Transport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: connIdleTimeout}))}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Allow decides whether an organisation's limit admits a call. It waits for a request to
// an issuer if the node has no token.
func (a *Agent) Allow(now time.Time, l snapshot.Limit) limit.Decision {
	if l.Rate() <= 0 {
		return limit.Allowed{}
	}
	p := token.NewPlan(l, a.margin(), len(a.domains))
	a.watchRanked()
	d := a.cache.Take(now, l, p)
	for range maxFetches {
		f, ok := d.(token.Fetch)
		if !ok {
			return decision(d)
		}
		switch a.fetch(l, p, f.Tokens) {
		case unreachable:
			return decision(a.cache.TakeWithoutIssuer(a.clk.Now(), l, p, a.members.Size()))
		case unlimited:
			a.cache.Forget(a.clk.Now(), l)
			return limit.Allowed{}
		case answered:
			d = a.cache.Retake(a.clk.Now(), l, p)
		}
	}
	if _, ok := d.(token.Fetch); !ok {
		return decision(d)
	}
	a.cache.Forget(a.clk.Now(), l)
	return limit.NewRefused(limit.Rate, time.Millisecond)
}

func decision(d token.Decision) limit.Decision {
	if r, ok := d.(token.Refused); ok {
		return limit.NewRefused(limit.Rate, r.RetryAfter)
	}
	return limit.Allowed{}
}

// Done records the end of an allowed call; the token of one that was not run can be used
// again.
func (a *Agent) Done(allowedAt, now time.Time, l snapshot.Limit, notRun bool) {
	if notRun {
		a.cache.Return(allowedAt, now, l)
	}
}

// fetch takes tokens from an issuer, or waits for a request that is under way.
func (a *Agent) fetch(l snapshot.Limit, p token.Plan, n int) answer {
	return a.once(a.fetches, l.Organisation(), func() answer {
		sent := a.clk.Now()
		req := &issuerpb.TakeRequest{Organisation: l.Organisation(), Tokens: uint32(n)}
		var resp *issuerpb.TakeResponse
		for _, domain := range a.preferredDomains(l, p) {
			var ok bool
			if resp, ok = a.takeFrom(context.Background(), domain, req); ok {
				break
			}
		}
		if resp == nil {
			return unreachable
		}
		if resp.GetUnlimited() {
			return unlimited
		}
		a.cache.Fetched(sent, a.clk.Now(), l, int(resp.GetTokens()), time.Duration(resp.GetRetryAfterUs())*time.Microsecond)
		a.cache.SetLevel(a.clk.Now(), l, int(resp.GetUsage()))
		return answered
	})
}

// once runs f unless it is under way for the organisation already, and returns its answer.
func (a *Agent) once(running map[string]*fetch, organisation string, f func() answer) answer {
	a.mu.Lock()
	if other := running[organisation]; other != nil {
		a.mu.Unlock()
		<-other.done
		return other.answer
	}
	own := &fetch{done: make(chan struct{})}
	running[organisation] = own
	a.mu.Unlock()
	own.answer = f()
	a.mu.Lock()
	delete(running, organisation)
	a.mu.Unlock()
	close(own.done)
	return own.answer
}

// preferredDomains returns the failure domains from whose issuers this node takes an
// organisation's tokens: its own first, if the limit is issued there.
func (a *Agent) preferredDomains(l snapshot.Limit, p token.Plan) []string {
	issuing := slices.Clone(a.issuingDomains(l, p))
	if i := slices.Index(issuing, a.domain); i > 0 {
		issuing[0], issuing[i] = issuing[i], issuing[0]
	}
	return issuing[:min(triedDomains, len(issuing))]
}

// issuingDomains returns the failure domains in which a limit is issued.
func (a *Agent) issuingDomains(l snapshot.Limit, p token.Plan) []string {
	if p.Issuers() >= len(a.domains) {
		return a.domains
	}
	return byWeight(l.Organisation(), a.domains, func(d string) string { return d })[:p.Issuers()]
}

// byWeight sorts items by a hash of their name and a key (rendezvous hashing).
func byWeight[T any](key string, items []T, name func(T) string) []T {
	out := slices.Clone(items)
	weight := func(t T) uint64 { return xxh3.HashStringSeed(key, xxh3.HashString(name(t))) }
	slices.SortFunc(out, func(x, y T) int {
		return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(name(x), name(y)))
	})
	return out
}

// takeFrom sends a request to the issuer of a failure domain, or to the next one in place of
// an issuer that has stopped.
func (a *Agent) takeFrom(ctx context.Context, domain string, req *issuerpb.TakeRequest) (*issuerpb.TakeResponse, bool) {
	for _, r := range byWeight(req.GetOrganisation(), a.members.HighestRanked(domain, issuersPerDomain), membership.Record.Instance) {
		if r.Instance() == a.instance {
			resp, err := a.Take(ctx, req)
			return resp, err == nil
		}
		known, avoid := a.avoided(r.Instance())
		if !avoid {
			cctx, cancel := a.clk.WithTimeout(ctx, takeTimeout)
			a.requests.Add(1)
			resp, err := issuerpb.NewIssuerProtobufClient("http://"+r.ControlAddress().String(), a.http).Take(cctx, req)
			cancel()
			if err == nil && !valid(req, resp) {
				err = &ResponseError{Address: r.ControlAddress()}
			}
			if err == nil {
				return resp, true
			}
			a.log.Emit(event.PeerLost, event.F("peer", r.Instance()), event.F("error", err))
			known = avoided{until: a.clk.Now().Add(avoidTime), stopped: errors.Is(err, syscall.ECONNREFUSED)}
			if known.stopped {
				known.until = a.clk.Now().Add(avoidStoppedTime)
			}
			a.mu.Lock()
			a.avoid[r.Instance()] = known
			a.mu.Unlock()
		}
		if !known.stopped {
			return nil, false
		}
	}
	return nil, false
}

// ResponseError means that whatever answers at an issuer's address is none, or is broken.
type ResponseError struct{ Address netip.AddrPort }

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("the response of %v is not one of an issuer", e.Address)
}

// valid reports whether an issuer may have given a response. It issues no more tokens than
// requested, and says when a node may get the next one if it issues none.
func valid(req *issuerpb.TakeRequest, resp *issuerpb.TakeResponse) bool {
	next := resp.GetRetryAfterUs()
	return resp.GetTokens() <= req.GetTokens() && next <= uint64(token.MaxRetryAfter.Microseconds()) &&
		(req.GetLend() || resp.GetUnlimited() || resp.GetTokens() > 0 || next > 0)
}

// avoided returns what is known of an issuer that has failed to answer a short time ago.
func (a *Agent) avoided(instance string) (avoided, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.avoid[instance]
	if ok && !a.clk.Now().Before(known.until) {
		delete(a.avoid, instance)
		return avoided{}, false
	}
	return known, ok
}

// ownPlan returns the plan of a limit for this node as an issuer.
func (a *Agent) ownPlan(l snapshot.Limit) token.Plan {
	ranked, since := a.watchRanked()
	first := len(ranked) > 0 && byWeight(l.Organisation(), ranked, membership.Record.Instance)[0].Instance() == a.instance
	return token.NewPlan(l, a.margin(), len(a.domains)).At(since, !first)
}

// observeOthers observes the nodes that may issue, also while nobody asks for tokens: a bucket
// is filled only from some time after the node knows them.
func (a *Agent) observeOthers(ctx context.Context) {
	a.watchRanked()
	a.askOthers(ctx)
}

// watchRanked returns the nodes that may issue in the own domain, and since when this node
// knows them.
func (a *Agent) watchRanked() ([]membership.Record, time.Time) {
	ranked := a.members.HighestRanked(a.domain, issuersPerDomain)
	a.mu.Lock()
	defer a.mu.Unlock()
	same := func(r membership.Record, name string) bool { return r.Instance() == name }
	if a.ranked == nil || !slices.EqualFunc(ranked, a.ranked, same) {
		a.ranked, a.since = make([]string, len(ranked)), a.clk.Now()
		for i, r := range ranked {
			a.ranked[i] = r.Instance()
		}
	}
	return ranked, a.since
}

// Take implements issuerpb.Issuer.
func (a *Agent) Take(ctx context.Context, req *issuerpb.TakeRequest) (*issuerpb.TakeResponse, error) {
	snap := a.config.Current()
	if snap.Version() == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this node has no configuration yet")
	}
	l, ok := snap.Limit(req.GetOrganisation())
	if !ok || l.Rate() <= 0 {
		return &issuerpb.TakeResponse{Unlimited: true}, nil
	}
	p, n := a.ownPlan(l), int(min(req.GetTokens(), maxTokens))
	if req.GetLend() {
		resp := a.respond(a.issuer.Lend(a.clk.Now(), l, p, n))
		resp.Usage = uint32(a.issuer.Part(a.clk.Now(), l) * usageUnits)
		return resp, nil
	}
	got := a.issuer.Take(a.clk.Now(), l, p, n)
	if got.Borrow > 0 && a.borrow(ctx, l, p, got.Borrow) {
		more := a.issuer.Take(a.clk.Now(), l, p, n-got.Tokens)
		got.Tokens, got.RetryAfter = got.Tokens+more.Tokens, more.RetryAfter
	}
	if got.Tokens < n {
		// Rounded to 0 it would say nothing.
		got.RetryAfter = max(got.RetryAfter, time.Microsecond)
	}
	resp := a.respond(got)
	resp.Usage = uint32(a.observe(l, p, n, n-got.Tokens))
	return resp, nil
}

func (a *Agent) respond(got token.Issue) *issuerpb.TakeResponse {
	a.issued.Add(uint64(got.Tokens))
	return &issuerpb.TakeResponse{Tokens: uint32(got.Tokens), RetryAfterUs: uint64(max(0, got.RetryAfter.Microseconds()))}
}

// borrow takes tokens from the issuers of other failure domains and reports whether it got
// any.
func (a *Agent) borrow(ctx context.Context, l snapshot.Limit, p token.Plan, n int) bool {
	return a.once(a.loans, l.Organisation(), func() answer {
		a.mu.Lock()
		first := a.nextLoans
		a.nextLoans++
		a.mu.Unlock()
		got, asked := 0, 0
		issuing := a.issuingDomains(l, p)
		for i := range issuing {
			domain := issuing[(first+i)%len(issuing)]
			if domain == a.domain || asked == maxLenders || got >= n {
				continue
			}
			asked++
			if resp, ok := a.takeFrom(ctx, domain, &issuerpb.TakeRequest{Organisation: l.Organisation(), Tokens: uint32(n - got), Lend: true}); ok {
				got += int(resp.GetTokens())
			}
		}
		a.issuer.Borrowed(a.clk.Now(), l, p, got)
		if got == 0 {
			return unreachable
		}
		return answered
	}) == answered
}

// Requests returns the number of requests sent to other nodes, and Issued that of tokens
// issued.
func (a *Agent) Requests() uint64 { return a.requests.Load() }

// Issued returns the number of tokens issued to nodes and other domains.
func (a *Agent) Issued() uint64 { return a.issued.Load() }

// Service returns the HTTP handler for requests of other nodes.
func (a *Agent) Service() issuerpb.TwirpServer { return issuerpb.NewIssuerServer(a) }

// Run observes who may issue in the own domain, and asks other issuers for the demand of
// organisations, until ctx ends. It then closes the connections to them and sends ctx's
// error on done.
func (a *Agent) Run(ctx context.Context, done chan<- error) {
	tick := a.clk.Subscribe(askInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C():
			a.observeOthers(ctx)
		}
	}
	a.http.CloseIdleConnections()
	done <- ctx.Err()
}
