package inprocess

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

func (fleet *Fleet) ran(body string) int {
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

func TestDuplicatesToDifferentNodesRunOnce(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 3, Step: time.Millisecond})
	for round := range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		body := fmt.Sprint("turn ", round)
		statuses := make([]int, 6)
		var done sync.WaitGroup
		for index := range statuses {
			done.Go(func() {
				header := http.Header{"Idempotency-Key": []string{key}}
				response := post(t, fleet.URL(index%3), Key(Tenant), OncePath, header, []byte(body))
				defer response.Body.Close()
				statuses[index] = response.StatusCode
				if response.StatusCode != http.StatusOK {
					require.NotEmpty(t, response.Header.Get("X-Outcome"))
				}
			})
		}
		done.Wait()
		require.LessOrEqual(t, fleet.ran(body), 1, "%v", statuses)
	}
}

func TestLostAnswerOfAOnceRequestIsNotRepeated(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 2, Step: time.Millisecond})
	for _, server := range fleet.Servers {
		server.CutAnswers(1)
	}
	send := func() *http.Response {
		return post(t, fleet.URL(0), Key(Tenant), OncePath, http.Header{}, []byte("turn"))
	}
	response := send()
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("X-Outcome"))
	require.Equal(t, 1, fleet.ran("turn"))
	_ = response.Body.Close()
}
