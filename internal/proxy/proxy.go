// Package proxy serves requests of opaque services: it finds the route, checks
// the key, and carries the request to a server and the answer back, byte for
// byte. It knows no protocol; adapters translate.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
)

// Part is one part of a prompt, shared with other requests or their own.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request tells of its prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt; Output, the most tokens to answer.
	Tokens int
	Output int
	// Parts are in the order of the prompt. The last is the request's own.
	Parts []Part
}

// Request is a caller's request.
type Request struct {
	// ID names this one try of the caller.
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent; Path, the path alone.
	Target string
	Path   string
	// Header holds what goes on to the server.
	Header http.Header
	Body   []byte
	// Key is the caller's key, or "".
	Key string
	// Patience is how long the caller waits from Arrived on; 0 means no bound.
	Patience time.Duration
	Arrived  time.Time
	// Prompt is nil for requests without one.
	Prompt *Prompt
	// ResumeAfter is the last event that the caller has of an earlier answer.
	ResumeAfter *int64
}

// Dispatch is one attempt as it goes to a server.
type Dispatch struct {
	Request *Request
	// Instance must be the id of the server that answers, and Server names its incarnation.
	Instance string
	Server   string
	Address  string
	Stream   bool
	// Tenant is empty on public routes.
	Tenant string
	// Deadline is when the server may stop working.
	Deadline time.Time
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// Version must be the loaded version of the prompt's model.
	Version int64
	// Salt keeps cached prefixes of different walls and versions apart.
	Salt string
	// FetchFrom and SaveTo name holders of kept KV cache, or are "".
	FetchFrom string
	SaveTo    string
	// Resumes says that the stream goes on after the event After.
	Resumes bool
	After   int64
	// Repeatable says that a kept connection may be used: should it break, the
	// request can be sent again.
	Repeatable bool
}

// Servers sends attempts. Its errors are those of package exchange.
type Servers interface {
	Send(ctx context.Context, dispatch Dispatch) (*exchange.Reply, error)
	// Refuses reports whether nothing takes connections at an address, for certain.
	Refuses(address string) bool
}

// Bounds are the promises that the proxy keeps, in time.
type Bounds struct {
	// Revocation is the longest time for which a removed key may still be served.
	Revocation time.Duration
	// Configuration is the longest time for which an older declaration may be used.
	Configuration time.Duration
	// Weights is the longest time for which older weights may serve.
	Weights time.Duration
	// ReplacedGrace is the time after the naming of newer weights in which answers on
	// older ones are worth as much, and ReplacedLoss the share of their worth that is
	// lost after it.
	ReplacedGrace time.Duration
	ReplacedLoss  float64
	// Contact is the time after its start in which a node is not yet held to what
	// it cannot know.
	Contact time.Duration
}

const (
	// answerMargin is kept free below the bounds for what happens after a check.
	answerMargin = 500 * time.Millisecond
	// weightsMargin is the longest wait in a server's queue that is allowed for.
	weightsMargin = 1500 * time.Millisecond
	// startMargin is kept free below the bound on weights for ending a request that
	// has not begun.
	startMargin = 300 * time.Millisecond
	// contactMargin is kept free below Bounds.Contact. Until then a node tolerates
	// any weights, since it cannot know when the newest were named.
	contactMargin = 300 * time.Millisecond
	// firstWait is how long after its start a node lets a request wait for the first
	// reading of the declaration, and firstLook is the time between two looks.
	firstWait = 300 * time.Millisecond
	firstLook = 5 * time.Millisecond
	// soon is when to come back for a node that is catching up.
	soon = 100 * time.Millisecond
)

// Proxy serves requests.
type Proxy struct {
	belief   *catalog.Holder
	set      *backend.Set
	servers  Servers
	bounds   Bounds
	retries  *Retries
	distance backend.Distance
	recorder Recorder
	started  time.Time
	splits   splits
	pace     *pace
	slotTime *slotTime
	ledger   *residency.Ledger
	limiter  *quota.Limiter
	limits   *quota.Servers
	requests *quarantine.Ledger
	unsure   quarantine.Unsure
	lapse    time.Duration
	// replacing is held by a placement whose choice did not stand.
	replacing sync.Mutex
	asking    sync.Mutex
	// asked is how a server was asked last whether it takes connections, by address.
	asked    map[string]*question
	stopping chan struct{}
	open     atomic.Int64
	refusing atomic.Bool
}

// Options are the parts of a proxy.
type Options struct {
	Belief   *catalog.Holder
	Set      *backend.Set
	Servers  Servers
	Bounds   Bounds
	Retries  *Retries
	Distance backend.Distance
	Recorder Recorder
	Ledger   *residency.Ledger
	Limiter  *quota.Limiter
	// Limits is what servers take, by their own word. Servers are named by their
	// backend.ServerKey.
	Limits *quota.Servers
	// Requests is what requests have done to servers, and Unsure what its verdicts ask of
	// servers, which are named by their backend.ServerKey.
	Requests *quarantine.Ledger
	Unsure   quarantine.Unsure
	// Lapse is the time after which the entry of a server that has ended is gone.
	Lapse time.Duration
}

// New returns a proxy.
func New(options Options) *Proxy {
	return &Proxy{
		belief:   options.Belief,
		set:      options.Set,
		servers:  options.Servers,
		bounds:   options.Bounds,
		retries:  options.Retries,
		distance: options.Distance,
		recorder: options.Recorder,
		ledger:   options.Ledger,
		limiter:  options.Limiter,
		limits:   options.Limits,
		requests: options.Requests,
		unsure:   options.Unsure,
		lapse:    options.Lapse,
		asked:    map[string]*question{},
		started:  boottime.Now(),
		pace:     newPace(),
		slotTime: newSlotTime(),
		stopping: make(chan struct{}),
	}
}

// Abort ends all open requests. It is called once, when a stop has no time left.
func (proxy *Proxy) Abort() { close(proxy.stopping) }

// Open returns the number of requests in service.
func (proxy *Proxy) Open() int { return int(proxy.open.Load()) }

// AwaitFirst waits until a node that has just started knows its declaration, but not
// for long: callers reach it before it has read anything.
func (proxy *Proxy) AwaitFirst(ctx context.Context) {
	for proxy.unread() && ctx.Err() == nil && boottime.Since(proxy.started) < firstWait {
		pause.For(ctx, firstLook)
	}
}

// unread reports whether no declaration was read yet.
func (proxy *Proxy) unread() bool {
	belief := proxy.belief.Load()
	return belief == nil || belief.Snapshot == nil
}

// Limits returns the bounds of what callers may send. Before they are known
// nothing may be read.
func (proxy *Proxy) Limits() (catalog.Limits, *failure.Failure) {
	if proxy.unread() {
		return catalog.Limits{}, unconfigured()
	}
	return proxy.belief.Load().Snapshot.Limits, nil
}

// Ready reports whether callers should be sent here.
func (proxy *Proxy) Ready(now time.Time) bool {
	belief := proxy.belief.Load()
	return belief != nil && belief.Snapshot != nil && belief.Fresh(now, proxy.bounds.Revocation-answerMargin)
}

// admitted is a request that may be served, with what decided it.
type admitted struct {
	request  *Request
	belief   *catalog.Belief
	route    *catalog.Route
	service  *catalog.Service
	tenant   *catalog.Tenant
	deadline time.Time
	// print is the request's fingerprint, or 0 while nobody has asked for it.
	print quarantine.Fingerprint
}

// Serve carries a request to its end. The context ends when the caller leaves.
func (proxy *Proxy) Serve(ctx context.Context, request *Request, caller exchange.Caller) exchange.Outcome {
	proxy.open.Add(1)
	defer proxy.open.Add(-1)
	admitted, refusal := proxy.admit(request, boottime.Now())
	if refusal == nil {
		refusal = proxy.checkQuarantine(admitted, boottime.Now())
	}
	if refusal == nil {
		refusal = proxy.checkLimit(admitted, boottime.Now())
	}
	if refusal != nil {
		outcome := exchange.Outcome{Failure: refusal}
		proxy.recorder.Request(request, nil, 0, outcome)
		return outcome
	}
	proxy.retries.Deposit(admitted.service.Name, boottime.Now())
	if proxy.limits.Active() {
		proxy.limits.Asked(admitted.service.Name, boottime.Now())
	}
	bounded, cancel := context.WithTimeout(ctx, boottime.Until(admitted.deadline))
	defer cancel()
	outcome := exchange.Run(bounded, proxy.exchange(admitted, caller))
	if outcome.Failure == nil {
		proxy.served(admitted, boottime.Now())
	}
	proxy.settleLimit(admitted, outcome, boottime.Now())
	proxy.recorder.Request(request, admitted.route, admitted.belief.Snapshot.Version, outcome)
	return outcome
}

// admit decides whether a request may be served. Only a node whose declaration
// is certainly current says that a route or key does not exist.
func (proxy *Proxy) admit(request *Request, now time.Time) (*admitted, *failure.Failure) {
	if proxy.refusing.Load() {
		return nil, failure.New(failure.KindStopping, "this node stops", "send the request to another node").WithRetryAfter(soon)
	}
	belief := proxy.belief.Load()
	if belief == nil || belief.Snapshot == nil {
		return nil, unconfigured()
	}
	current := belief.Fresh(now, proxy.bounds.Configuration)
	route := belief.Snapshot.FindRoute(request.Host, request.Path)
	if route == nil {
		if !current {
			return nil, catchingUp("this node's configuration may be out of date")
		}
		return nil, failure.New(failure.KindNotFound, "no route fits the host and path", "declare a route, or correct the address")
	}
	tenant, refusal := proxy.authenticate(request, belief, route, now, current)
	if refusal != nil {
		return nil, refusal
	}
	service := belief.Snapshot.Service(proxy.splits.choose(route))
	if service == nil {
		return nil, failure.New(failure.KindNoEndpoint, "the route's service is not declared", "declare the service").WithRetryAfter(time.Second)
	}
	return &admitted{request: request, belief: belief, route: route, service: service, tenant: tenant, deadline: deadline(request, route)}, nil
}

func (proxy *Proxy) authenticate(request *Request, belief *catalog.Belief, route *catalog.Route, now time.Time, current bool) (*catalog.Tenant, *failure.Failure) {
	if route.Public || !belief.Snapshot.Keyed() {
		return nil, nil
	}
	// A key may have been taken away since the belief was true. The caller sent
	// the request before now, so this check stands whenever the request goes out.
	if !belief.Fresh(now, proxy.bounds.Revocation-answerMargin) {
		return nil, catchingUp("this node cannot tell whether keys are still valid")
	}
	tenant := belief.Snapshot.TenantOf(request.Key)
	switch {
	case tenant != nil:
		return tenant, nil
	case !current:
		return nil, catchingUp("this node's configuration may be out of date")
	default:
		return nil, failure.New(failure.KindUnauthorized, "the key is not known", "send a key that a tenant holds")
	}
}

func unconfigured() *failure.Failure {
	return catchingUp("this node has not read its configuration yet")
}

func catchingUp(problem string) *failure.Failure {
	return failure.New(failure.KindNotConfigured, problem, "send the request to another node").WithRetryAfter(soon)
}

// unboundedPatience is used where neither the caller nor the route sets a bound.
const unboundedPatience = 10 * time.Minute

func deadline(request *Request, route *catalog.Route) time.Time {
	patience := request.Patience
	if patience <= 0 {
		patience = unboundedPatience
	}
	if route.Timeout > 0 && route.Timeout < patience {
		patience = route.Timeout
	}
	return request.Arrived.Add(patience)
}
