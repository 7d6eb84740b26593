package inprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/operator"
)

func TestPartitionedNodeKeepsRevisionAndCatchesUp(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 4, Engines: 1, StepTime: time.Millisecond})
	partitioned := fleet.Nodes[3]
	before := partitioned.Snapshot().Revision
	fleet.SetBlocked(partitioned.Settings.PeerAddress, true)
	statement, err := operator.Parse("set tenant " + Tenant + " priority 7")
	require.NoError(t, err)
	version, err := operator.Execute(context.Background(), fleet.Store, nil, statement)
	require.NoError(t, err)
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[0].Snapshot().Revision == version.Revision }))
	require.GreaterOrEqual(t, partitioned.Snapshot().Revision, before)
	fleet.SetBlocked(partitioned.Settings.PeerAddress, false)
	require.NoError(t, fleet.Await(func() bool { return partitioned.Snapshot().Revision == version.Revision }))
}

func TestVersionChangeUsesOnlyNewWeights(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 3, StepTime: time.Millisecond})
	base, err := fleet.Store.Read(context.Background(), nil)
	require.NoError(t, err)
	changed := *fleet.Declaration
	changed.Models = []configuration.Model{{Name: Model, Version: "v2"}, {Name: "secret", Version: Version}}
	version, err := fleet.Store.Propose(context.Background(), base, uuid.NewString(), &changed)
	require.NoError(t, err)
	require.NoError(t, fleet.Await(func() bool {
		return fleet.Nodes[0].Snapshot().Revision >= version.Revision && fleet.Nodes[1].Snapshot().Revision >= version.Revision
	}))
	before := len(fleet.Engines[0].Executions()) + len(fleet.Engines[1].Executions()) + len(fleet.Engines[2].Executions())
	require.Zero(t, before)
	for index := range 6 {
		response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 3, false))
		_, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
	for _, engine := range fleet.Engines {
		for _, execution := range engine.Executions() {
			require.Equal(t, "v2", execution.Version)
		}
	}
	require.NoError(t, fleet.Await(func() bool {
		response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "after", 3, false))
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}), "engines are ordered to load the new version")
	require.LessOrEqual(t, fleet.Weights.Peak(), loadsAtOnce, "at most loadsAtOnce engines load weights concurrently")
}

func TestDrainedEngineReceivesNoRequestsUntilReadmitted(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, StepTime: time.Millisecond})
	command := func(text string) {
		statement, err := operator.Parse(text)
		require.NoError(t, err)
		version, err := operator.Execute(context.Background(), fleet.Store, nil, statement)
		require.NoError(t, err)
		require.NoError(t, fleet.Await(func() bool {
			return fleet.Nodes[0].Snapshot().Revision >= version.Revision && fleet.Nodes[1].Snapshot().Revision >= version.Revision
		}))
	}
	send := func() {
		for index := range 20 {
			response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 2, false))
			require.Equal(t, http.StatusOK, response.StatusCode)
			_ = response.Body.Close()
		}
	}
	command("drain engine engine-0")
	send()
	require.Empty(t, fleet.Engines[0].Executions())
	command("readmit engine engine-0")
	send()
	require.NotEmpty(t, fleet.Engines[0].Executions())
}

func TestSimultaneousRestartServesRequests(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 2, StepTime: time.Millisecond})
	for _, running := range fleet.Nodes {
		<-running.Shutdown()
	}
	for index := range fleet.Nodes {
		require.NoError(t, fleet.StartNode(index))
	}
	for index := range fleet.Nodes {
		require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[index].Ready() }))
		response := post(t, fleet.URL(index), Key(Tenant), "/v1/completions", nil, completionBody(t, "again", 3, false))
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "%s", body)
		_ = response.Body.Close()
	}
}

// TestSimultaneousRestartBoundsKeyValueReads restarts nine nodes at once with a configuration
// of many parts, to detect nodes that read every part from the key-value service.
func TestSimultaneousRestartBoundsKeyValueReads(t *testing.T) {
	const nodes = 9
	fleet := startFleet(t, Config{Nodes: nodes, Engines: 1, StepTime: time.Millisecond})
	base, err := fleet.Store.Read(context.Background(), nil)
	require.NoError(t, err)
	enlarged := *fleet.Declaration
	for index := range 2000 {
		tenant := enlarged.Tenants[0]
		tenant.Name = fmt.Sprint("tenant-", index)
		tenant.KeyDigests = []string{configuration.Digest(tenant.Name)}
		enlarged.Tenants = append(enlarged.Tenants, tenant)
	}
	version, err := fleet.Store.Propose(context.Background(), base, uuid.NewString(), &enlarged)
	require.NoError(t, err)
	var done sync.WaitGroup
	for _, running := range fleet.Nodes {
		done.Go(func() { <-running.Shutdown() })
	}
	done.Wait()
	before := fleet.KeyValue.Calls("/v3/kv/range")
	for index := range nodes {
		require.NoError(t, fleet.StartNode(index))
	}
	require.NoError(t, fleet.Await(func() bool {
		for _, running := range fleet.Nodes {
			if running.Snapshot() == nil || running.Snapshot().Revision < version.Revision {
				return false
			}
		}
		return true
	}))
	calls := fleet.KeyValue.Calls("/v3/kv/range") - before
	t.Logf("%d nodes, %d parts: %d reads", nodes, len(version.Parts), calls)
	require.LessOrEqual(t, calls, 20*nodes)
}

func TestRestartLoadsConfigurationFromPeersDuringOutage(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 2, StepTime: time.Millisecond})
	fleet.KeyValue.SetFaults(kvstub.Faults{Outage: true})
	<-fleet.Nodes[1].Shutdown()
	require.NoError(t, fleet.StartNode(1))
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[1].Ready() }))
	response := post(t, fleet.URL(1), Key(Tenant), "/v1/completions", nil, completionBody(t, "again", 3, false))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
}

func TestNodeWithoutConfigurationRejectsAsNotRun(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	fleet.KeyValue.SetFaults(kvstub.Faults{Outage: true})
	<-fleet.Nodes[0].Shutdown()
	require.NoError(t, fleet.StartNode(0))
	require.NoError(t, fleet.Await(func() bool {
		response, err := http.Get(fleet.URL(0) + "/healthz")
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	}))
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "p", 1, false))
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not-run", response.Header.Get("X-Outcome"))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestEngineRejectsOrderWithOlderToken(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	client := engineapi.NewClient()
	address := fleet.Declaration.Pools[0].Engines[0].Address
	ctx := context.Background()
	require.NoError(t, client.Order(ctx, address, engineapi.Order{Token: 1 << 40, Model: Model, Version: Version}))
	err := client.Order(ctx, address, engineapi.Order{Token: 1<<40 - 1, Model: Model, Version: "older"})
	require.ErrorContains(t, err, "409")
	status, err := client.Status(ctx, address)
	require.NoError(t, err)
	require.Equal(t, Version, status.Weights[Model])
}
