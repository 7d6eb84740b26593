// Package configstore stores the declaration in the key-value service, split
// into content-addressed parts so that a change writes and transfers only the
// parts that differ.
package configstore

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configuration"
)

const (
	basePart = "base"
	// tenantsPerPart is the target size; a part of 64 tenants is about 10 KB.
	tenantsPerPart = 64
	// maxTenantParts bounds the size of the manifest.
	maxTenantParts = 512
	digestBytes    = 12
)

// Part is one piece of a declaration. A part is identified by the digest of its
// content, so a stored part never changes.
type Part struct {
	Name   string
	Digest string
	Data   []byte
	// tenants replaces Data once the version is compiled. It is a subslice of the
	// compiled declaration, so that each tenant is in memory once.
	tenants []configuration.Tenant
}

// Bytes returns the part's content, encoded again from its tenants if Data was
// released.
func (part *Part) Bytes() ([]byte, error) {
	if part.tenants == nil {
		return part.Data, nil
	}
	return json.Marshal(part.tenants)
}

// PartName identifies a part by name and content digest.
type PartName struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Manifest lists the parts of one revision.
type Manifest struct {
	ChangeID string     `json:"changeID"`
	Parts    []PartName `json:"parts"`
}

// Split divides a declaration into a base part, which holds everything but the
// tenants, and tenant parts, bucketed by hash of the tenant name. The number of
// tenant parts is a power of two that grows with the number of tenants, so it
// rarely changes.
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
	for int(count)*tenantsPerPart < len(declaration.Tenants) && count < maxTenantParts {
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

// Join assembles a declaration from its parts. It fails if a part's content does
// not match its digest.
func Join(parts []Part) (*configuration.Declaration, error) {
	for _, part := range parts {
		if part.tenants == nil && newPart(part.Name, part.Data).Digest != part.Digest {
			return nil, errors.Errorf("part %s does not match its digest; it will be fetched again", part.Name)
		}
	}
	declaration, err := decodeBase(parts)
	if err != nil {
		return nil, err
	}
	declaration.Tenants = []configuration.Tenant{}
	for _, part := range parts {
		tenants, err := part.decodeTenants()
		if err != nil {
			return nil, err
		}
		declaration.Tenants = append(declaration.Tenants, tenants...)
	}
	declaration.Tenants = slices.Clip(declaration.Tenants)
	return declaration, nil
}

// decodeBase decodes everything in a declaration except its tenants.
func decodeBase(parts []Part) (*configuration.Declaration, error) {
	declaration := &configuration.Declaration{}
	for _, part := range parts {
		if part.Name == basePart {
			return declaration, errors.Trace(json.Unmarshal(part.Data, declaration))
		}
	}
	return declaration, nil
}

// decodeTenants returns the tenants of the part. Tenants of a part that is
// already compiled are reused from the previous version.
func (part *Part) decodeTenants() ([]configuration.Tenant, error) {
	if part.Name == basePart || part.tenants != nil {
		return part.tenants, nil
	}
	var tenants []configuration.Tenant
	err := json.Unmarshal(part.Data, &tenants)
	return tenants, errors.Trace(err)
}

// shareTenants makes tenant parts refer to the declaration's tenants, which are
// in the order of the parts, and releases the encoded content.
func shareTenants(parts []Part, declaration *configuration.Declaration) error {
	start := 0
	for index := range parts {
		if parts[index].Name == basePart {
			continue
		}
		tenants, err := parts[index].decodeTenants()
		if err != nil {
			return err
		}
		end := start + len(tenants)
		parts[index].tenants = declaration.Tenants[start:end:end]
		parts[index].Data = nil
		start = end
	}
	return nil
}
