// Package configstore keeps the declaration in the key-value service, split
// into parts so that a change moves only what it touches.
package configstore

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configuration"
)

const (
	basePart = "base"
	// tenantsPerPart is the size aimed at; a part of it is about 10 KB.
	tenantsPerPart = 64
	// maximumTenantParts bounds the manifest.
	maximumTenantParts = 512
	digestBytes        = 12
)

// Part is one piece of a declaration. Its digest names its content, so a part
// once stored never changes.
type Part struct {
	Name   string
	Digest string
	Data   []byte
}

// PartName names one part's content.
type PartName struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Manifest lists the parts of one revision.
type Manifest struct {
	ChangeID string     `json:"changeID"`
	Parts    []PartName `json:"parts"`
}

// Split cuts a declaration into parts: one for everything but the tenants, and
// the tenants by hash of their name. The number of tenant parts is a power of
// two that grows with the number of tenants, so it changes seldom.
func Split(declaration *configuration.Declaration) ([]Part, error) {
	base := *declaration
	base.Tenants = nil
	parts := []Part{}
	data, err := json.Marshal(base)
	if err != nil {
		return nil, errors.Trace(err)
	}
	parts = append(parts, newPart(basePart, data))
	count := uint64(1)
	for int(count)*tenantsPerPart < len(declaration.Tenants) && count < maximumTenantParts {
		count *= 2
	}
	buckets := make([][]configuration.Tenant, count)
	for _, tenant := range declaration.Tenants {
		bucket := xxhash.Sum64String(tenant.Name) % count
		buckets[bucket] = append(buckets[bucket], tenant)
	}
	for index, bucket := range buckets {
		sort.Slice(bucket, func(i, j int) bool { return bucket[i].Name < bucket[j].Name })
		data, err := json.Marshal(bucket)
		if err != nil {
			return nil, errors.Trace(err)
		}
		parts = append(parts, newPart(fmt.Sprintf("tenants/%03x", index), data))
	}
	return parts, nil
}

func newPart(name string, data []byte) Part {
	sum := sha256.Sum256(data)
	return Part{Name: name, Digest: hex.EncodeToString(sum[:digestBytes]), Data: data}
}

// Join puts a declaration together. Parts whose content does not match their
// digest are refused.
func Join(parts []Part) (*configuration.Declaration, error) {
	declaration := &configuration.Declaration{}
	for _, part := range parts {
		if newPart(part.Name, part.Data).Digest != part.Digest {
			return nil, errors.Errorf("part %s does not match its digest; it is fetched again", part.Name)
		}
		if part.Name == basePart {
			if err := json.Unmarshal(part.Data, declaration); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	declaration.Tenants = []configuration.Tenant{}
	for _, part := range parts {
		if part.Name == basePart {
			continue
		}
		var tenants []configuration.Tenant
		if err := json.Unmarshal(part.Data, &tenants); err != nil {
			return nil, errors.Trace(err)
		}
		declaration.Tenants = append(declaration.Tenants, tenants...)
	}
	sort.Slice(declaration.Tenants, func(i, j int) bool { return declaration.Tenants[i].Name < declaration.Tenants[j].Name })
	return declaration, nil
}
