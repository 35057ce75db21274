package standin

// This file generates the certificates of trials and tests.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// certValidity is how long generated certificates are valid.
const certValidity = 30 * 24 * time.Hour

// Authority signs certificates for trials and tests.
type Authority struct {
	PEM  []byte // the CA certificate
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority generates a key and a self-signed CA certificate.
func NewAuthority() (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := certTemplate("bergamotspring trial authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(b)
	return &Authority{PEM: pemBlock("CERTIFICATE", b), cert: c, key: k}, err
}

// Issue generates a key and a server and client certificate for IP addresses. Both are
// PEM.
func (a *Authority) Issue(addresses ...string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := certTemplate("bergamotspring trial node")
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, s := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.ParseIP(s))
	}
	b, err := x509.CreateCertificate(rand.Reader, t, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	p, err := x509.MarshalPKCS8PrivateKey(k)
	return pemBlock("CERTIFICATE", b), pemBlock("PRIVATE KEY", p), err
}

func certTemplate(name string) *x509.Certificate {
	n := time.Now()
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes([]byte(rand.Text())[:16]), Subject: pkix.Name{CommonName: name},
		NotBefore: n.Add(-time.Hour), NotAfter: n.Add(certValidity),
	}
}

func pemBlock(kind string, b []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b})
}
