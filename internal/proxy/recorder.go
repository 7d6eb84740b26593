package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Choice is a placement: the chosen server with the terms of its cost, and the
// cheapest other one, if there was any.
type Choice struct {
	Chosen routing.Candidate
	Terms  []routing.Term
	// Next names the other server; "" if there was none.
	Next      string
	NextTerms []routing.Term
	// Deferred says that the request will be late and lets others go first.
	Deferred bool
	// PassedOver is how many servers were passed over for the limits that they name.
	PassedOver int
	// Looks is how often the servers were looked at: once, and again each time that other requests
	// were placed in between where this one was to be.
	Looks int
	// LastResort says that all servers that are left have failed, so that this request probes one.
	LastResort bool
}

// OverLimits is what decided that no server takes a request, by the limits that they name.
type OverLimits struct {
	Service string
	// Servers is how many they are, Shortest the time in which the first of them takes a request,
	// and RetryAfter when the caller is told to come back.
	Servers    int
	Shortest   time.Duration
	RetryAfter time.Duration
}

// Recorder hears of every decision that touches a request. Its methods must not
// block.
type Recorder interface {
	// Placed hears of each placement with what decided it.
	Placed(request *Request, choice Choice)
	// Limited hears of a request that is refused since its tenant asks for more than its
	// limit, and of what decided it.
	Limited(request *Request, tenant string, limit quota.Limit, decision quota.Decision)
	// OverLimits hears once of a request that no server takes for the limits that they name.
	OverLimits(request *Request, over OverLimits)
	// Attempt hears of each event of an attempt. The fingerprint is that of the request if
	// the attempt broke, and else 0.
	Attempt(request *Request, server string, event exchange.Event, fingerprint quarantine.Fingerprint)
	// HeldOff hears of a request that is refused for the servers that ended under it.
	HeldOff(request *Request, fingerprint quarantine.Fingerprint, verdict quarantine.Verdict)
	// Settled hears whether a server ended under a request.
	Settled(suspicion Suspicion)
	// Cleared hears of a request that was suspected and has had a whole answer.
	Cleared(request *Request, fingerprint quarantine.Fingerprint)
	// Request hears of the end of a request. The route is nil if none was found.
	Request(request *Request, route *catalog.Route, version int64, outcome exchange.Outcome)
}
