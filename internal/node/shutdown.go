package node

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/membership"
)

func (node *Node) drain(server *clientconn.Server, listener *connlimit.Listener) {
	node.log.Info().Int("open", node.lifecycle.openRequests()).Msg("node draining")
	node.lifecycle.markUnready()
	node.gossip.apply((*membership.Machine).Drain)
	time.Sleep(node.settings.DrainNotice)
	node.lifecycle.reject()
	drainCtx, cancel := context.WithTimeout(context.Background(), node.settings.DrainDeadline)
	defer cancel()
	node.lifecycle.awaitIdle(drainCtx)
	if remaining := node.lifecycle.openRequests(); remaining > 0 {
		node.log.Warn().Int("cut", remaining).Msg("the drain deadline passed with requests open; declare a longer drainDeadline")
	}
	node.linger()
	flushCtx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	// Requests that are being read are still rejected with a response.
	server.Drain(flushCtx, listener)
}

// linger keeps rejecting late requests with a response, so that no request is on its
// way when the sockets close.
func (node *Node) linger() {
	time.Sleep(lingerTime)
	for deadline := boottime.Now().Add(lingerLimit); !node.lifecycle.noRejectionFor(lingerTime) && boottime.Now().Before(deadline); {
		time.Sleep(lingerPollInterval)
	}
}
