package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"time"
)

// Fingerprint identifies a suspect: a request, across attempts, or a part of prompts, across requests. It is a
// prefix of a SHA-256 hash, since a tenant must not be able to construct a request or a part with the
// fingerprint of another tenant's.
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
	return hashFields(i.Body, i.Caller, i.Method, i.Host, i.Target)
}

// hashFields returns the hash of some fields and a body.
func hashFields(body []byte, fields ...string) Fingerprint {
	hash := sha256.New()
	for _, field := range fields {
		// The length prefix separates the fields: "a" and "bc" must differ from "ab" and "c".
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = io.WriteString(hash, field)
	}
	_, _ = hash.Write(body)
	return Fingerprint(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// PartIdentity holds the properties that make two parts of prompts the same.
type PartIdentity struct {
	Service string
	Model   string
	// Caller is the tenant's name. A part of one tenant is never the same as that of another, even if both have the
	// same ID, so that no tenant can have the prompts of another one rejected.
	Caller string
	ID     string
}

// Fingerprint returns the fingerprint of the part.
func (p PartIdentity) Fingerprint() Fingerprint {
	return hashFields(nil, "part", p.Service, p.Model, p.Caller, p.ID)
}

// Suspects are what may have made a server crash that ran a request: the request itself, or one of the parts of its
// prompt that other requests share.
type Suspects struct {
	// Service is the service that the request is for; it may be "" if there are no parts.
	Service string
	// Request is 0 if only parts are meant.
	Request Fingerprint
	// Parts holds no duplicates.
	Parts []Fingerprint
	// SentAt is when the request was sent to the server; zero if unknown.
	SentAt time.Time
}

// WithSentAt returns the suspects of a request that was sent to a server at a given time.
func (s Suspects) WithSentAt(at time.Time) Suspects {
	s.SentAt = at
	return s
}

// ranUntil returns how long the request had been at its server at a given time; 0 if unknown.
func (s Suspects) ranUntil(at time.Time) time.Duration {
	if s.SentAt.IsZero() {
		return 0
	}
	return max(1, at.Sub(s.SentAt))
}

// Suspected holds suspects, each with whether it is a part.
type Suspected map[Fingerprint]bool

// contains reports whether a fingerprint is one of the suspects.
func (s Suspects) contains(f Fingerprint) bool { return f == s.Request || slices.Contains(s.Parts, f) }

// all iterates over the suspects, with whether each is a part.
func (s Suspects) all(yield func(f Fingerprint, part bool) bool) {
	if s.Request != 0 && !yield(s.Request, false) {
		return
	}
	for _, part := range s.Parts {
		if !yield(part, true) {
			return
		}
	}
}

// PartNames returns the parts as in logs.
func (s Suspects) PartNames() []string {
	names := make([]string, 0, len(s.Parts))
	for _, part := range s.Parts {
		names = append(names, part.String())
	}
	return names
}
