package proxy

import (
	"strconv"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/residency"
)

// prompt is nil for requests to plain services.
func (placer *placer) prompt() *Prompt {
	if placer.admitted.service.Engine == nil {
		return nil
	}
	return placer.admitted.request.Prompt
}

// named returns the shared parts as they are named at a version.
func (placer *placer) named(version int64) []residency.Piece {
	if pieces, found := placer.pieces[version]; found {
		return pieces
	}
	salt := placer.salt(version)
	pieces := []residency.Piece{}
	for _, part := range placer.shared() {
		pieces = append(pieces, residency.Piece{Key: residency.NewKey(salt, part.ID), Tokens: part.Tokens})
	}
	placer.pieces[version] = pieces
	return pieces
}

// shared returns the parts that other requests may have in common with this one.
func (placer *placer) shared() []Part {
	parts := placer.admitted.request.Prompt.Parts
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// sharedTokens is the length of the shared parts.
func (placer *placer) sharedTokens() int {
	tokens := 0
	for _, part := range placer.shared() {
		tokens += part.Tokens
	}
	return tokens
}

// affinityKey is the last shared part: requests that share it, share all before.
func (placer *placer) affinityKey() prefix.Hash {
	shared := placer.shared()
	if len(shared) == 0 {
		return prefix.KeyOf(placer.admitted.request.ID)
	}
	return prefix.KeyOf(placer.wall() + "/" + shared[len(shared)-1].ID)
}

// neighbourhoodKey is the first shared part: requests that share it choose from the same
// servers, so that it is read in few places and fetched from near ones.
func (placer *placer) neighbourhoodKey() prefix.Hash {
	shared := placer.shared()
	if len(shared) == 0 {
		return placer.affinityKey()
	}
	return prefix.KeyOf(placer.wall() + "/" + shared[0].ID)
}

// wall is the tenant's name if nothing that is cached for it may be shared.
func (placer *placer) wall() string {
	tenant := placer.admitted.tenant
	if tenant == nil || !tenant.Isolated {
		return ""
	}
	return tenant.Name
}

// salt keeps cached prefixes of different walls, models and versions apart.
func (placer *placer) salt(version int64) string {
	return prefix.Salt(nil, prefix.Identity{
		Tenant:  placer.wall(),
		Model:   placer.prompt().Model,
		Version: strconv.FormatInt(version, 10),
	})
}
