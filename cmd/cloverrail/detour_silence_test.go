package main

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/settings"
)

// Guards against streams that go through another node whose path to the server falls silent: they stayed there until their
// deadline where no other server could take them, since only that node can see what has failed.
func TestForwardedStreamOutlastsSilentPathOfItsNode(t *testing.T) {
	t.Parallel()
	f := newStreamFixtureWith(t, 2, []string{"v1"}, func(*settings.Proxy) {})
	sender := f.nodes[0]
	f.links[0].set(linksAcceptAndHang)
	// The probe of a silent path is due only once a request has failed on it.
	var first sync.WaitGroup
	first.Go(func() { sender.makeWithin(resumableStream, streamDeadline) })
	defer first.Wait()
	sender.waitUntil(func() bool { return sender.metric("cloverrail_proxy_broken_paths", "") == 1 })
	before := sender.metric("cloverrail_proxy_forwarded_total", "answered")
	response := make(chan clientResult, 1)
	go func() { response <- sender.make(resumableStream) }()
	sender.waitUntil(func() bool { return sender.metric("cloverrail_proxy_forwarded_total", "answered") > before })
	f.links[0].set(linksUp)
	f.links[1].set(linksAcceptAndHang)
	got := <-response
	require.True(t, isWholeStream(got, pacedEvents), "%d: %q, %v", got.status, got.body, got.err)
}
