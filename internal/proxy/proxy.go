// Package proxy serves requests to opaque services: it finds the route, checks the
// API key, and forwards the request to a server and the response back unchanged. It
// is independent of wire protocols, which are implemented by adapters.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/retry"
)

// Part is one segment of a prompt. Requests with the same part ID share its content.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, and Output the maximum length of the answer.
	Tokens int
	Output int
	// Parts are in prompt order. The last part is specific to the request.
	Parts []Part
}

// Request is a caller's request.
type Request struct {
	// ID identifies this attempt by the caller.
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent, and Path the path alone.
	Target string
	Path   string
	// Header holds the header fields to forward to the server.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or "".
	Key string
	// CallerTimeout is how long the caller waits from Arrived on; 0 means no bound.
	CallerTimeout time.Duration
	Arrived       time.Time
	// Prompt is nil for requests without one.
	Prompt *Prompt
	// ResumeAfter is the ID of the last event that the caller received of an earlier
	// response, or nil.
	ResumeAfter *int64
	// Resumes is the ID of the caller's attempt that brought the first event of the stream which this
	// one continues, or "".
	Resumes string
}

// Dispatch is one attempt as it is sent to a server.
type Dispatch struct {
	Request *Request
	// Instance is the ID that the responding server must have, and Server the name of its
	// incarnation.
	Instance string
	Server   string
	Address  string
	Stream   bool
	// Tenant is empty on public routes.
	Tenant string
	// Deadline is when the server may abandon the request.
	Deadline time.Time
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// Version is the version of the prompt's model that the server must have loaded.
	Version int64
	// Salt separates cached prefixes of different cache scopes and versions.
	Salt string
	// FetchFrom and SaveTo are addresses to import KV cache from and to save it to, or "".
	FetchFrom string
	SaveTo    string
	// Resumes is set if the stream continues after the event with the ID After.
	Resumes bool
	After   int64
	// Repeatable is set if the request may be sent again. Only such requests may use a
	// keep-alive connection, which can break after the request was sent.
	Repeatable bool
	// OnNotice, if set, is called with what a server reports of itself in its response, beside the
	// callback for all responses. It must not block.
	OnNotice func(notice ServerNotice)
	// Confirm asks a node that sends the attempt for another one to check that the responding
	// incarnation is the intended one.
	Confirm bool
	// Suspects are what a node that sends the attempt for another one suspects if the server crashes under it.
	Suspects quarantine.Suspects
}

// Servers sends attempts. Send returns the error types of package exchange.
type Servers interface {
	Send(ctx context.Context, dispatch Dispatch) (*exchange.Reply, error)
	// RefusesConnections reports whether it is certain that nothing accepts connections
	// at an address.
	RefusesConnections(address string) bool
}

// Bounds are the time limits that the proxy guarantees.
type Bounds struct {
	// Revocation is the maximum time for which a removed key may still be accepted.
	Revocation time.Duration
	// Configuration is the maximum time for which an outdated declaration may be used.
	Configuration time.Duration
	// Weights is the maximum time for which replaced weights may serve.
	Weights time.Duration
	// ReplacedGrace is the time after the release of newer weights during which answers
	// on older ones keep their full value, and ReplacedLoss the share of the value that
	// is lost after that.
	ReplacedGrace time.Duration
	ReplacedLoss  float64
	// StartupGrace is the time after startup during which the guarantees do not cover
	// changes that the node cannot know yet.
	StartupGrace time.Duration
}

const (
	// answerMargin is subtracted from the bounds for the time between a check and its use.
	answerMargin = 500 * time.Millisecond
	// weightsMargin is subtracted from the bound on weights for the wait in a server's queue.
	weightsMargin = 1500 * time.Millisecond
	// startMargin is subtracted from the bound on weights for cancelling a request that
	// has not begun.
	startMargin = 300 * time.Millisecond
	// startupGraceMargin is subtracted from Bounds.StartupGrace. Until then a node accepts any
	// weights, since it cannot know when the newest were released.
	startupGraceMargin = 300 * time.Millisecond
	// maxConfigurationWait is how long after startup requests may wait for the first read
	// of the declaration, and configurationPollInterval the interval between checks.
	maxConfigurationWait      = 300 * time.Millisecond
	configurationPollInterval = 5 * time.Millisecond
	// catchUpRetryAfter is the retry delay for callers while the node is stopping or its
	// configuration is missing or stale.
	catchUpRetryAfter = 100 * time.Millisecond
)

// Proxy serves requests.
type Proxy struct {
	replica      *catalog.AtomicReplica
	set          *backend.Set
	servers      Servers
	bounds       Bounds
	retryBudgets *RetryBudgets
	// borrowRetries is that of Options.
	borrowRetries func(service string, budget *retry.Budget)
	distance      backend.Distance
	recorder      Recorder
	started       time.Time
	splitter      splitter
	prefillRate   *prefillRate
	slotTime      *slotTime
	capacity      *capacity.Estimator
	ledger        *residency.Ledger
	limiter       *quota.Limiter
	forwarder     Forwarder
	serverLimits  *quota.ServerLimits
	serverRooms   *quota.ServerRooms
	overload      *overload.Services
	quarantine    *quarantine.Ledger
	unconfirmed   quarantine.Unconfirmed
	trials        *quarantine.Trials
	probation     *quarantine.Probation
	// closeTimes are the longest times in which servers end a request whose connection was closed, while they respond to
	// others, and eventGaps the longest times between two events of a stream.
	closeTimes *longestTimes
	eventGaps  *longestTimes
	// serveTimes are the longest times from the placement to the end of a response, by route.
	serveTimes *longestTimes
	runTimes   *runTimes
	// origins holds what began each stream, and originHolders asks other nodes; nil if there are none.
	origins       *origin.Ledger
	originHolders *origin.Client
	// openStreams tracks the streams of this node, and archive reads those of lost nodes; nil if there are none.
	openStreams *origin.OpenStreams
	archive     *origin.Archive
	// running holds the attempts that servers may still work on although their callers have left, and runningHolders tells
	// other nodes of them and asks these; nil if there are none.
	running        *origin.RunningAttempts
	runningHolders *origin.Client
	// streams holds the requests that are served, as *admitted by *Request.
	streams    sync.Map
	reportBorn ReportBorn
	entryTTL   time.Duration
	// propagationDelay is that of Options.
	propagationDelay func() time.Duration
	// conflictMutex serializes placements that lost their first round to another placement.
	conflictMutex sync.Mutex
	probesMutex   sync.Mutex
	// probes holds the latest connection probe of each server, by address.
	probes   map[string]*connectionProbe
	stopping chan struct{}
	open     atomic.Int64
	refusing atomic.Bool
	// abortsAt is when open requests are aborted; nil unless the node is shutting down.
	abortsAt atomic.Pointer[time.Time]
}

// Options are the dependencies and settings of a Proxy.
type Options struct {
	Replica      *catalog.AtomicReplica
	Set          *backend.Set
	Servers      Servers
	Bounds       Bounds
	RetryBudgets *RetryBudgets
	// BorrowRetries asks other nodes for retries of a service while requests wait for them. It must not block. Nil means
	// that other nodes lend none.
	BorrowRetries func(service string, budget *retry.Budget)
	Distance      backend.Distance
	Recorder      Recorder
	Ledger        *residency.Ledger
	Limiter       *quota.Limiter
	// Forwarder sends attempts through other nodes; nil if there are none.
	Forwarder Forwarder
	// ServerLimits are the request limits that servers advertise, by backend.ServerKey.
	ServerLimits *quota.ServerLimits
	// ServerRooms are the rooms of brittle servers, by backend.ServerKey.
	ServerRooms *quota.ServerRooms
	// Overload controls the load of services that routes of different priority share; nil for no
	// control.
	Overload *overload.Services
	// Quarantine tracks which requests have crashed servers, and Unconfirmed tells its
	// verdicts whether a crash is not yet confirmed. Servers are identified by their
	// backend.ServerKey.
	Quarantine  *quarantine.Ledger
	Unconfirmed quarantine.Unconfirmed
	// Trials claims trials of quarantined parts of prompts; nil if there are none.
	Trials *quarantine.Trials
	// Probation limits the requests with parts of prompts on probation; nil for no limit.
	Probation *quarantine.Probation
	// Capacity estimates the capacity of the servers of services that routes of different
	// priority share; nil for a new estimator.
	Capacity *capacity.Estimator
	// Origins records what began each stream, and OriginHolders sends the records to other nodes and
	// asks these; nil if there are none.
	Origins       *origin.Ledger
	OriginHolders *origin.Client
	// OpenStreams tracks the streams of this node, and Archive reads those of lost nodes; nil if there are none.
	OpenStreams *origin.OpenStreams
	Archive     *origin.Archive
	// Running holds the attempts that servers may still work on although their callers have left, and RunningHolders tells
	// other nodes of them and asks these; nil if they are not tracked.
	Running        *origin.RunningAttempts
	RunningHolders *origin.Client
	// ReportBorn asks a server for its start time; nil if servers cannot be asked.
	ReportBorn ReportBorn
	// EntryTTL is the time after which the registration of a crashed server has expired.
	EntryTTL time.Duration
	// PropagationDelay returns the time in which an observation of any node reaches all nodes; nil
	// means that there are no other nodes.
	PropagationDelay func() time.Duration
}

// New returns a Proxy with the given options.
func New(options Options) *Proxy {
	if options.ServerRooms == nil {
		options.ServerRooms = quota.NewServerRooms(rand.Float64)
	}
	if options.Capacity == nil {
		options.Capacity = capacity.NewEstimator()
	}
	return &Proxy{
		replica:       options.Replica,
		set:           options.Set,
		servers:       options.Servers,
		bounds:        options.Bounds,
		retryBudgets:  options.RetryBudgets,
		borrowRetries: options.BorrowRetries,
		distance:      options.Distance,
		recorder:      options.Recorder,
		ledger:        options.Ledger,
		limiter:       options.Limiter,
		forwarder:     options.Forwarder,
		serverLimits:  options.ServerLimits,
		serverRooms:   options.ServerRooms,
		overload:      options.Overload,
		quarantine:    options.Quarantine,
		unconfirmed:   options.Unconfirmed,
		trials:        options.Trials,
		probation:     options.Probation,
		closeTimes:    newLongestTimes(),
		eventGaps:     newLongestTimes(),
		serveTimes:    newLongestTimes(),
		runTimes:      newRunTimes(),
		origins:       options.Origins,

		originHolders:  options.OriginHolders,
		openStreams:    options.OpenStreams,
		archive:        options.Archive,
		running:        options.Running,
		runningHolders: options.RunningHolders,
		reportBorn:     options.ReportBorn,
		entryTTL:       options.EntryTTL,

		propagationDelay: options.PropagationDelay,
		probes:           map[string]*connectionProbe{},
		started:          boottime.Now(),
		prefillRate:      newPrefillRate(),
		slotTime:         newSlotTime(),
		capacity:         options.Capacity,
		stopping:         make(chan struct{}),
	}
}

// Abort ends all open requests when a shutdown runs out of time. It must be called at
// most once.
func (proxy *Proxy) Abort() { close(proxy.stopping) }

// Open returns the number of open requests.
func (proxy *Proxy) Open() int { return int(proxy.open.Load()) }

// AwaitConfiguration waits until the first declaration is loaded, at most until
// maxConfigurationWait after startup. Callers may reach a node before it has read one.
func (proxy *Proxy) AwaitConfiguration(ctx context.Context) {
	for proxy.awaitingConfiguration() && ctx.Err() == nil && boottime.Since(proxy.started) < maxConfigurationWait {
		pause.For(ctx, configurationPollInterval)
	}
}

// awaitingConfiguration reports whether no declaration has been loaded yet.
func (proxy *Proxy) awaitingConfiguration() bool {
	replica := proxy.replica.Load()
	return replica == nil || replica.Snapshot == nil
}

// Limits returns the size limits and timeouts of requests. Until they are known, no
// request may be read.
func (proxy *Proxy) Limits() (catalog.Limits, *failure.Failure) {
	if proxy.awaitingConfiguration() {
		return catalog.Limits{}, unconfigured()
	}
	return proxy.replica.Load().Snapshot.Limits, nil
}

// Ready reports whether load balancers should send requests to this node.
func (proxy *Proxy) Ready(now time.Time) bool {
	replica := proxy.replica.Load()
	return replica != nil && replica.Snapshot != nil && replica.Fresh(now, proxy.bounds.Revocation-answerMargin)
}

// admitted is a request that passed admission, with the configuration that applies to it.
type admitted struct {
	request  *Request
	replica  *catalog.Replica
	route    *catalog.Route
	service  *catalog.Service
	tenant   *catalog.Tenant
	deadline time.Time
	// suspected caches the result of suspects; its Request is 0 if it has not been computed.
	suspected quarantine.Suspects
	// trial is the quarantined part that the request tries; 0 if it tries none.
	trial quarantine.Fingerprint
	// pass permits the request to be sent with a part on probation; nil if it has none. waitsForPass is set once the
	// request has waited for one.
	pass         *quarantine.Pass
	waitsForPass bool
	// trials is the number of requests with the part of the pass that crashed servers on probation before.
	trials int
	// placedAt is when the latest attempt was placed, and cutOff is set once a server may have crashed while running
	// the request.
	placedAt time.Time
	cutOff   bool
	// unverified is the end of a response that ended with its connection; nil if the response did not.
	unverified *brokenAttempt
	// origin is what began the stream that the caller has; nil if the caller has no event yet.
	origin *origin.Origin
	stream *trackedStream
	// earlier is an attempt of an earlier try of the caller that a server may still work on; nil if there is none.
	earlier *earlierAttempt
}

// Serve processes a request to completion. The context must end when the caller
// disconnects.
func (proxy *Proxy) Serve(ctx context.Context, request *Request, caller exchange.Caller) exchange.Outcome {
	proxy.open.Add(1)
	defer proxy.open.Add(-1)
	admitted, refusal := proxy.admit(request, boottime.Now())
	if refusal == nil {
		refusal = proxy.checkQuarantine(ctx, admitted, boottime.Now())
	}
	if refusal == nil {
		refusal = proxy.resolveOrigin(ctx, admitted)
	}
	if refusal == nil {
		refusal = proxy.checkRateLimit(admitted, boottime.Now())
	}
	if refusal != nil {
		outcome := exchange.Outcome{Failure: refusal}
		proxy.recorder.Request(request, nil, 0, outcome)
		return outcome
	}
	proxy.retryBudgets.Deposit(admitted.service.Name, boottime.Now())
	if proxy.serverLimits.Active() {
		proxy.serverLimits.Requested(admitted.service.Name, boottime.Now())
	}
	if proxy.serverRooms.Active() {
		proxy.serverRooms.Requested(admitted.service.Name, boottime.Now())
	}
	bounded, cancel := context.WithTimeout(ctx, boottime.Until(admitted.deadline))
	defer cancel()
	proxy.findEarlier(bounded, admitted)
	proxy.streams.Store(request, admitted)
	defer proxy.streams.Delete(request)
	if admitted.origin != nil && request.Resumes != "" {
		proxy.beginStream(admitted, admitted.originKey(request.Resumes), *admitted.origin)
	}
	outcome := exchange.Run(bounded, proxy.exchangeRequest(admitted, caller))
	proxy.endStream(admitted, outcome, boottime.Now())
	proxy.followLatest(admitted, outcome)
	if end := admitted.unverified; end != nil && outcome.Failure == nil {
		proxy.recorder.ResponseEndedWithConnection()
		proxy.verifyEnd(admitted, *end, outcome)
	} else {
		proxy.clearSuspicion(admitted, outcome, boottime.Now())
	}
	proxy.refundRateLimit(admitted, outcome, boottime.Now())
	proxy.recorder.Request(request, admitted.route, admitted.replica.Snapshot.Version, outcome)
	return outcome
}

// admit checks whether a request may be served. Only a node whose declaration is known
// to be current rejects a request because its route or key does not exist.
func (proxy *Proxy) admit(request *Request, now time.Time) (*admitted, *failure.Failure) {
	if proxy.refusing.Load() {
		return nil, failure.New(failure.KindStopping, "this node is shutting down", "send the request to another node").WithRetryAfter(catchUpRetryAfter)
	}
	replica := proxy.replica.Load()
	if replica == nil || replica.Snapshot == nil {
		return nil, unconfigured()
	}
	current := replica.Fresh(now, proxy.bounds.Configuration)
	route := replica.Snapshot.FindRoute(request.Host, request.Path)
	if route == nil {
		if !current {
			return nil, staleConfiguration("this node's configuration may be out of date")
		}
		return nil, failure.New(failure.KindNotFound, "no route matches the host and path", "declare a route, or correct the address")
	}
	tenant, refusal := proxy.authenticate(request, replica, route, now, current)
	if refusal != nil {
		return nil, refusal
	}
	service := replica.Snapshot.Service(proxy.splitter.next(route))
	if service == nil {
		return nil, failure.New(failure.KindNoEndpoint, "the route's service is not declared", "declare the service").WithRetryAfter(time.Second)
	}
	a := &admitted{request: request, replica: replica, route: route, service: service, tenant: tenant, deadline: deadline(request, route), stream: &trackedStream{}}
	if refusal := proxy.refuseUnfinishable(a, now); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

func (proxy *Proxy) authenticate(request *Request, replica *catalog.Replica, route *catalog.Route, now time.Time, current bool) (*catalog.Tenant, *failure.Failure) {
	if route.Public || !replica.Snapshot.RequiresKeys() {
		return nil, nil
	}
	// The key may have been removed since the replica was current. The caller sent the
	// request before now, so the result remains valid whenever the request is forwarded.
	if !replica.Fresh(now, proxy.bounds.Revocation-answerMargin) {
		return nil, staleConfiguration("this node cannot verify that API keys are still valid")
	}
	tenant := replica.Snapshot.TenantOf(request.Key)
	switch {
	case tenant != nil:
		return tenant, nil
	case !current:
		return nil, staleConfiguration("this node's configuration may be out of date")
	default:
		return nil, failure.New(failure.KindUnauthorized, "unknown API key", "send an API key of a declared tenant")
	}
}

func unconfigured() *failure.Failure {
	return staleConfiguration("this node has not loaded its configuration yet")
}

func staleConfiguration(problem string) *failure.Failure {
	return failure.New(failure.KindNotConfigured, problem, "send the request to another node").WithRetryAfter(catchUpRetryAfter)
}

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 10 * time.Minute

func deadline(request *Request, route *catalog.Route) time.Time {
	timeout := request.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 && route.Timeout < timeout {
		timeout = route.Timeout
	}
	return request.Arrived.Add(timeout)
}
