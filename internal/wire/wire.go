// Package wire defines the calls between nodes. All of them bear repetition.
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

// SyncRequest asks a peer for its whole view of members and items, unless it is
// the asker's own.
type SyncRequest struct {
	// Self is the asker, whom the peer may not know yet.
	Self membership.Member
	// Digest of the asker's view.
	Digest uint64
}

// SyncAnswer is that view.
type SyncAnswer struct {
	// Same says that the view is left out, since it has the asker's digest.
	Same     bool
	Members  []membership.Member
	Items    []membership.Item
	Revision int64
}

// ConfigurationRequest asks for the configuration in force at the peer, but for
// the parts that the asker holds.
type ConfigurationRequest struct {
	Held []configstore.PartName
}

// ConfigurationAnswer is the peer's version; Revision 0 means that it has none.
type ConfigurationAnswer struct {
	Revision int64
	Manifest configstore.Manifest
	Parts    []configstore.Part
}

// IndexUpdate brings cache changes and a load report of one engine to a node
// that keeps part of the index.
type IndexUpdate struct {
	Reader string
	// Sequence counts the updates of this reader for this engine and receiver.
	Sequence uint64
	Update   prefixindex.Update
	Load     engineapi.Load
}

// IndexAnswer says whether the receiver missed an update and needs all.
type IndexAnswer struct {
	NeedAll bool
}

// LookupRequest asks the home of a chain's first block who holds the chain.
type LookupRequest struct {
	Chain []prefix.Hash
}

// Holding says how much of a chain an engine holds, and its load as the home
// knows it.
type Holding struct {
	prefixindex.Depth
	Load engineapi.Load
	// LoadAge is how old the load report is.
	LoadAge time.Duration
}

// LookupAnswer lists the deepest holders, at most MaximumHoldings.
type LookupAnswer struct {
	Holdings []Holding
}

// MaximumHoldings bounds an answer: an engine that holds less than these others
// is hardly ever chosen for what it holds.
const MaximumHoldings = 4

// ClaimRequest asks a holder for a key.
type ClaimRequest struct {
	Roster string
	Key    claim.Key
	Owner  string
}

// ClaimAnswer is the holder's answer.
type ClaimAnswer struct {
	Answer claim.Answer
}

// ConcludeRequest tells a holder how a claim ended.
type ConcludeRequest struct {
	Key    claim.Key
	Owner  string
	Status claim.Status
}

// ConcludeAnswer acknowledges it.
type ConcludeAnswer struct{}

// ClaimsRequest asks for all claims of a holder, to recover from.
type ClaimsRequest struct {
	Roster string
}

// ClaimsAnswer lists them.
type ClaimsAnswer struct {
	// Adopted says that the node has the asker's roster in force, and grants under
	// no other.
	Adopted bool
	// Joined says that it knows what the holders before granted; Complete, that it
	// knows all claims of the window; KnowsEarlier, all that it granted itself
	// under the roster before.
	Joined       bool
	Complete     bool
	KnowsEarlier bool
	Records      []claim.Record
}

// TakeRequest asks a tenant's ledger for tokens.
type TakeRequest struct {
	Tenant string
	Want   int
}

// TakeAnswer is how many were given.
type TakeAnswer struct {
	Tokens int
	// Unknown says that the node does not know the tenant's limit yet: none given does not mean
	// that it is used up.
	Unknown bool
}

// Names of messages are short, since they travel with each one.
func init() {
	for name, message := range map[string]any{
		"sync?": SyncRequest{}, "sync": SyncAnswer{},
		"conf?": ConfigurationRequest{}, "conf": ConfigurationAnswer{},
		"idx?": IndexUpdate{}, "idx": IndexAnswer{},
		"look?": LookupRequest{}, "look": LookupAnswer{},
		"claim?": ClaimRequest{}, "claim": ClaimAnswer{},
		"done?": ConcludeRequest{}, "done": ConcludeAnswer{},
		"all?": ClaimsRequest{}, "all": ClaimsAnswer{},
		"take?": TakeRequest{}, "take": TakeAnswer{},
	} {
		gob.RegisterName(name, message)
	}
}
