package inprocess

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/machinestub"
	"github.com/cloverrail/cloverrail/internal/operator"
)

func TestStreamContinuesOnAnotherEngineAfterCrash(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 3, StepTime: 2 * time.Millisecond})
	prompt := strings.Repeat("campaign history ", 100)
	crash := sync.OnceFunc(func() {
		for _, engine := range fleet.Engines {
			if len(engine.Executions()) > 0 {
				engine.Crash()
			}
		}
	})
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 60, true))
	defer response.Body.Close()
	text, done := readStream(t, response.Body, func(events int) {
		if events == 10 {
			crash()
		}
	})
	require.True(t, done)
	require.Equal(t, expectedText(prompt, 60), text)
}

// TestEngineFailureIsSharedWithPeers runs without observers, as in the first seconds
// after a zone fails with its engines and the nodes that watch them. A node that fails to
// reach an engine must inform its peers.
func TestEngineFailureIsSharedWithPeers(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, StepTime: time.Millisecond, NoObservers: true})
	send := func(node int, prompt string) int {
		response := post(t, fleet.URL(node), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 2, false))
		defer response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, send(0, "first"))
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[1].UsableEngines("main") == 2 }))
	fleet.StopEngine(0)
	require.NoError(t, fleet.Await(func() bool {
		require.Equal(t, http.StatusOK, send(0, uuid.NewString()))
		return fleet.Nodes[1].UsableEngines("main") == 1
	}), "the other node learns of the failure without contacting the engine")
}

func TestUnresponsiveEngineIsAbandoned(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 2, StepTime: time.Millisecond})
	fleet.Engines[0].SetUnresponsive(true)
	for index := range 4 {
		prompt := fmt.Sprint("prompt ", index)
		response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 3, true))
		text, done := readStream(t, response.Body, nil)
		require.True(t, done)
		require.Equal(t, expectedText(prompt, 3), text)
		_ = response.Body.Close()
	}
}

// TestResponseNeverMixesModelVersions changes the version of the model during a stream and
// then crashes the engines. The stream must fail, because no engine has the version that
// it started with.
func TestResponseNeverMixesModelVersions(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 2, StepTime: 5 * time.Millisecond})
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "prompt", 4000, true))
	defer response.Body.Close()
	change := sync.OnceFunc(func() {
		statement, err := operator.Parse("set model " + Model + " version v2")
		require.NoError(t, err)
		version, err := operator.Execute(context.Background(), fleet.Store, nil, statement)
		require.NoError(t, err)
		require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[0].Snapshot().Revision >= version.Revision }))
		client := engineapi.NewClient()
		for _, engine := range fleet.Declaration.Pools[0].Engines {
			require.NoError(t, fleet.Await(func() bool {
				status, err := client.Status(context.Background(), engine.Address)
				return err == nil && status.Weights[Model] == "v2"
			}))
		}
		for _, engine := range fleet.Engines {
			engine.Crash()
		}
	})
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		if data, isData := strings.CutPrefix(lines.Text(), "data: "); isData {
			change()
			last = data
		}
	}
	require.Contains(t, last, `"code":"stream_broken"`)
	require.Contains(t, last, `"outcome":"ran"`)
}

func TestFirstRequestAfterEngineRestartSucceeds(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	fleet.Engines[0].Crash()
	prompt := "short"
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 5, true))
	defer response.Body.Close()
	text, done := readStream(t, response.Body, nil)
	require.True(t, done)
	require.Equal(t, expectedText(prompt, 5), text)
}

func TestDrainingEngineReceivesNoRequestsDespiteStaleMachineList(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, StepTime: time.Millisecond, MachineListLag: time.Hour})
	fleet.Machines.Set(machinestub.Machine{Name: "engine-0", State: "leaving"})
	fleet.Engines[0].SetDraining(true)
	require.NoError(t, fleet.Await(func() bool {
		return fleet.Nodes[0].UsableEngines("main") == 1 && fleet.Nodes[1].UsableEngines("main") == 1
	}))
	before := len(fleet.Engines[0].Executions())
	for index := range 20 {
		response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 2, false))
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
	require.Len(t, fleet.Engines[0].Executions(), before)
}

func TestCallerDisconnectCancelsEngineWork(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: 2 * time.Millisecond})
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "long", 100_000, true))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
	require.NoError(t, fleet.Await(func() bool {
		status, err := engineapi.NewClient().Status(context.Background(), fleet.Declaration.Pools[0].Engines[0].Address)
		return err == nil && status.Load.Running == 0 && status.Load.Waiting == 0
	}))
}

// A caller that closes its direction of the connection after a whole request still gets the response.
func TestHalfClosedCallerGetsResponse(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: 20 * time.Millisecond})
	for _, stream := range []bool{false, true} {
		connection, err := net.Dial("tcp", strings.TrimPrefix(fleet.URL(0), "http://"))
		require.NoError(t, err)
		defer connection.Close()
		request, err := http.NewRequest(http.MethodPost, fleet.URL(0)+"/v1/completions", bytes.NewReader(completionBody(t, "prompt", 30, stream)))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+Key(Tenant))
		require.NoError(t, request.Write(connection))
		require.NoError(t, connection.(*net.TCPConn).CloseWrite())
		reader := bufio.NewReader(connection)
		response, err := http.ReadResponse(reader, request)
		for err == nil && response.StatusCode == http.StatusContinue {
			response, err = http.ReadResponse(reader, request)
		}
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		if stream {
			text, done := readStream(t, response.Body, nil)
			require.True(t, done)
			require.Equal(t, expectedText("prompt", 30), text)
		}
	}
}
