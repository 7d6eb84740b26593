// Package configstore keeps the declaration in the key-value service, split
// into parts so that a change moves only what it touches.
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
	// tenants takes the place of Data once the part is compiled; it is a window
	// on the compiled declaration, so that tenants are held once.
	tenants []configuration.Tenant
}

// Bytes returns the part's content, made again from its tenants if need be.
func (part *Part) Bytes() ([]byte, error) {
	if part.tenants == nil {
		return part.Data, nil
	}
	return json.Marshal(part.tenants)
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
	for _, part := range parts {
		if part.tenants == nil && newPart(part.Name, part.Data).Digest != part.Digest {
			return nil, errors.Errorf("part %s does not match its digest; it is fetched again", part.Name)
		}
	}
	declaration, err := readBase(parts)
	if err != nil {
		return nil, err
	}
	declaration.Tenants = []configuration.Tenant{}
	for _, part := range parts {
		tenants, err := part.read()
		if err != nil {
			return nil, err
		}
		declaration.Tenants = append(declaration.Tenants, tenants...)
	}
	declaration.Tenants = slices.Clip(declaration.Tenants)
	return declaration, nil
}

// readBase reads all of a declaration but its tenants.
func readBase(parts []Part) (*configuration.Declaration, error) {
	declaration := &configuration.Declaration{}
	for _, part := range parts {
		if part.Name == basePart {
			return declaration, errors.Trace(json.Unmarshal(part.Data, declaration))
		}
	}
	return declaration, nil
}

// read returns the tenants of the part; those of an unchanged part are taken
// from the version before.
func (part *Part) read() ([]configuration.Tenant, error) {
	if part.Name == basePart || part.tenants != nil {
		return part.tenants, nil
	}
	var tenants []configuration.Tenant
	err := json.Unmarshal(part.Data, &tenants)
	return tenants, errors.Trace(err)
}

// release lets go of the content of tenant parts, which the declaration holds
// in the order of the parts.
func release(parts []Part, declaration *configuration.Declaration) error {
	start := 0
	for index := range parts {
		if parts[index].Name == basePart {
			continue
		}
		tenants, err := parts[index].read()
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
