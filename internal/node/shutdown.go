package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/membership"
)

func (node *Node) drain(server *http.Server) {
	node.log.Info().Int("open", node.lifecycle.open()).Msg("node draining")
	node.lifecycle.stopReadiness()
	node.gossip.do((*membership.Machine).Drain)
	time.Sleep(node.settings.DrainNotice)
	node.lifecycle.refuse()
	bounded, cancel := context.WithTimeout(context.Background(), node.settings.DrainDeadline)
	defer cancel()
	node.lifecycle.wait(bounded)
	if left := node.lifecycle.open(); left > 0 {
		node.log.Warn().Int("cut", left).Msg("the drain deadline passed with requests open; declare a longer drainDeadline")
	}
	node.linger()
	// Flush responses that are already written.
	flushing, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	_ = server.Shutdown(flushing)
}

// linger keeps rejecting late requests with a response, so that no request is on its
// way when the sockets close.
func (node *Node) linger() {
	time.Sleep(lingerTime)
	for limit := boottime.Now().Add(lingerLimit); !node.lifecycle.quiet(lingerTime) && boottime.Now().Before(limit); {
		time.Sleep(lingerPoll)
	}
}
