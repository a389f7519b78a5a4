// Package standca is a small stand-in for the certificate authority of a
// deployment, for tests. The authority's key is held in memory only.
package standca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"quetzalfront/internal/qf/transport/qftls"
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// certificateDER is the authority's certificate in DER encoding.
	certificateDER []byte
	// serial is the latest serial number.
	serial int64
}

// New returns an authority whose own certificate is valid from one day before now to
// one day after.
func New(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: now.Add(-day), NotAfter: now.Add(day),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key, certificateDER: der, serial: 1}, err
}

// day is the time before and after now in which the authority is valid.
const day = 24 * time.Hour

// IssueFiles issues a certificate for the role, valid until the time, and writes it
// into the directory with its key and the authority's certificate.
func (a *Authority) IssueFiles(dir, name string, role qftls.Role, notAfter time.Time) (qftls.Files, error) {
	files := qftls.Files{
		Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"),
		Authority: filepath.Join(dir, name+"-authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{string(role)},
		NotBefore: a.certificate.NotBefore, NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{
		{files.Certificate, "CERTIFICATE", der},
		{files.Key, "PRIVATE KEY", keyDER},
		{files.Authority, "CERTIFICATE", a.certificateDER},
	} {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), 0o600); err != nil {
			return files, err
		}
	}
	return files, nil
}
