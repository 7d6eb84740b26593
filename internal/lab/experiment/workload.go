package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// workloadRequest is a request of the workload.
type arrival struct {
	id     string
	at     time.Duration
	node   int
	chain  []prefix.Hash
	tokens int
	output int
}

// crash is a restart of an engine that empties its cache.
type crash struct {
	at     time.Duration
	engine int
}

// zipf is a distribution of ranks with weights 1/(rank+1)^skew.
type zipf struct {
	cumulative []float64
}

func newZipf(count int, skew float64) *zipf {
	drawn := &zipf{}
	sum := 0.0
	for rank := range count {
		sum += 1 / math.Pow(float64(rank+1), skew)
		drawn.cumulative = append(drawn.cumulative, sum)
	}
	return drawn
}

func (drawn *zipf) draw(random *rand.Rand) int {
	target := random.Float64() * drawn.cumulative[len(drawn.cumulative)-1]
	low, high := 0, len(drawn.cumulative)-1
	for low < high {
		middle := (low + high) / 2
		if drawn.cumulative[middle] < target {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// generateWorkload returns the requests and crashes of a run, which are the same for
// every policy.
func arrivals(profile Profile, seed uint64) ([]arrival, []crash) {
	random := rand.New(rand.NewPCG(seed, 11))
	work := profile.Workload
	tenants := newZipf(work.Tenants, work.TenantSkew)
	stories := newZipf(work.Stories, work.StorySkew)
	heat := make([][]int, work.Tenants)
	for tenant := range heat {
		heat[tenant] = random.Perm(work.Stories)
	}
	made := []arrival{}
	shift := profile.ShiftEvery
	for at := time.Duration(0); at < profile.Duration; {
		at += time.Duration(random.ExpFloat64() / rateAt(profile, at) * float64(time.Second))
		if at > shift {
			shift += profile.ShiftEvery
			for tenant := range heat {
				heat[tenant] = random.Perm(work.Stories)
			}
		}
		tenant := tenants.draw(random)
		story := heat[tenant][stories.draw(random)]
		request := arrival{id: fmt.Sprintf("r%06d", len(made)), at: at, node: random.IntN(profile.Nodes)}
		heavy := random.Float64() < work.HeavyShare
		request.chain = chainOf(work, tenant, story, random.IntN(work.Branches), heavy)
		request.tokens = len(request.chain)*profile.Engine.BlockTokens + work.OwnTokens
		request.output = work.LightOutput
		if heavy {
			request.output = work.HeavyOutput
		}
		made = append(made, request)
	}
	crashes := []crash{}
	for at := profile.CrashEvery; at < profile.Duration; at += profile.CrashEvery {
		crashes = append(crashes, crash{at: at, engine: random.IntN(profile.Engines)})
	}
	return made, crashes
}

func rateAt(profile Profile, at time.Duration) float64 {
	if at%profile.BurstEvery > profile.BurstEvery-profile.BurstLength {
		return profile.Rate * profile.BurstFactor
	}
	return profile.Rate
}

// promptChain returns the block hashes of a prompt: the tenant's system prompt and, for a
// long prompt, a shared context and one branch of it.
func chainOf(work Workload, tenant, story, branch int, heavy bool) []prefix.Hash {
	chain := []prefix.Hash{}
	last := prefix.KeyOf(fmt.Sprint("tenant ", tenant))
	add := func(name string, count int) {
		for index := range count {
			last = prefix.Next(last, uint64(prefix.KeyOf(fmt.Sprint(name, index))))
			chain = append(chain, last)
		}
	}
	add("rules", work.RuleBlocks)
	if !heavy {
		return chain
	}
	spread := work.StoryMost - work.StoryLeast + 1
	length := work.StoryLeast + int(uint64(prefix.KeyOf(fmt.Sprint(tenant, "/", story)))%uint64(spread))
	add(fmt.Sprint("story ", story, " "), length)
	add(fmt.Sprint("branch ", branch, " "), work.BranchBlocks)
	return chain
}
