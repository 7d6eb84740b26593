package experiment

import (
	"sort"
	"sync"
	"time"
)

// PolicyReport holds the results of one policy.
type PolicyReport struct {
	Name                 string  `json:"name"`
	Requests             int     `json:"requests"`
	HitRate              float64 `json:"hit_rate"`
	RecomputedTokens     int     `json:"recomputed_tokens"`
	RecomputedOverOracle float64 `json:"recomputed_over_oracle"`
	FirstTokenP50        float64 `json:"ttft_p50_ms"`
	FirstTokenP95        float64 `json:"ttft_p95_ms"`
	FirstTokenP99        float64 `json:"ttft_p99_ms"`
	BetweenTokensP95     float64 `json:"tbt_p95_ms"`
	Refused              int     `json:"refused"`
	// ImportedTokens is the number of prompt tokens imported from the prefix store.
	ImportedTokens int `json:"imported_tokens"`
	// FirstTokenTimes are the times to first token in ascending order, for plots.
	FirstTokens []time.Duration `json:"-"`
}

// Report holds the results of one run.
type Report struct {
	Profile  string         `json:"profile"`
	Seed     uint64         `json:"seed"`
	Policies []PolicyReport `json:"policies"`
}

// Run compares policies on the same workload. The simulations share no state, so running
// them concurrently does not affect their results.
func Run(profile Profile, names []string, seed uint64) Report {
	report := Report{Profile: profile.Name, Seed: seed, Policies: make([]PolicyReport, len(names))}
	var done sync.WaitGroup
	for index, name := range names {
		done.Go(func() {
			requests, crashes := arrivals(profile, seed)
			result := newSimulation(profile, newPolicy(name, profile, seed), seed).run(requests, crashes)
			report.Policies[index] = summarize(name, result)
		})
	}
	done.Wait()
	oracle := 0
	for _, policy := range report.Policies {
		if policy.Name == "oracle" {
			oracle = policy.RecomputedTokens
		}
	}
	for index := range report.Policies {
		if oracle > 0 {
			report.Policies[index].RecomputedOverOracle = round(float64(report.Policies[index].RecomputedTokens) / float64(oracle))
		}
	}
	return report
}

func summarize(name string, result result) PolicyReport {
	sort.Slice(result.firstTokens, func(i, j int) bool { return result.firstTokens[i] < result.firstTokens[j] })
	sort.Slice(result.betweenTimes, func(i, j int) bool { return result.betweenTimes[i] < result.betweenTimes[j] })
	return PolicyReport{
		Name:             name,
		Requests:         result.completed,
		HitRate:          round(1 - float64(result.recomputed)/float64(max(1, result.promptTokens))),
		RecomputedTokens: result.recomputed,
		FirstTokenP50:    quantile(result.firstTokens, 0.50),
		FirstTokenP95:    quantile(result.firstTokens, 0.95),
		FirstTokenP99:    quantile(result.firstTokens, 0.99),
		BetweenTokensP95: quantile(result.betweenTimes, 0.95),
		Refused:          result.refused,
		ImportedTokens:   result.imported,
		FirstTokens:      result.firstTokens,
	}
}

// quantile returns a quantile of sorted durations in milliseconds.
func quantile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(len(sorted)-1, int(share*float64(len(sorted))))
	return round(float64(sorted[index]) / float64(time.Millisecond))
}

// round rounds to four decimals, so that results are readable and comparable.
func round(value float64) float64 {
	return float64(int64(value*10_000+0.5)) / 10_000
}
