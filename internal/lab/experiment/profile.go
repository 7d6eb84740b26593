// Package experiment compares routing policies in a discrete-event simulation. It runs
// the routing packages of a node against the engine model of the stubs, with workloads of
// long nested prefixes. The same seed gives the same results.
package experiment

import (
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
)

// Profile describes a fleet and its workload.
type Profile struct {
	Name    string
	Engines int
	Nodes   int
	Engine  enginemodel.Config
	// OneWayDelay is the one-way network latency between zones.
	OneWayDelay time.Duration
	WaitWeight  float64
	WorkWeight  float64
	// Requests arrive for Duration at a mean Rate per second.
	Duration time.Duration
	Rate     float64
	// Every BurstEvery, the rate is multiplied by BurstFactor for BurstLength.
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
	// ShiftEvery is the interval at which the popularity of prefixes changes abruptly.
	ShiftEvery time.Duration
	// CrashEvery is the interval at which an engine crashes and loses its cache.
	CrashEvery time.Duration
	Workload   Workload
	// LoadPropagation determines how nodes learn the load of engines.
	LoadPropagation LoadPropagation
	// PrefixStoreBlocks is the capacity of the prefix store in blocks.
	PrefixStoreBlocks int
	// MaxEventDelay is the maximum delay of cache events and load reports,
	// EventLossRate the fraction of cache events that are lost.
	MaxEventDelay time.Duration
	EventLossRate float64
}

// LoadPropagation is a way for nodes to learn the load of engines.
type LoadPropagation string

// The cost of propagation limits which mode suits a fleet of a given size.
const (
	// LoadsBroadcast sends every report to every node, as in a small fleet.
	LoadsBroadcast LoadPropagation = "all"
	// LoadsWithLookup returns the loads of the engines that cache part of a prompt with
	// the index lookup, and no others.
	LoadsWithLookup LoadPropagation = "lookup"
)

// Workload describes the distribution of prompts.
type Workload struct {
	Tenants int
	// TenantSkew and ContextSkew are the Zipf exponents of the request rates of tenants
	// and of the popularity of their contexts.
	TenantSkew  float64
	ContextSkew float64
	// Contexts is the number of long shared contexts of a tenant, such as campaign
	// histories or station catalogs.
	Contexts int
	// All requests of a tenant share SystemPromptBlocks. Those with the same context
	// share MinContextBlocks to MaxContextBlocks more, and those on the same branch of
	// it another BranchBlocks.
	SystemPromptBlocks int
	MinContextBlocks   int
	MaxContextBlocks   int
	Branches           int
	BranchBlocks       int
	// LongPromptShare is the fraction of requests whose prompt includes a context; the
	// prompts of the others consist of the system prompt.
	LongPromptShare   float64
	LongPromptOutput  int
	ShortPromptOutput int
	// UniqueTokens is the number of tokens of each prompt that no other prompt shares.
	UniqueTokens int
}

// Profiles returns all profiles.
func Profiles() []Profile {
	kuusisto := Profile{
		Name: "kuusisto", Engines: 18, Nodes: 6, Engine: enginemodel.StandardConfig(6*time.Millisecond, 20_000),
		OneWayDelay: 1500 * time.Microsecond, WaitWeight: 0.3, WorkWeight: 1,
		Duration: 5 * time.Minute, Rate: 26,
		BurstEvery: 100 * time.Second, BurstLength: 25 * time.Second, BurstFactor: 1.6,
		ShiftEvery: 80 * time.Second, CrashEvery: 70 * time.Second,
		MaxEventDelay: 300 * time.Millisecond, EventLossRate: 0.01,
		Workload: Workload{
			Tenants: 8, TenantSkew: 0.9, Contexts: 40, ContextSkew: 0.9, SystemPromptBlocks: 3, MinContextBlocks: 8, MaxContextBlocks: 18,
			Branches: 3, BranchBlocks: 2, LongPromptShare: 0.7, LongPromptOutput: 40, ShortPromptOutput: 24, UniqueTokens: 200,
		},
	}
	kuusisto.Engine.CacheBlocks = 200
	kuusisto.PrefixStoreBlocks = 20_000
	kuusisto.LoadPropagation = LoadsBroadcast
	dakar := Profile{
		Name: "dakar", Engines: 12, Nodes: 4, Engine: enginemodel.StandardConfig(4*time.Millisecond, 30_000),
		OneWayDelay: 900 * time.Microsecond, WaitWeight: 1, WorkWeight: 1,
		Duration: 5 * time.Minute, Rate: 40,
		BurstEvery: 90 * time.Second, BurstLength: 20 * time.Second, BurstFactor: 2,
		ShiftEvery: 60 * time.Second, CrashEvery: 80 * time.Second,
		MaxEventDelay: 300 * time.Millisecond, EventLossRate: 0.01,
		Workload: Workload{
			Tenants: 8, TenantSkew: 0.9, Contexts: 30, ContextSkew: 1.0, SystemPromptBlocks: 2, MinContextBlocks: 4, MaxContextBlocks: 10,
			Branches: 4, BranchBlocks: 1, LongPromptShare: 0.6, LongPromptOutput: 40, ShortPromptOutput: 16, UniqueTokens: 150,
		},
	}
	dakar.Engine.CacheBlocks = 160
	dakar.PrefixStoreBlocks = 10_000
	dakar.LoadPropagation = LoadsBroadcast
	return []Profile{kuusisto, dakar, planProfile()}
}

// planProfile returns the profile of one of 31 models at the target size of a fleet: 23
// servers of eight accelerators and 340 nodes, each of which receives a request for the
// model only every three seconds.
func planProfile() Profile {
	profile := Profile{
		Name: "plan", Engines: 23, Nodes: 340, Engine: enginemodel.StandardConfig(6*time.Millisecond, 200_000),
		OneWayDelay: 1500 * time.Microsecond, WaitWeight: 1, WorkWeight: 1,
		Duration: time.Minute, Rate: 123,
		BurstEvery: 30 * time.Second, BurstLength: 8 * time.Second, BurstFactor: 1.3,
		ShiftEvery: 25 * time.Second, CrashEvery: 20 * time.Second,
		MaxEventDelay: 300 * time.Millisecond, EventLossRate: 0.01, PrefixStoreBlocks: 1_000_000, LoadPropagation: LoadsWithLookup,
		Workload: Workload{
			Tenants: 100, TenantSkew: 0.7, Contexts: 10, ContextSkew: 0.9, SystemPromptBlocks: 8, MinContextBlocks: 20, MaxContextBlocks: 80,
			Branches: 4, BranchBlocks: 8, LongPromptShare: 0.7, LongPromptOutput: 480, ShortPromptOutput: 200, UniqueTokens: 400,
		},
	}
	profile.Engine.CacheBlocks = 52_777
	profile.Engine.ChunkTokens = 2048
	profile.Engine.MaxRunning = 256
	return profile
}

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, error) {
	for _, profile := range Profiles() {
		if profile.Name == name {
			return profile, nil
		}
	}
	return Profile{}, errors.Errorf("unknown profile %q; use kuusisto, dakar or plan", name)
}
