// Package configuration defines the operators' declarations: their types, which
// are the reference documentation, their validation, and the immutable snapshot
// compiled from them that every request reads.
package configuration

import "time"

// Declaration is everything that operators declare about one fleet.
type Declaration struct {
	// Version of this file format. Always 1.
	Version int `yaml:"version" json:"version" validate:"eq=1"`
	// Fleet names the deployment.
	Fleet string `yaml:"fleet" json:"fleet" validate:"required"`
	// Zones are the failure domains of nodes and backends.
	Zones []Zone `yaml:"zones" json:"zones" validate:"required,unique=Name,dive"`
	// Routing weighs queueing time against recomputation.
	Routing Routing `yaml:"routing" json:"routing"`
	// Claims configures at-most-once execution.
	Claims Claims `yaml:"claims" json:"claims"`
	// Classes are the job classes of requests.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,unique=Name,dive"`
	// Models are the model versions in service.
	Models []Model `yaml:"models" json:"models" validate:"unique=Name,dive"`
	// Pools are groups of engines.
	Pools []Pool `yaml:"pools" json:"pools" validate:"unique=Name,dive"`
	// Services are plain HTTP services, whose requests are forwarded by route.
	Services []Service `yaml:"services" json:"services" validate:"unique=Name,dive"`
	// Tenants are the customers that may send requests.
	Tenants []Tenant `yaml:"tenants" json:"tenants" validate:"unique=Name,dive"`
	// Operators may query the fleet and change its state.
	Operators []Operator `yaml:"operators" json:"operators" validate:"unique=Name,dive"`
	// Draining lists the names of backends that get no new requests.
	Draining []string `yaml:"draining" json:"draining"`
}

// Zone is a failure domain.
type Zone struct {
	Name   string `yaml:"name" json:"name" validate:"required"`
	Region string `yaml:"region" json:"region" validate:"required"`
	// OneWayLatency is the one-way latency to the other zones of the region.
	OneWay time.Duration `yaml:"oneWay" json:"oneWay" validate:"min=0"`
}

// Routing weighs the two costs of a placement, both in seconds of engine time.
type Routing struct {
	// WaitWeight multiplies the estimated time to the first token.
	WaitWeight float64 `yaml:"waitWeight" json:"waitWeight" validate:"min=0"`
	// WorkWeight multiplies the time spent recomputing prefixes.
	WorkWeight float64 `yaml:"workWeight" json:"workWeight" validate:"min=0"`
}

// Claims configures at-most-once execution. See docs/decisions/claims.md.
type Claims struct {
	// Holders are the peer addresses of the nodes that store claims.
	Holders []string `yaml:"holders" json:"holders" validate:"unique,dive,tcp_addr"`
	// Previous are the former holders while a change of holders is in progress. The
	// fleet maintains it; declarations cannot set it.
	Previous []string `yaml:"-" json:"previous,omitempty"`
	// Window is how long a claim is remembered. Duplicates that arrive later are not
	// detected.
	Window time.Duration `yaml:"window" json:"window" validate:"min=0"`
	// ClockSkew bounds the difference between any two clocks of clients and nodes.
	ClockSkew time.Duration `yaml:"clockSkew" json:"clockSkew" validate:"min=0"`
}

// Class is a job class.
type Class struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Priority orders classes; a higher one is served first.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// Deadline is the time after which a response is no longer useful.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	// QueueTimeout is how long a request may be queued before it is rejected as not
	// run.
	QueueTimeout time.Duration `yaml:"queueTimeout" json:"queueTimeout" validate:"gt=0"`
}

// Model is one model and the version of its weights in service.
type Model struct {
	Name     string   `yaml:"name" json:"name" validate:"required"`
	Version  string   `yaml:"version" json:"version" validate:"required"`
	Adapters []string `yaml:"adapters" json:"adapters"`
}

// Pool is a group of engines that serve the same models.
type Pool struct {
	Name   string   `yaml:"name" json:"name" validate:"required"`
	Models []string `yaml:"models" json:"models" validate:"required,min=1"`
	// BlockBytes is the size of the prompt text that one cached block covers.
	BlockBytes int `yaml:"blockBytes" json:"blockBytes" validate:"min=16"`
	// PrefillTokensPerSecond is the prefill rate of one engine for a single request.
	PrefillTokensPerSecond float64 `yaml:"prefillTokensPerSecond" json:"prefillTokensPerSecond" validate:"gt=0"`
	// LoadsAtOnce bounds the engines that load weights concurrently.
	LoadsAtOnce int `yaml:"loadsAtOnce" json:"loadsAtOnce" validate:"min=1"`
	// ConcurrentPerEngine bounds the concurrent streams of one node on one engine.
	ConcurrentPerEngine int `yaml:"concurrentPerEngine" json:"concurrentPerEngine" validate:"min=1"`
	// PrefixStore is the store of saved KV cache that the engines share, if any.
	KeptCache *KeptCache `yaml:"keptCache" json:"keptCache,omitempty" validate:"omitempty"`
	// Engines are the pool's backends.
	Engines []Backend `yaml:"engines" json:"engines" validate:"unique=Name,dive"`
}

// PrefixStore is the platform's store of saved KV cache.
type KeptCache struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"tcp_addr"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
	// TokensPerSecond is the rate at which one engine imports from the store.
	TokensPerSecond float64 `yaml:"tokensPerSecond" json:"tokensPerSecond" validate:"gt=0"`
}

// Backend is one process that serves requests.
type Backend struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"tcp_addr"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
}

// Service is a plain HTTP service.
type Service struct {
	Name    string    `yaml:"name" json:"name" validate:"required"`
	Routes  []Route   `yaml:"routes" json:"routes" validate:"required,dive"`
	Servers []Backend `yaml:"servers" json:"servers" validate:"unique=Name,dive"`
	// Tenants are the tenants that may call the service; empty means all.
	Tenants []string `yaml:"tenants" json:"tenants"`
}

// Route is one path of a plain service.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"oneof=GET POST PUT DELETE"`
	// Path matches as a prefix of whole path segments.
	Path string `yaml:"path" json:"path" validate:"required,startswith=/"`
	// Repeatable marks requests as idempotent. Requests of other routes run at most
	// once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
}

// Tenant is one customer.
type Tenant struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// KeyDigests are the SHA-256 digests of the tenant's keys, in hexadecimal.
	KeyDigests []string `yaml:"keyDigests" json:"keyDigests" validate:"required,dive,len=64,hexadecimal"`
	// Pools are the pools that the tenant may use.
	Pools []string `yaml:"pools" json:"pools"`
	// Class is the job class of requests that do not specify one.
	Class string `yaml:"class" json:"class" validate:"required"`
	// Priority overrides the priority of the class if it is above 0.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// Weight is the tenant's share under contention.
	Weight float64 `yaml:"weight" json:"weight" validate:"gt=0"`
	// Limits bounds the tenant's usage.
	Limits Limits `yaml:"limits" json:"limits"`
}

// Limits bounds the usage of one tenant.
type Limits struct {
	// RequestsPerSecond is the request rate over all nodes.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" validate:"gt=0"`
	// Burst is the burst size in requests.
	Burst int `yaml:"burst" json:"burst" validate:"min=1"`
	// Streams is the number of concurrent streams on one node.
	Streams int `yaml:"streams" json:"streams" validate:"min=1"`
}

// Operator is a person or tool that may query the fleet and change its state.
type Operator struct {
	Name      string `yaml:"name" json:"name" validate:"required"`
	KeyDigest string `yaml:"keyDigest" json:"keyDigest" validate:"len=64,hexadecimal"`
}
