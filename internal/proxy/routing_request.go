package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/routing"
)

func (placer *placer) scorers() []routing.Scorer {
	if placer.prompt() == nil {
		return []routing.Scorer{routing.ConcurrencyScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}, routing.IsolationScorer{}}
	}
	return []routing.Scorer{routing.WorkScorer{}, routing.WaitScorer{}, routing.CopyScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}, routing.MemoryScorer{}, routing.ReplacedScorer{}, routing.IsolationScorer{}}
}

func (placer *placer) routingRequest() *routing.Request {
	request := &routing.Request{
		WaitWeight:      1,
		WorkWeight:      workWeight,
		ConcurrencyCost: plainRequestCost,
		Bytes:           len(placer.admitted.request.Body),
		FailureCost:     placer.admitted.route.TargetLatency.Seconds(),
		AnswerValue:     answerValueFactor * placer.admitted.route.TargetLatency.Seconds(),
	}
	prompt := placer.prompt()
	if prompt == nil {
		return request
	}
	request.AvoidFull = placer.sharesPriorities()
	request.PromptTokens, request.OutputTokens = prompt.Tokens, prompt.Output
	request.BlockTokens = 1
	request.Blocks = placer.sharedTokens()
	request.PrefillTokensPerSecond = placer.proxy.prefillRate.tokensPerSecond()
	request.SampleSeed = uint64(prefix.HashName(placer.admitted.request.ID))
	request.SlotSeconds = placer.proxy.slotTime.seconds()
	if placer.estimatesCapacity() {
		placer.setCapacity(request, boottime.Now())
	}
	request.ImportTokensPerSecond = storeImportRate(placer.admitted.service.Engine, placer.store())
	return request
}

// storeImportRate returns how many tokens per second an engine can import from a KV cache
// store. It is bounded by the link of the engine and by that of the store.
func storeImportRate(engine *catalog.Engine, store *catalog.PrefixStore) float64 {
	if engine == nil || store == nil || engine.TokenBytes <= 0 {
		return 0
	}
	bits := engine.LinkBitsPerSecond
	if store.LinkBitsPerSecond > 0 {
		bits = min(bits, store.LinkBitsPerSecond)
	}
	return bits / 8 / engine.TokenBytes
}

// query returns the server query for the request.
func (placer *placer) query(now time.Time) backend.Query {
	query := backend.Query{Service: placer.admitted.service.Name, Distance: placer.proxy.distance}
	if began := placer.admitted.origin; began != nil {
		query.Software = began.Software
	} else {
		query.BeginsStream = placer.beginsResumableStream()
	}
	prompt := placer.prompt()
	if prompt == nil {
		query.HashPoint = uint64(prefix.HashName(placer.admitted.request.ID))
		return query
	}
	query.HashPoint = uint64(placer.subsetKey())
	query.Model = prompt.Model
	query.MinimumVersion = placer.proxy.minimumVersion(prompt.Model, now)
	query.Shared = placer.residentPrefixes()
	return query
}
