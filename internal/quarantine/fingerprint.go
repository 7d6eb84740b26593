package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint is the same for all tries of a request: for the same caller, method, host,
// target and body. It is part of a SHA-256, since a tenant must not be able to make a
// request that is taken for another tenant's.
type Fingerprint uint64

// Identity is what makes two tries the same request. The request's id is no part of it,
// since each try has its own.
type Identity struct {
	// Caller is the tenant's name, or "" where routes ask for no key.
	Caller string
	Method string
	Host   string
	// Target is the path and query as they were sent.
	Target string
	Body   []byte
}

// Fingerprint returns the identity's fingerprint.
func (i Identity) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{i.Caller, i.Method, i.Host, i.Target} {
		// The length keeps parts apart: "a" and "bc" are not "ab" and "c".
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(i.Body)
	return Fingerprint(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// String is the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
