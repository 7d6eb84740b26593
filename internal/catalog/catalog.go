// Package catalog holds the operators' declaration of opaque services in the form used to serve
// requests: routes, services, tenants and limits. A Snapshot is immutable; a newer one replaces
// it as a whole.
package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverrail/cloverrail/internal/quota"
)

// ExecutionPolicy determines how often a request of a route may be executed.
type ExecutionPolicy int

// The execution policies.
const (
	// AtMostOnce is for requests that may be executed at most once.
	AtMostOnce ExecutionPolicy = iota
	// Idempotent is for requests that may be executed repeatedly.
	Idempotent
	// Stream is for requests that are answered with an event stream.
	Stream
)

// Share is one service's share of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route determines the services and bounds for requests to a host with a path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       ExecutionPolicy
	// Timeout is the longest time for which a request may be held; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the target time to the answer, or to the first event of a stream.
	TargetLatency time.Duration
	// GapTarget is the longest time between two events of a stream.
	GapTarget time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts bounds the number of servers that one request may be executed on.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another server after the last event.
	Resumable bool
}

// Retryable reports whether a request may be executed again.
func (route *Route) Retryable() bool {
	return route.Kind == Idempotent || (route.Kind == Stream && route.Resumable)
}

// Engine declares the properties of the inference servers of a service.
type Engine struct {
	// Slots is the number of requests that a server executes concurrently.
	Slots int
	// CacheTokens is the capacity of a server's KV cache.
	CacheTokens int
	// TokenBytes is the size of one cached token.
	TokenBytes float64
	// LinkBitsPerSecond is the bandwidth at which a server receives cached tokens.
	LinkBitsPerSecond float64
}

// PrefixStore is a KV cache store that engines save to and fetch from.
type PrefixStore struct {
	Address           string
	Zone              string
	CapacityTokens    int
	LinkBitsPerSecond float64
}

// Service is a set of interchangeable servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one server accepts from all clients.
	MaxConnections int
	// Engine is nil for services without inference servers.
	Engine *Engine
	// Store is set for a KV cache store, which receives no requests.
	Store *PrefixStore
}

// Tenant is the owner of API keys.
type Tenant struct {
	Name string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated tenants share no cached prefix with others.
	Isolated bool
	// Limit is the tenant's fleet-wide rate limit.
	Limit quota.Limit
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is the operators' document, parsed but not indexed.
type Declaration struct {
	// Version only ever increases.
	Version  int64
	Routes   []Route
	Services []Service
	Tenants  []TenantKeys
	Limits   Limits
}

// TenantKeys is a tenant with its API keys.
type TenantKeys struct {
	Tenant
	Keys []string
}

// Snapshot is an indexed declaration.
type Snapshot struct {
	Version      int64
	Limits       Limits
	declaration  *Declaration
	routes       map[string][]*Route
	services     map[string]*Service
	stores       []*PrefixStore
	tenants      map[uint64][]tenantKey
	requiresKeys bool
	// isolated identifies the set of isolated tenants; "" if there are none.
	isolated string
	// mixed holds the services that routes of different priority share.
	mixed map[string]bool
}

type tenantKey struct {
	key    string
	tenant *Tenant
}

// New indexes a declaration.
func New(declaration Declaration) *Snapshot {
	snapshot := &Snapshot{
		Version:      declaration.Version,
		Limits:       declaration.Limits,
		declaration:  &declaration,
		routes:       map[string][]*Route{},
		services:     map[string]*Service{},
		tenants:      map[uint64][]tenantKey{},
		requiresKeys: len(declaration.Tenants) > 0,
	}
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		host := strings.ToLower(route.Host)
		snapshot.routes[host] = append(snapshot.routes[host], route)
	}
	for _, routes := range snapshot.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for index := range declaration.Services {
		service := &declaration.Services[index]
		snapshot.services[service.Name] = service
		if service.Store != nil {
			snapshot.stores = append(snapshot.stores, service.Store)
		}
	}
	snapshot.mixed = mixedServices(declaration.Routes, snapshot.services)
	for index := range declaration.Tenants {
		tenantKeys := &declaration.Tenants[index]
		for _, key := range tenantKeys.Keys {
			digest := xxhash.Sum64String(key)
			snapshot.tenants[digest] = append(snapshot.tenants[digest], tenantKey{key: key, tenant: &tenantKeys.Tenant})
		}
	}
	snapshot.isolated = isolatedDigest(declaration.Tenants)
	return snapshot
}

// isolatedDigest returns the same text for the same set of isolated tenants, and another one for any other set.
func isolatedDigest(tenants []TenantKeys) string {
	names := []string{}
	for _, tenant := range tenants {
		if tenant.Isolated {
			names = append(names, tenant.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	digest := sha256.New()
	for _, name := range slices.Compact(names) {
		// Length prefixes separate the names.
		_ = binary.Write(digest, binary.BigEndian, uint32(len(name)))
		digest.Write([]byte(name))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// FindRoute returns the route of the host with the longest matching prefix of the path, or nil
// if there is none. The path is used as sent, without the query.
func (snapshot *Snapshot) FindRoute(host, path string) *Route {
	for _, route := range snapshot.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port of a host and converts it to lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a service, or nil.
func (snapshot *Snapshot) Service(name string) *Service { return snapshot.services[name] }

// Declaration returns the declaration of the snapshot. It must not be modified.
func (snapshot *Snapshot) Declaration() *Declaration { return snapshot.declaration }

// Stores returns the KV cache stores.
func (snapshot *Snapshot) Stores() []*PrefixStore { return snapshot.stores }

// RequiresKeys reports whether routes that are not public require a key.
func (snapshot *Snapshot) RequiresKeys() bool { return snapshot.requiresKeys }

// IsolatedTenants returns a text that identifies the set of isolated tenants, the same at all nodes; "" if there are none.
func (snapshot *Snapshot) IsolatedTenants() string { return snapshot.isolated }

// TenantOf returns the tenant that holds the key, or nil.
func (snapshot *Snapshot) TenantOf(key string) *Tenant {
	for _, candidate := range snapshot.tenants[xxhash.Sum64String(key)] {
		if candidate.key == key {
			return candidate.tenant
		}
	}
	return nil
}
