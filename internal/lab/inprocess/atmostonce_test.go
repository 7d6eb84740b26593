package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

func (fleet *Fleet) countExecutions(body string) int {
	count := 0
	for _, server := range fleet.Servers {
		for _, execution := range server.Executions() {
			if execution.Body == body {
				count++
			}
		}
	}
	return count
}

func TestDuplicatesOnDifferentNodesRunAtMostOnce(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 3, StepTime: time.Millisecond})
	for round := range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		body := fmt.Sprint("turn ", round)
		statuses := make([]int, 6)
		var done sync.WaitGroup
		for index := range statuses {
			done.Go(func() {
				header := http.Header{"Idempotency-Key": []string{key}}
				response := post(t, fleet.URL(index%3), Key(Tenant), AtMostOncePath, header, []byte(body))
				defer response.Body.Close()
				statuses[index] = response.StatusCode
				if response.StatusCode != http.StatusOK {
					require.NotEmpty(t, response.Header.Get("X-Outcome"))
				}
			})
		}
		done.Wait()
		require.LessOrEqual(t, fleet.countExecutions(body), 1, "%v", statuses)
	}
}

// TestClaimsSurviveHolderChange replaces one of three claim holders and sends duplicates of
// requests that ran before, during and after the change.
func TestClaimsSurviveHolderChange(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 4, Engines: 1, Servers: 2, StepTime: time.Millisecond, Holders: 3})
	send := func(node int, key, body string) int {
		header := http.Header{"Idempotency-Key": []string{key}}
		response := post(t, fleet.URL(node), Key(Tenant), AtMostOncePath, header, []byte(body))
		defer response.Body.Close()
		return response.StatusCode
	}
	keys := []string{}
	run := func(count int) {
		for range count {
			require.NoError(t, fleet.Await(func() bool {
				// A request that was not run may be retried with a new key.
				key := uuid.Must(uuid.NewV7()).String()
				if send(len(keys)%4, key, "turn "+key) != http.StatusOK {
					return false
				}
				keys = append(keys, key)
				return true
			}))
		}
	}
	run(8)
	base, err := fleet.Store.Read(context.Background(), nil)
	require.NoError(t, err)
	changed := *fleet.Declaration
	changed.Claims.Holders = []string{fleet.Nodes[1].Settings.PeerAddress, fleet.Nodes[2].Settings.PeerAddress, fleet.Nodes[3].Settings.PeerAddress}
	_, err = fleet.Store.Propose(context.Background(), base, uuid.NewString(), &changed)
	require.NoError(t, err)
	for range 40 {
		for index, key := range keys {
			require.NotEqual(t, http.StatusOK, send(index%4, key, "turn "+key), "duplicates are rejected")
		}
	}
	run(8)
	require.NoError(t, fleet.Await(func() bool { return len(fleet.Nodes[0].Snapshot().Declaration.Claims.Previous) == 0 }), "the holder change is complete")
	for index, key := range keys {
		require.NotEqual(t, http.StatusOK, send(index%4, key, "turn "+key))
		require.Equal(t, 1, fleet.countExecutions("turn "+key))
	}
}

func TestLostResponseOfAtMostOnceRequestIsNotRetried(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 2, StepTime: time.Millisecond})
	for _, server := range fleet.Servers {
		server.DropResponses(1)
	}
	send := func() *http.Response {
		return post(t, fleet.URL(0), Key(Tenant), AtMostOncePath, http.Header{}, []byte("turn"))
	}
	response := send()
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("X-Outcome"))
	require.Equal(t, 1, fleet.countExecutions("turn"))
	_ = response.Body.Close()
}
