package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"bronzewinch.dev/lib/peer"

	"github.com/matryer/is"
)

// authority is a certificate authority that issues certificates for loopback.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t, key, cert}
}

func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

func (a *authority) issue() tls.Certificate {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// TestMutualTLS guards against connections between a node and a process without a
// certificate of the deployment.
func TestMutualTLS(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(peer.ServerConfig{TLS: &tls.Config{Certificates: []tls.Certificate{trusted.issue()},
		ClientCAs: trusted.pool(), ClientAuth: tls.RequireAndVerifyClientCert}})
	peer.Handle(s, "upper", func(_ context.Context, q request) (response, error) { return response(q), nil })
	s.Serve(l)
	defer s.Close(context.Background())

	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"certificate of the deployment", &tls.Config{RootCAs: trusted.pool(), Certificates: []tls.Certificate{trusted.issue()}}, true},
		{"other certificate", &tls.Config{RootCAs: trusted.pool(), Certificates: []tls.Certificate{other.issue()}}, false},
		{"no certificate", &tls.Config{RootCAs: trusted.pool()}, false},
		{"other server expected", &tls.Config{RootCAs: other.pool(), Certificates: []tls.Certificate{trusted.issue()}}, false},
		{"plain", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := peer.NewPool(peer.PoolConfig{TLS: tt.client})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := peer.Call[request, response](ctx, p, l.Addr().String(), "upper", request{"x"})
			is.Equal(err == nil, tt.ok)
		})
	}
}
