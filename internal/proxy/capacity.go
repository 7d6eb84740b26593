package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// assumedPrefillRate is the prefill rate, in tokens per second, by which requests are placed while
// nothing is known of a service. It is a common rate of engines, so that unknown servers are
// treated as neither slow nor fast, and no target is taken for missed because of it.
const assumedPrefillRate = 50_000

// Prediction is the predicted time to the first token of a placed request.
type Prediction struct {
	// Known is false if nothing is known of the servers of the service, or if the request has no
	// target.
	Known bool
	// FirstToken is the predicted time from the placement to the first token, and Target what was
	// left of the target latency, negative if the request was late.
	FirstToken time.Duration
	Target     time.Duration
	// Met reports whether the target is predicted to be met.
	Met bool
}

// estimatesCapacity reports whether the request is placed by the estimated capacity of servers:
// it has a prompt, and routes of different priority share its service.
func (placer *placer) estimatesCapacity() bool {
	return placer.prompt() != nil && placer.admitted.replica.Snapshot.SharesPriorities(placer.admitted.service.Name)
}

// setCapacity sets the fields of the request that depend on the estimated capacity of the service.
func (placer *placer) setCapacity(request *routing.Request, now time.Time) {
	service := placer.admitted.service.Name
	typical := placer.proxy.capacity.Typical(service, now)
	if !typical.Known {
		placer.estimateSubset(now)
		typical = placer.proxy.capacity.Typical(service, now)
	}
	if typical.SlotSeconds > 0 {
		request.SlotSeconds = typical.SlotSeconds
	}
	if !typical.Known {
		request.PrefillTokensPerSecond = assumedPrefillRate
		return
	}
	request.PrefillTokensPerSecond, request.BaseSeconds = typical.PrefillTokensPerSecond, typical.BaseSeconds
	if target := placer.admitted.route.TargetLatency; target > 0 {
		left := target - now.Sub(placer.admitted.request.Arrived)
		if left == 0 {
			left = -1
		}
		request.TargetSeconds = left.Seconds()
	}
}

// estimateSubset asks for the estimates of the servers of the request's subset, which tells the
// estimator that they belong to the service. Other nodes report their votes by server alone.
func (placer *placer) estimateSubset(now time.Time) {
	query := placer.query(now)
	query.Limit = subsetSize
	placer.annotateCapacity(placer.proxy.set.Candidates(nil, query, now), now)
}

// annotateCapacity fills in the candidates' estimated prefill rates and slot times.
func (placer *placer) annotateCapacity(candidates []routing.Candidate, now time.Time) {
	service := placer.admitted.service.Name
	for i := range candidates {
		c := &candidates[i]
		estimate := placer.proxy.capacity.Estimate(service, backend.ServerKey(c.Endpoint), now)
		c.PrefillTokensPerSecond, c.SlotSeconds = estimate.PrefillTokensPerSecond, estimate.SlotSeconds
	}
}

// prediction returns the predicted time to the first token.
func (placement *placement) prediction() Prediction {
	request := placement.request
	if request.TargetSeconds == 0 {
		return Prediction{}
	}
	return Prediction{
		Known:      true,
		FirstToken: seconds(routing.FirstTokenDelay(request, &placement.chosen)),
		Target:     seconds(request.TargetSeconds),
		Met:        routing.MeetsTarget(request, &placement.chosen),
	}
}

// learnFirstEvent updates the estimates from the time to the first event. It leaves out attempts
// whose time includes a wait for a slot, and those that yielded to requests that came later.
func (placement *placement) learnFirstEvent(now time.Time) {
	placer, chosen := placement.placer, &placement.chosen
	if !placer.estimatesCapacity() {
		return
	}
	elapsed := now.Sub(placement.placedAt)
	if prediction := placement.prediction(); prediction.Known && !placement.deferred {
		placer.proxy.recorder.FirstTokenPredicted(prediction.FirstToken, elapsed)
	}
	waited := chosen.Slots > 0 && chosen.Running >= chosen.Slots
	yielded := placement.deferred && chosen.QueuedTokens > 0
	if waited || yielded || placement.suspendedAtPlacement != boottime.Suspended() {
		return
	}
	placer.proxy.capacity.Observe(capacity.Measurement{
		Service: placer.admitted.service.Name,
		Server:  backend.ServerKey(chosen.Endpoint),
		Tokens:  chosen.QueuedTokens + placement.prefillTokens,
		Queued:  chosen.QueuedTokens,
		Elapsed: elapsed - seconds(routing.ImportSeconds(placement.request, chosen)),
		Running: chosen.Running,
	}, now)
}

// learnSlot updates the estimate of the slot time from a complete response.
func (placement *placement) learnSlot(now time.Time) {
	placer, chosen := placement.placer, &placement.chosen
	if !placer.estimatesCapacity() {
		return
	}
	rate := placement.request.PrefillTokensPerSecond
	if chosen.PrefillTokensPerSecond > 0 {
		rate = chosen.PrefillTokensPerSecond
	}
	occupied := now.Sub(placement.respondingSince) + seconds(float64(placement.prefillTokens)/rate)
	placer.proxy.capacity.ObserveSlot(placer.admitted.service.Name, backend.ServerKey(chosen.Endpoint), occupied, now)
}

// seconds returns a number of seconds as a duration of at most an hour.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, time.Hour.Seconds()) * float64(time.Second))
}
