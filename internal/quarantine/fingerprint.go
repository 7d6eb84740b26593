package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint identifies a request across attempts: it is equal for equal caller, method, host,
// target and body. It is a prefix of a SHA-256 hash, since a tenant must not be able to
// construct a request with the fingerprint of another tenant's.
type Fingerprint uint64

// Identity holds the properties that make two attempts the same request. The request ID is not
// part of it, since each attempt has its own.
type Identity struct {
	// Caller is the tenant's name, or empty for routes that require no key.
	Caller string
	Method string
	Host   string
	// Target is the path and query as sent.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (i Identity) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{i.Caller, i.Method, i.Host, i.Target} {
		// The length prefix separates the parts: "a" and "bc" must differ from "ab" and "c".
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(i.Body)
	return Fingerprint(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
