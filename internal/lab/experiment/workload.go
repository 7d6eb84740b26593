package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// workloadRequest is a request of the workload.
type workloadRequest struct {
	id           string
	at           time.Duration
	node         int
	chain        []prefix.Hash
	inputTokens  int
	outputTokens int
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
	distribution := &zipf{}
	sum := 0.0
	for rank := range count {
		sum += 1 / math.Pow(float64(rank+1), skew)
		distribution.cumulative = append(distribution.cumulative, sum)
	}
	return distribution
}

func (distribution *zipf) draw(random *rand.Rand) int {
	target := random.Float64() * distribution.cumulative[len(distribution.cumulative)-1]
	low, high := 0, len(distribution.cumulative)-1
	for low < high {
		middle := (low + high) / 2
		if distribution.cumulative[middle] < target {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// generateWorkload returns the requests and crashes of a run, which are the same for
// every policy.
func generateWorkload(profile Profile, seed uint64) ([]workloadRequest, []crash) {
	random := rand.New(rand.NewPCG(seed, 11))
	workload := profile.Workload
	tenants := newZipf(workload.Tenants, workload.TenantSkew)
	contexts := newZipf(workload.Contexts, workload.ContextSkew)
	popularity := make([][]int, workload.Tenants)
	for tenant := range popularity {
		popularity[tenant] = random.Perm(workload.Contexts)
	}
	requests := []workloadRequest{}
	nextShift := profile.ShiftEvery
	for at := time.Duration(0); at < profile.Duration; {
		at += time.Duration(random.ExpFloat64() / arrivalRate(profile, at) * float64(time.Second))
		if at > nextShift {
			nextShift += profile.ShiftEvery
			for tenant := range popularity {
				popularity[tenant] = random.Perm(workload.Contexts)
			}
		}
		tenant := tenants.draw(random)
		context := popularity[tenant][contexts.draw(random)]
		request := workloadRequest{id: fmt.Sprintf("r%06d", len(requests)), at: at, node: random.IntN(profile.Nodes)}
		longPrompt := random.Float64() < workload.LongPromptShare
		request.chain = promptChain(workload, tenant, context, random.IntN(workload.Branches), longPrompt)
		request.inputTokens = len(request.chain)*profile.Engine.BlockTokens + workload.UniqueTokens
		request.outputTokens = workload.ShortPromptOutput
		if longPrompt {
			request.outputTokens = workload.LongPromptOutput
		}
		requests = append(requests, request)
	}
	crashes := []crash{}
	for at := profile.CrashEvery; at < profile.Duration; at += profile.CrashEvery {
		crashes = append(crashes, crash{at: at, engine: random.IntN(profile.Engines)})
	}
	return requests, crashes
}

func arrivalRate(profile Profile, at time.Duration) float64 {
	if at%profile.BurstEvery > profile.BurstEvery-profile.BurstLength {
		return profile.Rate * profile.BurstFactor
	}
	return profile.Rate
}

// promptChain returns the block hashes of a prompt: the tenant's system prompt and, for a
// long prompt, a shared context and one branch of it.
func promptChain(workload Workload, tenant, context, branch int, longPrompt bool) []prefix.Hash {
	chain := []prefix.Hash{}
	last := prefix.HashName(fmt.Sprint("tenant ", tenant))
	add := func(name string, count int) {
		for index := range count {
			last = prefix.Next(last, uint64(prefix.HashName(fmt.Sprint(name, index))))
			chain = append(chain, last)
		}
	}
	add("rules", workload.SystemPromptBlocks)
	if !longPrompt {
		return chain
	}
	spread := workload.MaxContextBlocks - workload.MinContextBlocks + 1
	length := workload.MinContextBlocks + int(uint64(prefix.HashName(fmt.Sprint(tenant, "/", context)))%uint64(spread))
	add(fmt.Sprint("story ", context, " "), length)
	add(fmt.Sprint("branch ", branch, " "), workload.BranchBlocks)
	return chain
}
