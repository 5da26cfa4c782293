// Package accesstest creates authorities and certificates for tests.
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

// validity is how long the certificates are valid from their creation on.
const validity = 24 * time.Hour

// Files holds the paths of PEM files: a certificate, its private key, and the authority that signed it.
type Files struct{ Cert, Key, CA string }

// Write creates an authority and a certificate that the authority has signed, and writes them to a directory. The
// certificate is for the names and for the loopback address. Existing files are replaced, each atomically.
func Write(t *testing.T, dir string, names ...string) Files {
	t.Helper()
	files := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	notBefore := time.Now().Add(-time.Hour)
	notAfter := time.Now().Add(validity)
	authority := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             notBefore,
		NotAfter:              notAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
		DNSNames:     names,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityKey := newKey(t)
	key := newKey(t)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Cert, "CERTIFICATE", sign(t, certificate, authority, key, authorityKey))
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", sign(t, authority, authority, authorityKey, authorityKey))
	return files
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign returns a certificate for a key, signed by an authority, in DER.
func sign(t *testing.T, template, authority *x509.Certificate, key, authorityKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

// writePEM replaces a file atomically, so that a reader never reads an incomplete file.
func writePEM(t *testing.T, path, blockType string, der []byte) {
	t.Helper()
	temporary := path + ".new"
	content := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(temporary, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		t.Fatal(err)
	}
}
