package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"banyanlug.example/banyanlug/internal/control/operator"
)

const (
	// defaultNode is where a node's operator address is by default.
	defaultNode    = "http://127.0.0.1:7400"
	defaultTimeout = 15 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

// remote holds the settings of the commands that ask a node.
type remote struct {
	app     *App
	nodes   string
	token   string
	timeout time.Duration
	json    bool
}

func (a *App) jsonFlag(fs *flag.FlagSet, to *bool) {
	fs.BoolVar(to, "json", false, "write one JSON object in place of text")
}

func (a *App) remoteFlags(fs *flag.FlagSet) *remote {
	r := &remote{app: a}
	fs.StringVar(&r.nodes, "node", defaultNode, "base `URLs` of nodes' operator addresses, separated by commas, asked in turn until one answers")
	fs.StringVar(&r.token, "token", "", "the operator's secret `token`; better set in the environment, where other users' process lists don't show it")
	fs.DurationVar(&r.timeout, "timeout", defaultTimeout, fmt.Sprintf("how long to wait in all, a `duration` between %v and %v", minTimeout, maxTimeout))
	a.jsonFlag(fs, &r.json)
	return r
}

// client checks the settings and returns a client of the nodes.
func (r *remote) client() (*operator.Client, error) {
	if r.token == "" {
		return nil, &SettingError{"token", "an operator token is needed"}
	}
	if r.timeout < minTimeout || r.timeout > maxTimeout {
		return nil, &SettingError{"timeout", fmt.Sprintf("is %v, must be between %v and %v", r.timeout, minTimeout, maxTimeout)}
	}
	nodes := strings.Split(r.nodes, ",")
	for i, n := range nodes {
		nodes[i] = strings.TrimSpace(n)
		u, err := url.Parse(nodes[i])
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" {
			return nil, &SettingError{"node", fmt.Sprintf("%q is no URL such as %s", nodes[i], defaultNode)}
		}
	}
	// A proxy from the environment would see the token.
	h := &http.Client{Transport: &http.Transport{}}
	return operator.NewClient(nodes, r.token, operator.HTTPClient(h)), nil
}

// do runs one request within the timeout and shows its answer, or its failure.
func (r *remote) do(ctx context.Context, ask func(context.Context, *operator.Client) (answer any, human func() string, err error)) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	var answer any
	var human func() string
	err = r.app.within(ctx, r.timeout, func(ctx context.Context) (err error) {
		answer, human, err = ask(ctx, c)
		return err
	})
	switch {
	case err != nil && r.json:
		return r.app.failAsJSON(err)
	case err != nil:
		return err
	case r.json:
		return r.app.writeJSON(answer)
	default:
		return r.app.write(human())
	}
}

// within runs f, and ends its context after d.
func (a *App) within(ctx context.Context, d time.Duration, f func(context.Context) error) error {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go a.clock.Run(ctx, done)
	limited, cancel := a.clock.WithTimeout(ctx, d)
	err := f(limited)
	cancel()
	stop()
	<-done
	return err
}

func (a *App) write(text string) error {
	if _, err := fmt.Fprint(a.stdout, text); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}
