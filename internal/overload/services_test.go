package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/quota"
)

// Guards against reports of services that need none, and against reports without bounds.
func TestReportListsOnlyServicesNearCapacity(t *testing.T) {
	s, now := NewServices(NewLocalPromises()), begin
	idle := overloaded(1, 1)
	idle.SlotsInUse, idle.Waiting, idle.Predicted = 10, 0, 100*time.Millisecond
	s.Controller("idle", now).Admit(idle, now)
	require.Empty(t, s.Report(now))
	for i := range 20 {
		for rank := range RankCount {
			s.Controller(fmt.Sprint("busy-", i), now).Admit(overloaded(rank, uint64(100*i+rank+1)), now)
		}
	}
	rows := s.Report(now)
	require.Len(t, rows, maxReportedServices*(RankCount+1))
	require.Len(t, quota.TruncateRows(rows), len(rows))
	require.Empty(t, s.Report(now.Add(nearTTL+promiseGrace+5*time.Second)), "no longer under demand")
}

// Guards against a fleet whose nodes each see only their own demand, and against rows that outlive
// the nodes that sent them.
func TestPeerRowsCountUntilTheyAreOutdated(t *testing.T) {
	sender, receiver, now := NewServices(NewLocalPromises()), NewServices(NewLocalPromises()), begin
	sender.Resize(2)
	receiver.Resize(2)
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		sender.Controller("s", now).Admit(overloaded(2, uint64(i+1)), now)
		receiver.Controller("s", now).Admit(overloaded(2, uint64(i+1)), now)
	}
	c := receiver.Controller("s", now)
	own := c.ownTokens(now)
	report := quota.Report{Nodes: 1, Rows: sender.Report(now)}
	decoded, err := quota.DecodeReport(report.Encode())
	require.NoError(t, err)
	receiver.SetPeerRows(decoded.Rows, now)
	require.InEpsilon(t, 2*own, c.demand.fleetTokens(2, now), 0.01)
	require.InDelta(t, 0.5, c.demand.ownShare(), 0.01)
	require.Greater(t, c.promises.Outstanding(c.subject, now), 0.0)
	later := now.Add(peerTTL + time.Millisecond)
	require.True(t, c.demand.alone(later))
	require.InEpsilon(t, 2*c.ownTokens(later), c.demand.fleetTokens(2, later), 0.01, "the last known share of the demand")
}

// Guards against malformed rows and those of other kinds.
func TestMalformedRowsAreDropped(t *testing.T) {
	s, now := NewServices(NewLocalPromises()), begin
	c := s.Controller("s", now)
	subject := quota.ServiceSubject("s")
	s.SetPeerRows([]quota.Usage{
		quota.ServiceRow{Subject: subject, Rank: 1, Requested: 100, Admitted: 900}.Usage(),
		quota.ServiceRow{Subject: subject, Rank: 2, Requested: 100, Admitted: 90}.Usage(),
		quota.ServiceRow{Subject: quota.ServiceSubject("unknown"), Rank: 2, Requested: 100}.Usage(),
		{Key: quota.TenantKey("a tenant"), Requested: 5},
	}, now)
	require.Zero(t, c.demand.ranks[1].peerTokens)
	require.Equal(t, 100.0, c.demand.ranks[2].peerTokens)
	_, rows := s.Invalid()
	require.Equal(t, 1, rows)
	require.Len(t, s.controllers, 1, "rows create no controllers")
}

func TestUnusedControllersAreRemoved(t *testing.T) {
	s := NewServices(NewLocalPromises())
	s.Controller("s", begin).Admit(overloaded(1, 1), begin)
	require.Equal(t, Pressure, s.States(begin)["s"])
	require.Equal(t, Normal, s.States(begin.Add(2 * missWindow))["s"], "without requests there is no pressure")
	s.Report(begin.Add(idleExpiry + time.Second))
	require.Empty(t, s.States(begin))
}
