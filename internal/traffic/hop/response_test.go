package hop

import (
	"net/http"
	"testing"
	"time"
)

func TestLoadAndServiceTimeAreParsed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		header  string
		load    float64
		loaded  bool
		service time.Duration
	}{
		{FormatLoad(0.5, 0), 0.5, true, 0},
		{FormatLoad(1.25, 312*time.Millisecond), 1.25, true, 312 * time.Millisecond},
		{"0.50", 0.5, true, 0},
		{"", 0, false, 0},
		{"-1 20", -1, false, 20 * time.Microsecond},
		{"0.5 soon", 0.5, true, 0},
		{"0.5 -3", 0.5, true, 0},
		{"0.5 99999999999", 0.5, true, 0},
	} {
		a := &Response{load: tc.header}
		load, loaded := a.Load()
		if load != tc.load || loaded != tc.loaded || a.ServiceTime() != tc.service {
			t.Errorf("%q: load %v, %v, service time %v", tc.header, load, loaded, a.ServiceTime())
		}
	}
}

// Guards against a target's limit that is taken for none, or the reverse, because of its
// spelling.
func TestRateLimitsOfResponsesAreParsed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		value string
		limit float64
		named bool
	}{
		{"", 0, false},
		{"52.2", 52.2, true},
		{"60", 60, true},
		{"0", 0, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"+Inf", 0, false},
		{"many", 0, false},
	} {
		resp := &Response{resp: &http.Response{Header: http.Header{}}}
		if tc.value != "" {
			resp.Header().Set(RateLimitHeader, tc.value)
		}
		limit, named := NewHeaderNames().RateLimit(resp)
		if named != tc.named || named && limit != tc.limit {
			t.Errorf("%q: %v, %v", tc.value, limit, named)
		}
	}
}
