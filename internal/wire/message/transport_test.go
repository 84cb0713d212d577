package message

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
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
	for _, tc := range []struct {
		name string
		path string
		cfg  *tls.Config
		want error
	}{
		{"sound", "/sound", &tls.Config{RootCAs: trusted}, nil},
		{"invalid", "/invalid", &tls.Config{RootCAs: trusted}, &InvalidError{}},
		{"another name", "/sound", &tls.Config{RootCAs: trusted, ServerName: "other.invalid"}, &tls.CertificateVerificationError{}},
		{"not trusted", "/sound", &tls.Config{RootCAs: x509.NewCertPool()}, &tls.CertificateVerificationError{}},
		{"no settings", "/sound", nil, &tls.CertificateVerificationError{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &http.Client{Transport: Transport(&http.Transport{TLSClientConfig: tc.cfg})}
			defer client.CloseIdleConnections()
			resp, err := client.Get(srv.URL + tc.path)
			if err == nil {
				defer resp.Body.Close()
				b, err := io.ReadAll(resp.Body)
				if diff := cmp.Diff("HTTP/1.1", string(b)); diff != "" || err != nil {
					t.Error(diff, err)
				}
			}
			switch tc.want.(type) {
			case nil:
				if err != nil {
					t.Error(err)
				}
			case *InvalidError:
				var invalid *InvalidError
				if !errors.As(err, &invalid) {
					t.Errorf("failed with %v", err)
				}
			default:
				var cert *tls.CertificateVerificationError
				if !errors.As(err, &cert) {
					t.Errorf("failed with %v", err)
				}
			}
		})
	}
}
