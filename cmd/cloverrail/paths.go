package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/inbound"
	"github.com/cloverrail/cloverrail/internal/keepalive"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/platform"
)

const (
	// pathProbeInterval is the interval at which due probes of paths to servers are sent, and
	// maxPathProbes the number of those sent at once.
	pathProbeInterval = 100 * time.Millisecond
	maxPathProbes     = 4
	// maxIsolatedLeadership is how long an isolated node remains the leader of the rollout: as long as
	// it takes to tell whether other servers can be connected to.
	maxIsolatedLeadership = time.Second
	// peerReadTimeout bounds a read of the registrations of other nodes.
	peerReadTimeout = time.Second
	// forwardOverhead is the size of what is sent beside the headers and the body of a forwarded
	// attempt.
	forwardOverhead = 16 << 10
)

// newForwarder returns the client that sends attempts through other nodes.
func (process *process) newForwarder() *forward.Client {
	process.peerDirectory = &forward.Directory{
		Known: func() []fleet.Node { return process.registry.OtherNodes() },
		Fleet: func() int { return process.registry.Nodes() },
		Read: func(ctx context.Context) ([]fleet.Node, error) {
			entries, _, err := process.source.ReadNodes(ctx, true)
			return process.registry.ParseNodes(entries), err
		},
	}
	peers := forward.NewPeers(process.settings.Zone, process.peerDirectory.Nodes, process.zoneDistance)
	dial := keepalive.NewDialer(connectTimeout, silenceTolerance).DialContext
	return forward.NewClient(process.settings.Name, peers, dial, process.responseMemory, process.handleForwardedNotice, process.recorder.AttemptOffered)
}

// handleForwardedNotice applies what a server has told another node in a response to an attempt of
// this one.
func (process *process) handleForwardedNotice(notice proxy.ServerNotice) {
	process.handleNotice(platform.ReceivedNotice{Instance: notice.Server, SentAt: notice.SentAt, Notice: notice.Notice})
}

// maxForwardedBytes returns the maximum size of a message with an attempt of another node; 0 means that none is accepted yet.
func (process *process) maxForwardedBytes() int64 {
	limits, refusal := process.proxy.Limits()
	if refusal != nil {
		return 0
	}
	return process.maxForwardedHeadBytes() + limits.MaxBodyBytes
}

// maxForwardedHeadBytes returns the maximum size of what such a message has beside the body of the attempt.
func (process *process) maxForwardedHeadBytes() int64 {
	limits, refusal := process.proxy.Limits()
	if refusal != nil {
		return 0
	}
	return int64(limits.MaxHeaderBytes) + forwardOverhead
}

// forwardLimits returns the bounds of messages with attempts of other nodes.
func (process *process) forwardLimits() inbound.Limits {
	return inbound.Limits{
		MaxBytes: process.maxForwardedBytes,
		Check: func(message io.Reader, bytes int64) error {
			return forward.CheckMessage(message, bytes, process.maxForwardedHeadBytes())
		},
	}
}

// forwardHandler returns the handler of attempts that other nodes send through this one.
func (process *process) forwardHandler() http.HandlerFunc {
	return forward.NewHandler(forward.HandlerOptions{
		Sender:   process.proxy,
		MaxBytes: process.maxForwardedBytes,
		Reserve: func(bytes int64) (release func(), err error) {
			hold, refusal := process.memory.Reserve(bytes, boottime.Now())
			if refusal != nil {
				return nil, refusal
			}
			return func() { hold.Release(boottime.Now()) }, nil
		},
		Crowded:     process.peerGate.Crowded,
		OnForwarded: process.recorder.ForwardedForPeer,
	})
}

// handlePath records the evidence for or against the path to a server.
func (process *process) handlePath(evidence platform.PathEvidence) {
	now := boottime.Now()
	var change backend.PathChange
	if evidence.Err != nil && evidence.Connected {
		process.recorder.ProbeUnanswered()
		change = process.serverSet.ObserveUnanswered(evidence.Address, evidence.StartedAt, now)
	} else {
		change = process.serverSet.ObserveConnect(evidence.Address, evidence.Err == nil, evidence.StartedAt, now)
	}
	if change.Any() {
		process.recorder.PathChanged(change, evidence.Err)
	}
}

// probePaths probes the paths to servers that are broken or suspected, until the context ends.
func (process *process) probePaths(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range process.serverSet.DuePathProbes(maxPathProbes, boottime.Now()) {
			// The result is reported to handlePath.
			go func() { _ = process.serverClient.Probe(ctx, address) }()
		}
		if process.serverSet.BrokenPaths() > 0 {
			process.refreshPeers(ctx)
		}
		pause.For(ctx, pathProbeInterval)
	}
}

// refreshPeers reads more of the fleet's nodes, if this node does not know them.
func (process *process) refreshPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	if err := process.peerDirectory.Refresh(ctx, boottime.Now()); err != nil {
		process.recorder.PeersUnread(err)
	}
}

// unableToLead returns why this node cannot lead the rollout of weights, or "".
func (process *process) unableToLead() string {
	if process.serverSet.IsolatedFor(boottime.Now()) > maxIsolatedLeadership {
		return "this node cannot connect to any server"
	}
	return ""
}
