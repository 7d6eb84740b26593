package main

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/platform"
)

// handleNotice applies the server state reported in the headers of a response.
func (process *process) noticed(heard platform.Heard) {
	now := boottime.Now()
	if heard.Notice.Limited || heard.Notice.Whole && process.limits.Active() {
		process.noticedLimit(heard, now)
	}
	if !heard.Notice.Says() && heard.Unreadable == nil {
		return
	}
	news := process.set.Notice(heard.Instance, heard.Notice, now)
	process.recorder.Noticed(heard.Instance, heard.Notice, news, heard.Unreadable)
}

// handleRateLimit applies the rate limit that a server advertises in a response, or its absence.
func (process *process) noticedLimit(heard platform.Heard, now time.Time) {
	server, found := process.set.Known(heard.Instance)
	switch {
	case !found:
	case heard.Notice.Limited:
		if process.limits.Named(server.Key, heard.Notice.Limit, now) {
			process.recorder.LimitNamed(server.Name, heard.Notice.Limit)
		}
	case process.limits.Unnamed(server.Key, heard.SentAt, now):
		process.recorder.LimitEnded(server.Name)
	}
}

// recordPeerLimits records the rate limits of servers that other nodes report.
func (process *process) toldLimits(news []quota.Told) {
	for _, told := range news {
		if server, found := process.set.KnownBy(told.Is); found {
			process.recorder.ToldLimit(server.Name, told)
		}
	}
}

// chargeOwnCall counts one of this node's own calls against the rate limit of the server at an
// address.
func (process *process) called(call, address string) {
	process.recorder.Called(call)
	if !process.limits.Active() {
		return
	}
	if server, found := process.set.KnownAt(address); found {
		process.limits.Pay(server.Key, server.Service, boottime.Now())
	}
}

// minCallInterval returns the minimum time between two of the fleet's own calls to the server at
// an address.
func (process *process) pace(address string) time.Duration {
	if !process.limits.Active() {
		return 0
	}
	server, found := process.set.KnownAt(address)
	if !found {
		return 0
	}
	return process.limits.Pace(server.Key, boottime.Now())
}
