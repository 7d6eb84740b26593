package configuration

import (
	"fmt"
	"time"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// Defaults of fields that a declaration may omit.
const (
	DefaultClaimWindow = 10 * time.Minute
	DefaultClockSkew   = 500 * time.Millisecond
)

// Parse reads one declaration from YAML. The file name is used in error messages only.
func Parse(file string, data []byte) (*Declaration, error) {
	declaration := &Declaration{Claims: Claims{Window: DefaultClaimWindow, ClockSkew: DefaultClockSkew}}
	if err := strictyaml.Decode(file, data, declaration); err != nil {
		return nil, err
	}
	return declaration, nil
}

// Check reports undeclared references, duplicate names and keys, and too few claim holders.
func (declaration *Declaration) Check(report func(path, problem, remedy string)) {
	zones := nameSet(declaration.Zones, func(zone Zone) string { return zone.Name })
	models := nameSet(declaration.Models, func(model Model) string { return model.Name })
	pools := nameSet(declaration.Pools, func(pool Pool) string { return pool.Name })
	classes := nameSet(declaration.Classes, func(class Class) string { return class.Name })
	tenants := nameSet(declaration.Tenants, func(tenant Tenant) string { return tenant.Name })

	checkReference := func(known map[string]bool, path, kind, name string) {
		if !known[name] {
			report(path, fmt.Sprintf("unknown %s %q", kind, name), "declare it, or correct the name")
		}
	}
	backends := map[string]string{}
	checkBackend := func(path string, server Backend) {
		checkReference(zones, path+".zone", "zone", server.Zone)
		if first, duplicate := backends[server.Name]; duplicate {
			report(path+".name", fmt.Sprintf("%q is already used at %s", server.Name, first), "give every backend a unique name")
		}
		backends[server.Name] = path
	}
	for index, pool := range declaration.Pools {
		path := fmt.Sprintf("pools[%d]", index)
		for position, model := range pool.Models {
			checkReference(models, fmt.Sprintf("%s.models[%d]", path, position), "model", model)
		}
		if pool.PrefixStore != nil {
			checkBackend(path+".keptCache", Backend{Name: pool.PrefixStore.Name, Zone: pool.PrefixStore.Zone})
		}
		for position, engine := range pool.Engines {
			checkBackend(fmt.Sprintf("%s.engines[%d]", path, position), engine)
		}
	}
	for index, service := range declaration.Services {
		path := fmt.Sprintf("services[%d]", index)
		for position, server := range service.Servers {
			checkBackend(fmt.Sprintf("%s.servers[%d]", path, position), server)
		}
		for position, tenant := range service.Tenants {
			checkReference(tenants, fmt.Sprintf("%s.tenants[%d]", path, position), "tenant", tenant)
		}
	}
	digests := map[string]string{}
	checkDigest := func(path, value string) {
		if first, duplicate := digests[value]; duplicate {
			report(path, "the same key digest is already used at "+first, "give every tenant and operator a unique key")
		}
		digests[value] = path
	}
	for index, tenant := range declaration.Tenants {
		path := fmt.Sprintf("tenants[%d]", index)
		checkReference(classes, path+".class", "class", tenant.Class)
		for position, pool := range tenant.Pools {
			checkReference(pools, fmt.Sprintf("%s.pools[%d]", path, position), "pool", pool)
		}
		for position, value := range tenant.KeyDigests {
			checkDigest(fmt.Sprintf("%s.keyDigests[%d]", path, position), value)
		}
	}
	for index, operator := range declaration.Operators {
		checkDigest(fmt.Sprintf("operators[%d].keyDigest", index), operator.KeyDigest)
	}
	if count := len(declaration.Claims.Holders); count > 0 && count < 3 {
		report("claims.holders", fmt.Sprintf("%d holders cannot tolerate the loss of one", count), "name at least 3 nodes, in different zones")
	}
}

func nameSet[Item any](items []Item, name func(Item) string) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[name(item)] = true
	}
	return names
}

// HasBackend reports whether an engine or server with the given name is declared.
func (declaration *Declaration) HasBackend(name string) bool {
	for _, pool := range declaration.Pools {
		for _, engine := range pool.Engines {
			if engine.Name == name {
				return true
			}
		}
	}
	for _, service := range declaration.Services {
		for _, server := range service.Servers {
			if server.Name == name {
				return true
			}
		}
	}
	return false
}
