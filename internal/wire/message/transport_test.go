package message

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against responses over TLS that are not checked, and against a certificate that isn't
// verified because the check needs a handshake of its own.
func TestResponsesOverTLSAreChecked(t *testing.T) {
	t.Parallel()
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, r.Proto)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nhi")
		_ = c.Close()
	}))
	defer srv.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(srv.Certificate())
	isInvalid := func(err error) bool {
		var invalid *InvalidError
		return errors.As(err, &invalid)
	}
	isUnverified := func(err error) bool {
		var cert *tls.CertificateVerificationError
		return errors.As(err, &cert)
	}
	for _, tc := range []struct {
		name string
		path string
		cfg  *tls.Config
		want func(error) bool
	}{
		{"sound", "/sound", &tls.Config{RootCAs: trusted}, func(err error) bool { return err == nil }},
		{"invalid", "/invalid", &tls.Config{RootCAs: trusted}, isInvalid},
		{"another name", "/sound", &tls.Config{RootCAs: trusted, ServerName: "other.invalid"}, isUnverified},
		{"not trusted", "/sound", &tls.Config{RootCAs: x509.NewCertPool()}, isUnverified},
		{"no settings", "/sound", nil, isUnverified},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &http.Client{Transport: Transport(&http.Transport{TLSClientConfig: tc.cfg})}
			defer client.CloseIdleConnections()
			resp, err := client.Get(srv.URL + tc.path)
			if !tc.want(err) {
				t.Errorf("the error is %v", err)
			}
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "HTTP/1.1" {
				t.Errorf("read %q, %v", b, err)
			}
		})
	}
}

// Guards against a request that is sent again after an invalid response to it, so that the response
// is neither an error nor logged.
func TestARequestIsNotSentAgainAfterAnInvalidResponse(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"HTTP/1.1 200 OK\r\nX Foo: v\r\nContent-Length: 2\r\n\r\nhi", "noise"} {
		requests := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if requests++; requests != 2 {
				_, _ = io.WriteString(w, "sound")
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}))
		client := &http.Client{Transport: Transport(&http.Transport{})}
		for _, valid := range []bool{true, false} {
			resp, err := client.Get(srv.URL)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			var invalid *InvalidError
			if valid && err != nil || !valid && !errors.As(err, &invalid) {
				t.Errorf("%q: %v", text, err)
			}
		}
		client.CloseIdleConnections()
		srv.Close()
		if requests != 2 {
			t.Errorf("%q: %d requests", text, requests)
		}
	}
}
