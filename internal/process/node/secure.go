package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// tlsPair is how nodes speak to each other over TLS: each shows a certificate
// of the fleet's authority and asks for one.
type tlsPair struct{ serving, dialing *tls.Config }

// tls reads the TLS settings, or returns nil without them.
func (s *Settings) tls() (*tlsPair, error) {
	if s.tlsCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.tlsCert, s.tlsKey)
	if err != nil {
		return nil, &SettingError{"tls-cert", err.Error()}
	}
	pem, err := os.ReadFile(s.tlsCA)
	if err != nil {
		return nil, &SettingError{"tls-ca", err.Error()}
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return nil, &SettingError{"tls-ca", "holds no PEM certificate"}
	}
	return &tlsPair{
		serving: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: ca,
		},
		dialing: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: ca},
	}, nil
}
