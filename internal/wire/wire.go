// Package wire defines the messages of calls between nodes. Every call is safe to
// retry.
package wire

import (
	"encoding/gob"
	"time"

	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// SyncRequest asks a peer for its complete view of members and items, unless the
// views are equal.
type SyncRequest struct {
	// Self is the requester, which the peer may not know yet.
	Self membership.Member
	// Digest is the digest of the requester's view.
	Digest uint64
}

// SyncResponse carries the peer's view.
type SyncResponse struct {
	// Same is set if the view is omitted because the digests are equal.
	Same     bool
	Members  []membership.Member
	Items    []membership.Item
	Revision int64
}

// ConfigurationRequest asks for the configuration in force at the peer, except
// for the parts that the requester already has.
type ConfigurationRequest struct {
	Held []configstore.PartName
}

// ConfigurationResponse carries the peer's version; Revision 0 means that it has
// none.
type ConfigurationResponse struct {
	Revision int64
	Manifest configstore.Manifest
	Parts    []configstore.Part
}

// IndexUpdateRequest sends cache changes and a load report of one engine to a
// node that holds an index partition.
type IndexUpdateRequest struct {
	// Reader is the peer address of the node that observes the engine.
	Reader string
	// Sequence numbers the updates from this node about this engine to this
	// receiver.
	Sequence uint64
	Update   prefixindex.Update
	Load     engineapi.Load
}

// IndexUpdateResponse reports whether the receiver missed an update and needs
// the full state.
type IndexUpdateResponse struct {
	NeedAll bool
}

// LookupRequest asks the index partition of a chain's first block which engines
// hold the chain.
type LookupRequest struct {
	Chain []prefix.Hash
}

// Holding reports how much of a chain an engine holds, and the engine's last
// load report.
type Holding struct {
	prefixindex.Depth
	Load engineapi.Load
	// LoadAge is the age of the load report.
	LoadAge time.Duration
}

// LookupResponse lists the holders of the longest prefixes, at most MaxHoldings.
type LookupResponse struct {
	Holdings []Holding
}

// MaxHoldings bounds a response. An engine that holds less than the engines
// listed is rarely chosen for its cache contents.
const MaxHoldings = 4

// ClaimRequest asks a holder to grant a key to an owner.
type ClaimRequest struct {
	Roster string
	Key    claim.Key
	Owner  string
}

// ClaimResponse carries the holder's verdict.
type ClaimResponse struct {
	Answer claim.Response
}

// ConcludeRequest reports the final status of a claim to a holder.
type ConcludeRequest struct {
	Key    claim.Key
	Owner  string
	Status claim.Status
}

// ConcludeResponse acknowledges a ConcludeRequest.
type ConcludeResponse struct{}

// ClaimListRequest asks a holder for all its claims, for recovery.
type ClaimListRequest struct {
	Roster string
}

// ClaimListResponse lists the holder's claims.
type ClaimListResponse struct {
	// Adopted is set if the node has the requester's roster in force and grants
	// under no other.
	Adopted bool
	// Joined is set if the node knows the claims that the holders of the previous
	// roster granted, Complete if it knows all claims of the window, and
	// KnowsEarlier if it knows all claims that it granted itself under the previous
	// roster.
	Joined       bool
	Complete     bool
	KnowsEarlier bool
	Records      []claim.Record
}

// TokenRequest asks the node that issues a tenant's rate limit tokens for some.
type TokenRequest struct {
	Tenant string
	Want   int
}

// TokenResponse carries the number of tokens issued.
type TokenResponse struct {
	Tokens int
	// Unknown is set if the node does not know the tenant's limit yet, so that zero
	// tokens does not mean that the limit is exhausted.
	Unknown bool
}

// init registers the message types. The names are short because gob sends one
// with each message.
func init() {
	for name, message := range map[string]any{
		"sync?": SyncRequest{}, "sync": SyncResponse{},
		"conf?": ConfigurationRequest{}, "conf": ConfigurationResponse{},
		"idx?": IndexUpdateRequest{}, "idx": IndexUpdateResponse{},
		"look?": LookupRequest{}, "look": LookupResponse{},
		"claim?": ClaimRequest{}, "claim": ClaimResponse{},
		"done?": ConcludeRequest{}, "done": ConcludeResponse{},
		"all?": ClaimListRequest{}, "all": ClaimListResponse{},
		"take?": TokenRequest{}, "take": TokenResponse{},
	} {
		gob.RegisterName(name, message)
	}
}
