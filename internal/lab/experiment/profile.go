// Package experiment compares routing policies in virtual time: the decision
// packages of a node, the engine model of the stand-ins, and workloads with long
// nested prefixes. The same seed gives the same figures.
package experiment

import (
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
)

// Profile is one operator's fleet and workload.
type Profile struct {
	Name    string
	Engines int
	Nodes   int
	Engine  enginemodel.Config
	// OneWay is the latency between zones.
	OneWay     time.Duration
	WaitWeight float64
	WorkWeight float64
	// Duration of arrivals, and their mean rate a second.
	Duration time.Duration
	Rate     float64
	// Bursts multiply the rate for a while, at regular intervals.
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
	// ShiftEvery is how often other prefixes become hot, without warning.
	ShiftEvery time.Duration
	// CrashEvery is how often an engine comes back empty.
	CrashEvery time.Duration
	Workload   Workload
	// LoadView says how nodes learn of engines' loads.
	LoadView LoadView
	// KeptBlocks is the capacity of the kept-KV store.
	KeptBlocks int
	// EventLag is the most that cache events and load reports are late, and
	// EventGap the share of events lost.
	EventLag time.Duration
	EventGap float64
}

// LoadView is a way for nodes to learn of engines' loads.
type LoadView string

// The ways, as fleets of different sizes can afford them.
const (
	// LoadsToAll sends every report to every node, as in a small fleet.
	LoadsToAll LoadView = "all"
	// LoadsByLookup brings only the loads of engines that hold some of the prompt,
	// with the index's answer.
	LoadsByLookup LoadView = "lookup"
)

// Workload sets the shape of prompts.
type Workload struct {
	Tenants int
	// Skew of the sizes of tenants and of the heat of stories (Zipf exponents).
	TenantSkew float64
	StorySkew  float64
	// Stories are the long shared contexts of one tenant: campaign histories, or
	// catalogues of stations.
	Stories int
	// RuleBlocks all requests of a tenant share; StoryBlocks the requests of one
	// story, at least and at most; BranchBlocks those of one line of it.
	RuleBlocks   int
	StoryLeast   int
	StoryMost    int
	Branches     int
	BranchBlocks int
	// HeavyShare of requests read a whole story; the others only the rules.
	HeavyShare  float64
	HeavyOutput int
	LightOutput int
	// OwnTokens of each prompt are shared with nobody.
	OwnTokens int
}

// Profiles lists the profiles by name.
func Profiles() []Profile {
	kuusisto := Profile{
		Name: "kuusisto", Engines: 18, Nodes: 6, Engine: enginemodel.Standard(6*time.Millisecond, 20_000),
		OneWay: 1500 * time.Microsecond, WaitWeight: 0.3, WorkWeight: 1,
		Duration: 5 * time.Minute, Rate: 26,
		BurstEvery: 100 * time.Second, BurstLength: 25 * time.Second, BurstFactor: 1.6,
		ShiftEvery: 80 * time.Second, CrashEvery: 70 * time.Second,
		EventLag: 300 * time.Millisecond, EventGap: 0.01,
		Workload: Workload{
			Tenants: 8, TenantSkew: 0.9, Stories: 40, StorySkew: 0.9, RuleBlocks: 3, StoryLeast: 8, StoryMost: 18,
			Branches: 3, BranchBlocks: 2, HeavyShare: 0.7, HeavyOutput: 40, LightOutput: 24, OwnTokens: 200,
		},
	}
	kuusisto.Engine.CacheBlocks = 200
	kuusisto.KeptBlocks = 20_000
	kuusisto.LoadView = LoadsToAll
	dakar := Profile{
		Name: "dakar", Engines: 12, Nodes: 4, Engine: enginemodel.Standard(4*time.Millisecond, 30_000),
		OneWay: 900 * time.Microsecond, WaitWeight: 1, WorkWeight: 1,
		Duration: 5 * time.Minute, Rate: 40,
		BurstEvery: 90 * time.Second, BurstLength: 20 * time.Second, BurstFactor: 2,
		ShiftEvery: 60 * time.Second, CrashEvery: 80 * time.Second,
		EventLag: 300 * time.Millisecond, EventGap: 0.01,
		Workload: Workload{
			Tenants: 8, TenantSkew: 0.9, Stories: 30, StorySkew: 1.0, RuleBlocks: 2, StoryLeast: 4, StoryMost: 10,
			Branches: 4, BranchBlocks: 1, HeavyShare: 0.6, HeavyOutput: 40, LightOutput: 16, OwnTokens: 150,
		},
	}
	dakar.Engine.CacheBlocks = 160
	dakar.KeptBlocks = 10_000
	dakar.LoadView = LoadsToAll
	return []Profile{kuusisto, dakar, plan()}
}

// plan is one of 31 models at the size designed for: 23 servers of eight
// accelerators, asked by all 340 nodes, each of which sees a request for the model
// only every three seconds.
func plan() Profile {
	profile := Profile{
		Name: "plan", Engines: 23, Nodes: 340, Engine: enginemodel.Standard(6*time.Millisecond, 200_000),
		OneWay: 1500 * time.Microsecond, WaitWeight: 1, WorkWeight: 1,
		Duration: time.Minute, Rate: 123,
		BurstEvery: 30 * time.Second, BurstLength: 8 * time.Second, BurstFactor: 1.3,
		ShiftEvery: 25 * time.Second, CrashEvery: 20 * time.Second,
		EventLag: 300 * time.Millisecond, EventGap: 0.01, KeptBlocks: 1_000_000, LoadView: LoadsByLookup,
		Workload: Workload{
			Tenants: 100, TenantSkew: 0.7, Stories: 10, StorySkew: 0.9, RuleBlocks: 8, StoryLeast: 20, StoryMost: 80,
			Branches: 4, BranchBlocks: 8, HeavyShare: 0.7, HeavyOutput: 480, LightOutput: 200, OwnTokens: 400,
		},
	}
	profile.Engine.CacheBlocks = 52_777
	profile.Engine.ChunkTokens = 2048
	profile.Engine.MaxRunning = 256
	return profile
}

// ProfileOf finds a profile.
func ProfileOf(name string) (Profile, error) {
	for _, profile := range Profiles() {
		if profile.Name == name {
			return profile, nil
		}
	}
	return Profile{}, errors.Errorf("%q is not a profile; use kuusisto, dakar or plan", name)
}
