// Package peer transports messages between nodes: gob over TLS for calls, and
// encrypted datagrams for gossip. Nodes authenticate each other by the fleet's
// key.
package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/juju/errors"
)

const (
	certificateContext  = "cloverrail node certificate v1"
	datagramContext     = "cloverrail datagram v1"
	certificateLifetime = 10 * 365 * 24 * time.Hour
)

// Credentials prove membership of the fleet. They are derived from one shared
// key, so all nodes have the same signing key.
type Credentials struct {
	signer    ed25519.PrivateKey
	tlsConfig *tls.Config
	aead      cipher.AEAD
}

// NewCredentials derives credentials from the fleet's key.
func NewCredentials(fleetKey []byte) (*Credentials, error) {
	seed, err := hkdf.Key(sha256.New, fleetKey, nil, certificateContext, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Annotate(err, "the fleet key is not usable; use at least 16 bytes")
	}
	credentials := &Credentials{signer: ed25519.NewKeyFromSeed(seed)}
	if err := credentials.initTLS(); err != nil {
		return nil, err
	}
	datagramKey, err := hkdf.Key(sha256.New, fleetKey, nil, datagramContext, 32)
	if err != nil {
		return nil, errors.Trace(err)
	}
	block, err := aes.NewCipher(datagramKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	credentials.aead, err = cipher.NewGCMWithRandomNonce(block)
	return credentials, errors.Trace(err)
}

func (credentials *Credentials) initTLS() error {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, credentials.signer.Public(), credentials.signer)
	if err != nil {
		return errors.Trace(err)
	}
	credentials.tlsConfig = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: credentials.signer}},
		ClientAuth:   tls.RequireAnyClientCert,
		// Certificates are self-signed, so name and issuer carry no information;
		// VerifyConnection checks the public key instead.
		InsecureSkipVerify: true,
		VerifyConnection:   credentials.verify,
	}
	return nil
}

// verify accepts only peers that hold the fleet's signing key. TLS has already
// verified that the peer holds the private key of its certificate.
func (credentials *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !key.Equal(credentials.signer.Public()) {
		return errors.New("the peer does not have this fleet's key; configure the same fleetKey on all nodes")
	}
	return nil
}
