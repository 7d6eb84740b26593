package node

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/retry"
)

// peerHealth holds a circuit breaker per peer, so that requests do not wait for the
// timeout of each peer of a failed zone until membership detects the failure.
type peerHealth struct {
	mutex    sync.Mutex
	breakers map[string]*retry.Breaker
}

func newPeerHealth() *peerHealth { return &peerHealth{breakers: map[string]*retry.Breaker{}} }

func (health *peerHealth) allows(address string, now time.Time) bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	breaker, found := health.breakers[address]
	if !found {
		return true
	}
	if !breaker.Allows(now) {
		return false
	}
	breaker.Sent(now)
	return true
}

func (health *peerHealth) record(address string, failed bool, now time.Time) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	if !failed {
		delete(health.breakers, address)
		return
	}
	breaker, found := health.breakers[address]
	if !found {
		breaker = &retry.Breaker{}
		health.breakers[address] = breaker
	}
	breaker.Failed(peerBreaker, now)
}

// peerBreaker opens after two consecutive failed calls.
var peerBreaker = retry.BreakerConfig{Failures: 2, OpenDuration: 300 * time.Millisecond, MaxOpenDuration: 3 * time.Second}

// callPeer sends a request to a peer and checks the type of the response. It fails
// immediately while the peer's circuit breaker is open.
func callPeer[Answer any](ctx context.Context, node *Node, address string, request any) (Answer, error) {
	var none Answer
	if !node.peerHealth.allows(address, boottime.Now()) {
		return none, errors.Errorf("circuit breaker open for peer %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	received, err := node.caller.Call(ctx, address, request)
	node.peerHealth.record(address, err != nil, boottime.Now())
	if err != nil {
		return none, err
	}
	response, ok := received.(Answer)
	if !ok {
		return none, errors.Errorf("unexpected response %T from %s; run the same version on all nodes", received, address)
	}
	return response, nil
}
