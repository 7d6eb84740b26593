package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Snapshot is a compiled declaration. It is immutable: a node applies a new one by
// swapping a pointer.
type Snapshot struct {
	// Revision is the key-value service's revision of the declaration.
	Revision int64
	// ChangeID identifies the change that created this revision.
	ChangeID    string
	Declaration *Declaration

	tenants           map[string]*Tenant
	tenantsByDigest   map[[sha256.Size]byte]*Tenant
	operatorsByDigest map[[sha256.Size]byte]*Operator
	classes           map[string]*Class
	models            map[string]*Model
	pools             map[string]*Pool
	draining          map[string]bool
}

// Compile builds the lookup tables of a declaration that passed validation.
func Compile(revision int64, changeID string, declaration *Declaration) *Snapshot {
	snapshot := &Snapshot{
		Revision:          revision,
		ChangeID:          changeID,
		Declaration:       declaration,
		tenants:           make(map[string]*Tenant, len(declaration.Tenants)),
		tenantsByDigest:   make(map[[sha256.Size]byte]*Tenant, len(declaration.Tenants)),
		operatorsByDigest: make(map[[sha256.Size]byte]*Operator, len(declaration.Operators)),
		classes:           make(map[string]*Class, len(declaration.Classes)),
		models:            make(map[string]*Model, len(declaration.Models)),
		pools:             make(map[string]*Pool, len(declaration.Pools)),
		draining:          make(map[string]bool, len(declaration.Draining)),
	}
	for index := range declaration.Tenants {
		tenant := &declaration.Tenants[index]
		snapshot.tenants[tenant.Name] = tenant
		for _, digest := range tenant.KeyDigests {
			snapshot.tenantsByDigest[binaryDigest(digest)] = tenant
		}
	}
	for index := range declaration.Operators {
		snapshot.operatorsByDigest[binaryDigest(declaration.Operators[index].KeyDigest)] = &declaration.Operators[index]
	}
	for index := range declaration.Classes {
		snapshot.classes[declaration.Classes[index].Name] = &declaration.Classes[index]
	}
	for index := range declaration.Models {
		snapshot.models[declaration.Models[index].Name] = &declaration.Models[index]
	}
	for index := range declaration.Pools {
		snapshot.pools[declaration.Pools[index].Name] = &declaration.Pools[index]
	}
	for _, name := range declaration.Draining {
		snapshot.draining[name] = true
	}
	return snapshot
}

// Digest returns the SHA-256 digest of a key in the hexadecimal form used in declarations.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// decodeDigest decodes a validated hexadecimal digest, which halves its memory.
func binaryDigest(digest string) [sha256.Size]byte {
	var binary [sha256.Size]byte
	_, _ = hex.Decode(binary[:], []byte(digest))
	return binary
}

// TenantOfKey returns the tenant that owns the key.
func (snapshot *Snapshot) TenantOfKey(key string) (*Tenant, bool) {
	tenant, found := snapshot.tenantsByDigest[sha256.Sum256([]byte(key))]
	return tenant, found
}

// Tenant returns a tenant by name.
func (snapshot *Snapshot) Tenant(name string) (*Tenant, bool) {
	tenant, found := snapshot.tenants[name]
	return tenant, found
}

// OperatorOfKey returns the operator that owns the key.
func (snapshot *Snapshot) OperatorOfKey(key string) (*Operator, bool) {
	operator, found := snapshot.operatorsByDigest[sha256.Sum256([]byte(key))]
	return operator, found
}

// Class returns a job class by name.
func (snapshot *Snapshot) Class(name string) (*Class, bool) {
	class, found := snapshot.classes[name]
	return class, found
}

// Model returns a model by name.
func (snapshot *Snapshot) Model(name string) (*Model, bool) {
	model, found := snapshot.models[name]
	return model, found
}

// Draining reports whether the backend is declared as draining.
func (snapshot *Snapshot) Draining(backend string) bool {
	return snapshot.draining[backend]
}

// PoolsFor returns the tenant's pools that serve the model. An empty list means that
// the model does not exist or that the tenant may not use it: clients must not be able
// to tell these apart.
func (snapshot *Snapshot) PoolsFor(tenant *Tenant, model string) []*Pool {
	pools := []*Pool{}
	for _, name := range tenant.Pools {
		pool, found := snapshot.pools[name]
		if !found {
			continue
		}
		for _, served := range pool.Models {
			if served == model {
				pools = append(pools, pool)
			}
		}
	}
	return pools
}

// ModelsFor returns the models that the tenant may use, in declaration order.
func (snapshot *Snapshot) ModelsFor(tenant *Tenant) []*Model {
	models := []*Model{}
	for index := range snapshot.Declaration.Models {
		model := &snapshot.Declaration.Models[index]
		if len(snapshot.PoolsFor(tenant, model.Name)) > 0 {
			models = append(models, model)
		}
	}
	return models
}

// ServiceFor returns the service and route of a plain request, or nil. The longest
// matching path wins; services that the tenant may not call are ignored.
func (snapshot *Snapshot) ServiceFor(tenant *Tenant, method, path string) (*Service, *Route) {
	var service *Service
	var route *Route
	for index := range snapshot.Declaration.Services {
		candidate := &snapshot.Declaration.Services[index]
		if !admits(candidate, tenant) {
			continue
		}
		for position := range candidate.Routes {
			offered := &candidate.Routes[position]
			if offered.Method == method && matches(offered.Path, path) && (route == nil || len(offered.Path) > len(route.Path)) {
				service, route = candidate, offered
			}
		}
	}
	return service, route
}

func admits(service *Service, tenant *Tenant) bool {
	if len(service.Tenants) == 0 {
		return true
	}
	for _, name := range service.Tenants {
		if name == tenant.Name {
			return true
		}
	}
	return false
}

func matches(prefix, path string) bool {
	return path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}
