package proxy

import (
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Recorder hears of every decision that touches a request. Its methods must not
// block.
type Recorder interface {
	// Placed hears of each placement with what decided it.
	Placed(request *Request, chosen routing.Candidate)
	// Attempt hears of each event of an attempt.
	Attempt(request *Request, server string, event exchange.Event)
	// Request hears of the end of a request. The route is nil if none was found.
	Request(request *Request, route *catalog.Route, version int64, outcome exchange.Outcome)
}
