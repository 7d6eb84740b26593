// Package connlimit turns clients' new connections away before anything is read from them, while a node has as many as
// it can hold or is short of processor time. Load balancers may send most new connections of a zone or region to one
// node; a client whose connection was closed unread knows that its request did not run, and tries another node.
package connlimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// Reason is why a connection was turned away.
type Reason string

const (
	// ReasonFull means that the node holds as many connections as it can.
	ReasonFull Reason = "full"
	// ReasonLoad means that the node is short of processor time.
	ReasonLoad Reason = "load"
)

const (
	// MaxDelay is the scheduling delay from which on new connections are turned away: a request is scheduled about ten
	// times, and may spend at most half of a latency target of 300 ms waiting for the processor.
	MaxDelay = 15 * time.Millisecond
	// shedIncrease and shedDecrease are the steps by which the share of connections that are turned away changes with
	// each observation of the delay, and maxShed bounds it.
	shedIncrease = 0.15
	shedDecrease = 0.05
	maxShed      = 0.95
	// acceptInterval is the interval in which one connection is accepted whatever the load: a node that takes none
	// at all looks dead to its clients. extraDivisor bounds those beyond the limit, as a share of it.
	acceptInterval = 250 * time.Millisecond
	extraDivisor   = 8
)

// Gate decides which new connections a node accepts. It is safe for concurrent use.
type Gate struct {
	// limit is the maximum number of open connections; 0 means no limit.
	limit  int
	random func() float64
	now    func() time.Time

	mutex sync.Mutex
	open  int
	// shed is the share of new connections that are turned away because of the load.
	shed float64
	// acceptedAt is when the last connection was accepted.
	acceptedAt time.Time
}

// NewGate returns a gate for at most limit open connections; 0 means no limit.
func NewGate(limit int) *Gate { return &Gate{limit: limit, random: rand.Float64, now: boottime.Now} }

// Admit reports whether a new connection is accepted, and if not, why. Release must be called when an accepted one has
// been closed.
func (g *Gate) Admit() (reason Reason, accepted bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	due := now.Sub(g.acceptedAt) >= acceptInterval
	switch {
	case g.limit > 0 && g.open >= g.limit && !(due && g.open < g.limit+g.limit/extraDivisor):
		return ReasonFull, false
	case g.shed > 0 && !due && g.random() < g.shed:
		return ReasonLoad, false
	}
	g.open++
	g.acceptedAt = now
	return "", true
}

// Release records that an accepted connection has been closed.
func (g *Gate) Release() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open--
}

// ObserveDelay adjusts the share of connections that are turned away to the scheduling delay of the last interval.
// Without other nodes there is no better place for them. It returns the new share, and whether it became positive or
// zero.
func (g *Gate) ObserveDelay(delay time.Duration, otherNodes bool) (shed float64, changed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.shed
	if delay > MaxDelay && otherNodes {
		g.shed = min(maxShed, g.shed+shedIncrease)
	} else {
		g.shed = max(0, g.shed-shedDecrease)
	}
	return g.shed, (before > 0) != (g.shed > 0)
}

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// Crowded reports whether few further connections are admitted.
func (g *Gate) Crowded() bool {
	return g.limit > 0 && float64(g.Open()) > crowdedShare*float64(g.limit)
}

// Limit returns the maximum number of open connections; 0 means no limit.
func (g *Gate) Limit() int { return g.limit }

const (
	// reservedDescriptors are those of files, of the connections to the store and other nodes, and of idle connections
	// to servers.
	reservedDescriptors = 600
	// descriptorsPerConnection are those of a client's connection and of the connection to the server of its request.
	descriptorsPerConnection = 2
	// memoryShare is the share of a node's memory that connections may hold, and bytesPerConnection what one
	// holds beside its request.
	memoryShare        = 0.125
	bytesPerConnection = 24 << 10
	// minLimit is the least limit: a node with fewer descriptors or less memory could not serve at all.
	minLimit = 16
)

// crowdedShare is the share of its limit beyond which a gate is crowded.
const crowdedShare = 0.75

// internalShare is the share of the descriptors beside the clients' that connections from other nodes may use.
const internalShare = 0.5

// InternalLimitFor returns the number of connections from other nodes that a process with the given number of file descriptors and
// bytes of memory can hold; 0 means unknown.
func InternalLimitFor(descriptors int, memory int64) int {
	limit := LimitFor(descriptors, memory)
	if descriptors <= 0 {
		return limit
	}
	reserved := min(reservedDescriptors, descriptors/2)
	return min(limit, max(minLimit, int(internalShare*float64(reserved))))
}

// LimitFor returns the number of client connections that a process with the given number of file descriptors and bytes of
// memory can hold; 0 means unknown.
func LimitFor(descriptors int, memory int64) int {
	limit := 0
	if descriptors > 0 {
		reserved := min(reservedDescriptors, descriptors/2)
		limit = (descriptors - reserved) / descriptorsPerConnection
	}
	if memory > 0 {
		byMemory := int(memoryShare * float64(memory) / bytesPerConnection)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	if limit == 0 {
		return 0
	}
	return max(minLimit, limit)
}
