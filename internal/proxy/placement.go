package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// placement is an attempt on a chosen server. It implements exchange.Placement.
type placement struct {
	placer  *placer
	chosen  routing.Candidate
	attempt *backend.Attempt
	// request is the request by which the server was chosen.
	request *routing.Request
	// prefillTokens is the estimated number of prompt tokens that the server must
	// compute because they are neither in its cache nor importable.
	prefillTokens int
	// deferred is set if the request is late and yields to all others.
	deferred bool
	placedAt time.Time
	// suspendedAtPlacement is the machine's total suspended time at placedAt.
	suspendedAtPlacement time.Duration
	responding           bool
	// respondingSince is when the response began.
	respondingSince time.Time
	// lastEventAt is when an event of the response was last passed on.
	lastEventAt time.Time
	// longestGap is the longest time between two events of the response.
	longestGap   time.Duration
	savesToStore bool
	// dispatch is the attempt as it is sent, but for what Send is called with.
	dispatch Dispatch
	// continues is set if the attempt continues a stream of which the caller has events, and origin is
	// what began the stream if not.
	continues bool
	origin    origin.Origin
	// detour is set if the attempt was sent through another node.
	detour bool
	// endsWithConnection is set if the response ends with its connection.
	endsWithConnection atomic.Bool
	// completion tells when the server has ended the attempt; nil if it was not sent.
	completion *outbound.Completion
	// brokenAt is when the attempt ended by a failure of its connection; zero if it did not.
	brokenAt time.Time
	// gaveUpSilent is set if the attempt was given up for its server's silence.
	gaveUpSilent bool
	// kept is set once the attempt has been kept because other nodes hear its server.
	kept bool
	// firstEventAt is when the first event of the response was passed on, and progressed is set once the quarantine ledger
	// knows that the response goes on.
	firstEventAt time.Time
	progressed   bool
}

// Server returns the name of the server's incarnation.
func (placement *placement) Server() string { return placement.chosen.Endpoint }

// Send sends the request to the server.
//
// It returns ErrWithdrawn without sending if another response has meanwhile
// announced that the server is draining or wants no requests for some time.
func (placement *placement) Send(ctx context.Context, resumes bool, after int64) (*exchange.Reply, error) {
	if placement.placer.proxy.set.RejectsTraffic(placement.chosen.Endpoint, boottime.Now()) {
		return nil, &exchange.ErrWithdrawn{Reason: "the server announced after it was chosen that it is draining or wants no requests for now"}
	}
	dispatch := placement.dispatch
	dispatch.Resumes, dispatch.After = resumes, after
	sentAt := boottime.Now()
	reply, err := placement.sendAttempt(placement.trackCompletion(ctx), dispatch)
	placement.learnFromRefusal(dispatch, err)
	if err != nil {
		return nil, err
	}
	placement.endsWithConnection.Store(reply.EndsWithConnection)
	if !placement.detour {
		placement.placer.proxy.set.ObserveAnswer(placement.chosen.Endpoint, reply.ConnectedAt, sentAt, placement.placer.proxy.entryTTL)
	}
	if reply, err = checkStatus(reply); err != nil {
		return nil, err
	}
	return placement.checkIncarnation(ctx, reply)
}

// prepareDispatch sets what the attempt is sent with. It is called before the attempt is sent: sending it runs beside the
// placer, which is not safe for concurrent use.
func (placement *placement) prepareDispatch() {
	admitted := placement.placer.admitted
	dispatch := Dispatch{
		Request:    admitted.request,
		Instance:   placement.chosen.Epoch,
		Server:     placement.chosen.Endpoint,
		Address:    placement.chosen.Address,
		Stream:     admitted.route.Kind == catalog.Stream,
		Deadline:   admitted.deadline,
		Urgency:    placement.urgency(),
		Repeatable: admitted.route.Retryable(),
		Confirm:    placement.keepsOrigin(),
	}
	if admitted.tenant != nil {
		dispatch.Tenant = admitted.tenant.Name
	}
	if placement.needsDetour() {
		dispatch.Suspects = admitted.suspects()
	}
	if placement.placer.prompt() != nil {
		dispatch.Version = placement.chosen.Version
		dispatch.Salt = placement.placer.salt(cacheBuildOf(&placement.chosen))
		placement.addKVSources(&dispatch)
	}
	placement.dispatch = dispatch
}

// learnFromRefusal updates the server set from a refusal, which can show that the
// incarnation is gone or which version of the weights the server has loaded.
func (placement *placement) learnFromRefusal(dispatch Dispatch, err error) {
	var unvouched *exchange.ErrUnvouched
	if errors.As(err, &unvouched) && unvouched.RespondingInstance != "" {
		placement.placer.proxy.set.ObserveOtherInstance(placement.chosen.Endpoint, unvouched.RespondingInstance, boottime.Now())
	}
	var refused *exchange.ErrRefused
	if !errors.As(err, &refused) {
		return
	}
	if refused.AnotherInstance {
		placement.placer.proxy.set.ObserveOtherInstance(placement.chosen.Endpoint, refused.RespondingInstance, boottime.Now())
		return
	}
	if dispatch.Version != 0 && refused.LoadedVersion != 0 {
		versions := map[string]int64{dispatch.Request.Prompt.Model: refused.LoadedVersion}
		placement.placer.proxy.set.ObserveVersions(placement.chosen.Endpoint, versions)
	}
}

// addKVSources sets where the server fetches missing shared parts from and whether it
// saves to the KV cache store. A server saves whole prompts, so it saves only if the
// store lacks at least as many shared tokens as the prompt has tokens of its own.
func (placement *placement) addKVSources(dispatch *Dispatch) {
	dispatch.FetchFrom = placement.chosen.ImportFrom
	store := placement.placer.store()
	if store == nil {
		return
	}
	shared := placement.placer.sharedTokens()
	missing := shared - placement.placer.tokensInStore(cacheBuildOf(&placement.chosen), placement.placedAt)
	if own := placement.placer.prompt().Tokens - shared; missing > 0 && missing >= own {
		dispatch.SaveTo = store.Address
		placement.savesToStore = true
	}
}

// ResponseStarted records the start of the response, which shows that prefill is complete.
func (placement *placement) ResponseStarted() {
	if placement.responding {
		return
	}
	now := boottime.Now()
	placement.responding, placement.respondingSince = true, now
	placement.attempt.ResponseStarted(now)
	if placement.placer.prompt() == nil {
		return
	}
	placement.observeFirstToken(now)
	if placement.chosen.Running == 0 {
		placement.placer.proxy.prefillRate.observe(placement.prefillTokens, now.Sub(placement.placedAt))
	}
	placement.learnFirstEvent(now)
	placement.recordResidency(now)
}

// recordResidency records which server and store now hold the parts of the prompt.
func (placement *placement) recordResidency(now time.Time) {
	placer := placement.placer
	ledger := placer.proxy.ledger
	pieces := placer.piecesAt(cacheBuildOf(&placement.chosen))
	capacity := placer.admitted.service.Engine.CacheTokens
	ledger.RecordSent(placement.chosen.Address, placement.chosen.Endpoint, pieces, placement.prefillTokens, capacity, now)
	store := placer.store()
	switch {
	case store == nil:
	case placement.savesToStore:
		ledger.RecordSent(store.Address, "", pieces, placer.prompt().Tokens, store.CapacityTokens, now.Add(storeSaveDelay))
	case placement.chosen.HitBlocks < placer.sharedTokens():
		ledger.RecordSent(store.Address, "", pieces, 0, store.CapacityTokens, now)
	}
}

// Stalled reports whether a silent attempt should be retried on another server. It requires
// that another server accepts the request now, since a slow server is better than none.
func (placement *placement) Stalled(silent time.Duration) bool {
	return placement.exceedsSilenceLimit(silent) && placement.placer.hasAlternative(placement.chosen.Endpoint)
}

// StartDeadline returns the time by which the response must have begun if the server does
// not have the newest weights: the request may wait in the server's queue until those
// weights may no longer serve.
func (placement *placement) StartDeadline() time.Time {
	prompt := placement.placer.prompt()
	if prompt == nil {
		return time.Time{}
	}
	return placement.placer.proxy.startDeadline(prompt.Model, placement.chosen.Version)
}

// prefillAllowance returns the time allowed for the prefill of the prompt and of those
// that were sent to the server before it.
func (placement *placement) prefillAllowance() time.Duration {
	if placement.placer.prompt() == nil {
		return 0
	}
	if placement.placer.estimatesCapacity() {
		return seconds(prefillAllowanceFactor * routing.FirstTokenDelay(placement.request, &placement.chosen))
	}
	return prefillAllowanceFactor * placement.placer.proxy.prefillRate.timeFor(placement.chosen.QueuedTokens+placement.prefillTokens)
}

// implicatesRequest reports whether a connection closed by the server makes the request a
// suspect. It does not if the server was draining or no longer listed, or if this machine was
// suspended meanwhile.
func (placement *placement) implicatesRequest() bool {
	return boottime.Suspended() == placement.suspendedAtPlacement && placement.placer.proxy.set.InService(placement.chosen.Endpoint)
}

// suspectPath requests a probe of the path to the server. An attempt that went through another node shows nothing of the
// time at which it was sent.
func (placement *placement) suspectPath(now time.Time) {
	set := placement.placer.proxy.set
	if placement.attempt.Detour() {
		set.SuspectPath(placement.chosen.Endpoint, now)
		return
	}
	set.SuspectPathSince(placement.chosen.Endpoint, placement.placedAt, now)
}

// End records the result of the attempt.
func (placement *placement) End(result exchange.Result) {
	now := boottime.Now()
	full := placement.attempt.End(result, now)
	placement.recordRoom(result, full, now)
	if result == exchange.ResultBroken || result == exchange.ResultCutOff {
		placement.brokenAt = now
	}
	placement.gaveUpSilent = result == exchange.ResultSilent
	switch result {
	case exchange.ResultBroken, exchange.ResultCutOff, exchange.ResultSilent:
		placement.suspectPath(now)
	}
	placement.placer.admitted.unverified = nil
	if result == exchange.ResultServed && placement.endsWithConnection.Load() && placement.implicatesRequest() {
		placement.placer.admitted.unverified = &brokenAttempt{server: placement.chosen, sentAt: placement.placedAt, at: now, detour: placement.attempt.Detour()}
	}
	implicated := result == exchange.ResultCutOff && placement.implicatesRequest()
	placement.placer.admitted.endPass(implicated)
	if implicated {
		placement.placer.admitted.cutOff = true
		placement.placer.proxy.suspect(placement.placer.admitted.suspects(), brokenAttempt{
			server: placement.chosen, sentAt: placement.placedAt, at: now, responding: placement.responding, detour: placement.attempt.Detour(),
		})
	}
	if result == exchange.ResultServed {
		placement.placer.proxy.serveTimes.observe(placement.placer.admitted.route.Name, now.Sub(placement.placedAt))
	}
	if result == exchange.ResultServed && placement.longestGap > 0 {
		placement.placer.proxy.eventGaps.observe(placement.placer.admitted.service.Name, placement.longestGap)
	}
	if result == exchange.ResultServed && placement.responding && placement.placer.prompt() != nil {
		prefill := placement.placer.proxy.prefillRate.timeFor(placement.prefillTokens)
		placement.placer.proxy.slotTime.observe(now.Sub(placement.respondingSince) + prefill)
		placement.learnSlot(now)
		placement.placer.proxy.runTimes.observe(placement.placer.admitted.route.Name, now.Sub(placement.placedAt))
	}
}
