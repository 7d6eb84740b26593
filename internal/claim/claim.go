// Package claim ensures that a request runs at most once: before it is
// dispatched, its idempotency key is claimed at a majority of the key's holders.
//
// Holder and Round are pure state machines. docs/decisions/claims.md gives the
// safety argument and its assumptions.
package claim

import (
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key identifies a request of one tenant.
type Key struct {
	Tenant string
	// Value is the caller's idempotency key.
	Value string
}

// CreatedAt returns the creation time of a time-ordered key (UUID version 7).
func (key Key) MintedAt() (time.Time, bool) {
	parsed, err := uuid.Parse(key.Value)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Status is the known progress of a claimed request.
type Status uint8

// The statuses of a claim.
const (
	// Claimed means that an owner may be running the request.
	Claimed Status = iota
	// Completed means that the owner knows that the request ran.
	Completed
	// Released means that the owner never sent it and never will.
	Released
)

// Record is one claim.
type Record struct {
	Key    Key
	Owner  string
	Status Status
	At     time.Time
}

// Verdict is a holder's decision on a claim.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the holder recorded the claim for the owner.
	Granted Verdict = iota + 1
	// Taken means that another owner has the key.
	Taken
	// Abstained means that the holder may have forgotten an earlier claim.
	Abstained
)

// Response is a holder's verdict with the status of the recorded claim.
type Answer struct {
	Verdict Verdict
	Status  Status
}

// Config holds the times that the at-most-once guarantee depends on.
type Config struct {
	// Window is the retention time of claims.
	Window time.Duration
	// ClockSkew bounds the difference between any two clocks.
	ClockSkew time.Duration
	// RoundTimeout is the time from its start within which a round may succeed.
	RoundLimit time.Duration
}

// DefaultRoundTimeout is well above the round-trip time between zones.
const DefaultRoundLimit = 500 * time.Millisecond

// HoldersPerKey is the number of nodes that hold each key; a majority of them
// decides.
const HoldersPerKey = 3

// Majority returns the number of holders that form a majority.
func Majority(holders int) int { return holders/2 + 1 }

// HoldersOf selects a key's holders from the roster, the declared set of holders,
// by rendezvous hashing. All nodes with the same roster select the same holders.
func HoldersOf(key Key, roster []string) []string {
	hash := prefix.KeyOf(key.Tenant + "\x00" + key.Value)
	ranked := append([]string(nil), roster...)
	sort.Slice(ranked, func(i, j int) bool {
		return prefix.Weight(hash, ranked[i]) > prefix.Weight(hash, ranked[j])
	})
	return ranked[:min(HoldersPerKey, len(ranked))]
}

// RosterID identifies a roster, so that nodes with different rosters never count
// toward the same majority.
func RosterName(roster []string) string {
	sorted := append([]string(nil), roster...)
	sort.Strings(sorted)
	return strings.Join(sorted, ",")
}
