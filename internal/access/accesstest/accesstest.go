// Package accesstest makes authorities and certificates for tests.
package accesstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Files are a certificate, its key and its authority.
type Files struct{ Cert, Key, CA string }

// Write writes files of a new authority with a certificate for names and this machine, over those
// that may be there.
func Write(t *testing.T, dir string, names ...string) Files {
	t.Helper()
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	put := func(name, kind string, der []byte) {
		must(os.WriteFile(name+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		must(os.Rename(name+".new", name))
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	must(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "test"}, NotBefore: ca.NotBefore, NotAfter: ca.NotAfter, DNSNames: names,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	must(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must(err)
	put(f.Cert, "CERTIFICATE", der)
	put(f.Key, "EC PRIVATE KEY", keyDER)
	put(f.CA, "CERTIFICATE", caDER)
	return f
}
