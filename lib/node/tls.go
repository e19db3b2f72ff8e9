package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/settings"

	"github.com/cockroachdb/errors"
)

// serverTLS returns the TLS configuration of a listener, or nil if no certificate
// is set. If certificate authorities are set, clients must present a certificate
// from one of them.
func serverTLS(k settings.KeyPair) (*tls.Config, error) {
	if k.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate and key")
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if k.CA == "" {
		return c, nil
	}
	if c.ClientCAs, err = authorities(k.CA); err != nil {
		return nil, err
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// clientTLS returns the TLS configuration of calls to peers, or nil if no
// certificate is set.
func clientTLS(k settings.KeyPair) (*tls.Config, error) {
	c, err := serverTLS(k)
	if c == nil || err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: c.Certificates, RootCAs: c.ClientCAs, MinVersion: tls.VersionTLS13}, nil
}

func authorities(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read TLS certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, problem.New(problem.Invalid, problem.Detail{Field: "ca", Value: file,
			Limit: "PEM certificates", Remedy: "set a file with at least one certificate"})
	}
	return pool, nil
}
