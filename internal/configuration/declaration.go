// Package configuration holds the operators' declarations: their types, which
// are the reference, their checks, and the immutable snapshot compiled from
// them that every request reads.
package configuration

import "time"

// Declaration is everything that operators declare about one fleet.
type Declaration struct {
	// Version of this file format. Always 1.
	Version int `yaml:"version" json:"version" validate:"eq=1"`
	// Fleet names the deployment.
	Fleet string `yaml:"fleet" json:"fleet" validate:"required"`
	// Zones are the places nodes and back ends stand in.
	Zones []Zone `yaml:"zones" json:"zones" validate:"required,unique=Name,dive"`
	// Routing weighs waiting against recomputation.
	Routing Routing `yaml:"routing" json:"routing"`
	// Claims configures the guard of requests that run at most once.
	Claims Claims `yaml:"claims" json:"claims"`
	// Classes are the job classes that tenants use.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,unique=Name,dive"`
	// Models are the model versions in service.
	Models []Model `yaml:"models" json:"models" validate:"unique=Name,dive"`
	// Pools are groups of engines.
	Pools []Pool `yaml:"pools" json:"pools" validate:"unique=Name,dive"`
	// Services are plain HTTP services, forwarded by route.
	Services []Service `yaml:"services" json:"services" validate:"unique=Name,dive"`
	// Tenants may call.
	Tenants []Tenant `yaml:"tenants" json:"tenants" validate:"unique=Name,dive"`
	// Operators may query and command.
	Operators []Operator `yaml:"operators" json:"operators" validate:"unique=Name,dive"`
	// Draining lists back ends by name that get no new work.
	Draining []string `yaml:"draining" json:"draining"`
}

// Zone is one failure domain.
type Zone struct {
	Name   string `yaml:"name" json:"name" validate:"required"`
	Region string `yaml:"region" json:"region" validate:"required"`
	// OneWay is the one-way latency to the other zones of the region.
	OneWay time.Duration `yaml:"oneWay" json:"oneWay" validate:"min=0"`
}

// Routing weighs the two costs of a placement, both in seconds of engine time.
type Routing struct {
	// WaitWeight multiplies the estimated time to the first token.
	WaitWeight float64 `yaml:"waitWeight" json:"waitWeight" validate:"min=0"`
	// WorkWeight multiplies the time spent on recomputing prefixes.
	WorkWeight float64 `yaml:"workWeight" json:"workWeight" validate:"min=0"`
}

// Claims configures at-most-once execution. See docs/decisions/claims.md.
type Claims struct {
	// Holders are the peer addresses of the nodes that store claims.
	Holders []string `yaml:"holders" json:"holders" validate:"unique,dive,tcp_addr"`
	// Previous are the holders before, while a change of them is under way. The
	// fleet keeps it; declarations do not write it.
	Previous []string `yaml:"-" json:"previous,omitempty"`
	// Window is how long a claim is remembered; a duplicate that arrives later
	// than this is outside the guarantee.
	Window time.Duration `yaml:"window" json:"window" validate:"min=0"`
	// ClockSkew bounds the difference between any two clocks of callers and nodes.
	ClockSkew time.Duration `yaml:"clockSkew" json:"clockSkew" validate:"min=0"`
}

// Class is a job class.
type Class struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Priority orders classes; a higher one is served first.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// Deadline is when an answer is no longer wanted.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"gt=0"`
	// QueueTimeout is how long a request may wait for a place before it is
	// refused as not run.
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
	// BlockBytes is the prompt text that one cached block covers, in bytes.
	BlockBytes int `yaml:"blockBytes" json:"blockBytes" validate:"min=16"`
	// PrefillTokensPerSecond is what one engine prefills when alone.
	PrefillTokensPerSecond float64 `yaml:"prefillTokensPerSecond" json:"prefillTokensPerSecond" validate:"gt=0"`
	// LoadsAtOnce bounds the engines that load weights together.
	LoadsAtOnce int `yaml:"loadsAtOnce" json:"loadsAtOnce" validate:"min=1"`
	// ConcurrentPerEngine bounds one node's streams on one engine.
	ConcurrentPerEngine int `yaml:"concurrentPerEngine" json:"concurrentPerEngine" validate:"min=1"`
	// KeptCache is the store of kept KV cache that the engines share, if any.
	KeptCache *KeptCache `yaml:"keptCache" json:"keptCache,omitempty" validate:"omitempty"`
	// Engines are the pool's back ends.
	Engines []Backend `yaml:"engines" json:"engines" validate:"unique=Name,dive"`
}

// KeptCache is the platform's store of kept KV cache.
type KeptCache struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"tcp_addr"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
	// TokensPerSecond is the speed at which one engine imports.
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
	// Tenants that may call the service; empty means all.
	Tenants []string `yaml:"tenants" json:"tenants"`
}

// Route is one path of a plain service.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"oneof=GET POST PUT DELETE"`
	// Path is matched as a prefix of whole segments.
	Path string `yaml:"path" json:"path" validate:"required,startswith=/"`
	// Repeatable says that running a request twice does no harm. A request of a
	// route that is not repeatable runs at most once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
}

// Tenant is one customer.
type Tenant struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// KeyDigests are the SHA-256 digests of the tenant's keys, in hexadecimal.
	KeyDigests []string `yaml:"keyDigests" json:"keyDigests" validate:"required,dive,len=64,hexadecimal"`
	// Pools the tenant may reach.
	Pools []string `yaml:"pools" json:"pools"`
	// Class is the job class of requests that name none.
	Class string `yaml:"class" json:"class" validate:"required"`
	// Priority replaces the class's priority when it is above 0.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// Weight is the tenant's share under contention.
	Weight float64 `yaml:"weight" json:"weight" validate:"gt=0"`
	// Limits bound the tenant's use.
	Limits Limits `yaml:"limits" json:"limits"`
}

// Limits bound one tenant over the fleet.
type Limits struct {
	// RequestsPerSecond over all nodes.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" validate:"gt=0"`
	// Burst in requests.
	Burst int `yaml:"burst" json:"burst" validate:"min=1"`
	// Streams open at once on one node.
	Streams int `yaml:"streams" json:"streams" validate:"min=1"`
}

// Operator may query and command the fleet.
type Operator struct {
	Name      string `yaml:"name" json:"name" validate:"required"`
	KeyDigest string `yaml:"keyDigest" json:"keyDigest" validate:"len=64,hexadecimal"`
}
