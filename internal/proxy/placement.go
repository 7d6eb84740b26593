package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// placement is one attempt at a chosen server.
type placement struct {
	placer  *placer
	chosen  routing.Candidate
	attempt *backend.Attempt
	// tokens are those of the prompt that the server is taken to read.
	tokens int
	// deferred says that all others go first.
	deferred bool
	begun    time.Time
	// suspended is for how long the machine had been suspended when it began.
	suspended time.Duration
	started   bool
	// startedAt is when the server began to answer.
	startedAt time.Time
	saves     bool
}

// Server names the server's incarnation.
func (placement *placement) Server() string { return placement.chosen.Endpoint }

// Send sends the request to the server.
func (placement *placement) Send(ctx context.Context, resumes bool, after int64) (*exchange.Reply, error) {
	// The server may have said so to another request since it was chosen for this one.
	if placement.placer.proxy.set.Withdrawn(placement.chosen.Endpoint, boottime.Now()) {
		return nil, &exchange.ErrWithdrawn{Reason: "the server has said meanwhile that it leaves or rests"}
	}
	admitted := placement.placer.admitted
	dispatch := Dispatch{
		Request:    admitted.request,
		Instance:   placement.chosen.Epoch,
		Server:     placement.chosen.Endpoint,
		Address:    placement.chosen.Address,
		Stream:     admitted.route.Kind == catalog.Stream,
		Deadline:   admitted.deadline,
		Urgency:    placement.urgency(),
		Resumes:    resumes,
		After:      after,
		Repeatable: admitted.route.MayRunAgain(),
	}
	if admitted.tenant != nil {
		dispatch.Tenant = admitted.tenant.Name
	}
	if placement.placer.prompt() != nil {
		dispatch.Version = placement.chosen.Version
		dispatch.Salt = placement.placer.salt(placement.chosen.Version)
		placement.addSources(&dispatch)
	}
	reply, err := placement.placer.proxy.servers.Send(ctx, dispatch)
	placement.learn(dispatch, err)
	return reply, err
}

// learn takes what a refusal says of the server: that it is gone, or what weights
// it has.
func (placement *placement) learn(dispatch Dispatch, err error) {
	var refused *exchange.ErrRefused
	if !errors.As(err, &refused) {
		return
	}
	if refused.AnotherInstance {
		placement.placer.proxy.set.Gone(placement.chosen.Endpoint, boottime.Now())
		return
	}
	if dispatch.Version != 0 && refused.LoadedVersion != 0 {
		versions := map[string]int64{dispatch.Request.Prompt.Model: refused.LoadedVersion}
		placement.placer.proxy.set.Learn(placement.chosen.Endpoint, versions)
	}
}

// addSources says from where the server fetches shared parts that it lacks, and
// whether it saves to the store of kept KV cache. A server saves whole prompts, so
// it does only if the store lacks more shared tokens than it would take in for
// nobody else.
func (placement *placement) addSources(dispatch *Dispatch) {
	dispatch.FetchFrom = placement.chosen.ImportFrom
	store := placement.placer.store()
	if store == nil {
		return
	}
	shared := placement.placer.sharedTokens()
	missing := shared - placement.placer.inStore(placement.chosen.Version, placement.begun)
	if own := placement.placer.prompt().Tokens - shared; missing > 0 && missing >= own {
		dispatch.SaveTo = store.Address
		placement.saves = true
	}
}

// Started says that the server has begun to answer: it has read the prompt.
func (placement *placement) Started() {
	if placement.started {
		return
	}
	now := boottime.Now()
	placement.started, placement.startedAt = true, now
	placement.attempt.Started(now)
	if placement.placer.prompt() == nil {
		return
	}
	if placement.chosen.Running == 0 {
		placement.placer.proxy.pace.measure(placement.tokens, now.Sub(placement.begun))
	}
	placement.remember(now)
}

// remember notes where the parts of the prompt lie now.
func (placement *placement) remember(now time.Time) {
	placer := placement.placer
	ledger := placer.proxy.ledger
	pieces := placer.named(placement.chosen.Version)
	capacity := placer.admitted.service.Engine.CacheTokens
	ledger.Note(placement.chosen.Address, placement.chosen.Endpoint, pieces, placement.tokens, capacity, now)
	store := placer.store()
	switch {
	case store == nil:
	case placement.saves:
		ledger.Note(store.Address, "", pieces, placer.prompt().Tokens, store.CapacityTokens, now.Add(saveTime))
	case placement.chosen.HitBlocks < placer.sharedTokens():
		ledger.Note(store.Address, "", pieces, 0, store.CapacityTokens, now)
	}
}

// Doubtful reports whether a silent attempt is better tried elsewhere: only if another server
// takes it now, since a server that is slow is better than none.
func (placement *placement) Doubtful(silent time.Duration) bool {
	return placement.doubtful(silent) && placement.placer.elsewhere(placement.chosen.Endpoint)
}

// doubtful reports whether an attempt has been silent for too long: soon if its server has
// answered nobody meanwhile, and later if it only has much to do. The time to read the prompt, and
// those before it, is allowed for.
func (placement *placement) doubtful(silent time.Duration) bool {
	if !placement.started {
		silent -= placement.reading()
	}
	if silent <= 0 {
		return false
	}
	target := placement.placer.admitted.route.TargetLatency
	if placement.deferred && !placement.started {
		return !placement.attempt.HeardSince(boottime.Now().Add(-silent)) && silent >= target/2
	}
	if placement.attempt.HeardSince(boottime.Now().Add(-silent)) {
		return silent >= time.Duration(lastDoubt*float64(target))
	}
	return silent >= target/2
}

// StartBy is when the request must have begun if the server's weights are not the
// newest: it may wait in the server's queue until they must not serve any more.
func (placement *placement) StartBy() time.Time {
	prompt := placement.placer.prompt()
	if prompt == nil {
		return time.Time{}
	}
	return placement.placer.proxy.lastStart(prompt.Model, placement.chosen.Version)
}

// reading is the time that the server is allowed for reading the prompt and
// those that were sent before it.
func (placement *placement) reading() time.Duration {
	if placement.placer.prompt() == nil {
		return 0
	}
	return readingAllowance * placement.placer.proxy.pace.timeOf(placement.chosen.QueuedTokens+placement.tokens)
}

// tellsOfServer reports whether a connection that the server closed is a reason to suspect
// the request: not if the server was leaving, or if this machine was suspended meanwhile.
func (placement *placement) tellsOfServer() bool {
	return boottime.Suspended() == placement.suspended && placement.placer.proxy.set.Stays(placement.chosen.Endpoint)
}

// End says that the attempt is over.
func (placement *placement) End(result exchange.Result) {
	now := boottime.Now()
	placement.attempt.End(result, now)
	if result == exchange.ResultCutOff && placement.tellsOfServer() {
		placement.placer.proxy.suspect(placement.placer.admitted, placement.chosen, placement.started, now)
	}
	if result == exchange.ResultServed && placement.started && placement.placer.prompt() != nil {
		reading := placement.placer.proxy.pace.timeOf(placement.tokens)
		placement.placer.proxy.slotTime.measure(now.Sub(placement.startedAt) + reading)
	}
}
