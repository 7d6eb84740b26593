package proxy

import (
	"strconv"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// prompt returns the request's prompt, or nil for requests to plain services.
func (placer *placer) prompt() *Prompt { return placer.admitted.prompt() }

func (admitted *admitted) prompt() *Prompt {
	if admitted.service.Engine == nil {
		return nil
	}
	return admitted.request.Prompt
}

// cacheBuild is what must be equal for servers to use the same KV cache: the version of the weights and
// that of the software.
type cacheBuild struct {
	weights  int64
	software string
}

func cacheBuildOf(c *routing.Candidate) cacheBuild {
	return cacheBuild{weights: c.Version, software: c.Software}
}

// piecesAt returns the cache keys of the shared parts at servers of a build.
func (placer *placer) piecesAt(build cacheBuild) []residency.Piece {
	if pieces, found := placer.pieces[build]; found {
		return pieces
	}
	salt := placer.salt(build)
	pieces := []residency.Piece{}
	for _, part := range placer.sharedParts() {
		pieces = append(pieces, residency.Piece{Key: residency.NewKey(salt, part.ID), Tokens: part.Tokens})
	}
	placer.pieces[build] = pieces
	return pieces
}

// sharedParts returns the parts that other requests may share: all but the last.
func (placer *placer) sharedParts() []Part { return placer.admitted.sharedParts() }

func (admitted *admitted) sharedParts() []Part {
	prompt := admitted.prompt()
	if prompt == nil || len(prompt.Parts) == 0 {
		return nil
	}
	return prompt.Parts[:len(prompt.Parts)-1]
}

// sharedTokens returns the length of the shared parts in tokens.
func (placer *placer) sharedTokens() int {
	tokens := 0
	for _, part := range placer.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// affinityKey returns the rendezvous key of the last shared part. Requests that share
// this part also share all parts before it.
func (placer *placer) affinityKey() prefix.Hash {
	shared := placer.sharedParts()
	if len(shared) == 0 {
		return prefix.HashName(placer.admitted.request.ID)
	}
	return prefix.HashName(placer.cacheScope() + "/" + shared[len(shared)-1].ID)
}

// subsetKey returns the key of the first shared part. Requests that share this part choose
// from the same subset of servers, so that few servers compute it and others can import it
// from nearby.
func (placer *placer) subsetKey() prefix.Hash {
	shared := placer.sharedParts()
	if len(shared) == 0 {
		return placer.affinityKey()
	}
	return prefix.HashName(placer.cacheScope() + "/" + shared[0].ID)
}

// cacheScope returns the tenant's name if the tenant is isolated, which keeps its cached
// prefixes from being shared with others, and else "".
func (placer *placer) cacheScope() string {
	tenant := placer.admitted.tenant
	if tenant == nil || !tenant.Isolated {
		return ""
	}
	return tenant.Name
}

// salt returns the salt that separates cached prefixes of different cache scopes, models
// and builds.
func (placer *placer) salt(build cacheBuild) string {
	scope := placer.cacheScope()
	// What a tenant has made before it was isolated stays in the scope that it shared, which is no longer used then.
	isolated := ""
	if scope == "" {
		isolated = placer.admitted.replica.Snapshot.IsolatedTenants()
	}
	return prefix.Salt(nil, prefix.Identity{
		Tenant:   scope,
		Isolated: isolated,
		Model:    placer.prompt().Model,
		Version:  strconv.FormatInt(build.weights, 10) + " " + build.software,
	})
}
