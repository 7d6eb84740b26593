package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/lab/cluster"
	"github.com/cloverrail/cloverrail/internal/lab/load"
)

func streamsCommand() *cli.Command {
	return &cli.Command{
		Name:  "streams",
		Usage: "hold many streams open on one node and print its memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "kuusisto"},
			&cli.IntFlag{Name: "nodes", Value: 1},
			&cli.IntFlag{Name: "count", Value: 2000, Usage: "streams to open"},
			&cli.BoolFlag{Name: "verbose"},
		},
		Action: runStreams,
	}
}

const (
	streamPollAttempts = 20
	streamPollInterval = time.Second
	// openInterval spreads out the connection attempts of the streams.
	openInterval = time.Millisecond
)

const streamBody = `{"model":%q,"prompt":"count %d","max_tokens":100000,"stream":true}`

func runStreams(ctx context.Context, command *cli.Command) error {
	count := command.Int("count")
	declaration, err := exampleDeclaration(command.String("profile"))
	if err != nil {
		return err
	}
	raiseLimits(declaration, count)
	started, err := startWithDeclaration(ctx, command, declaration, 0, time.Second)
	if err != nil {
		return err
	}
	defer started.Stop()
	target := loadTarget(started)
	before := started.Nodes[0].Process.ResidentMemory()
	client := &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for index := range count {
		go openStream(ctx, client, target, index)
		time.Sleep(openInterval)
	}
	open, err := waitForStreams(started, count)
	if err != nil {
		return err
	}
	after := started.Nodes[0].Process.ResidentMemory()
	fmt.Printf("node's resident memory: %.1f MB idle, %.1f MB with %.0f streams open\n", float64(before)/1e6, float64(after)/1e6, open)
	return nil
}

// raiseLimits raises the limits of the example so that the node admits count streams at once.
func raiseLimits(declaration *configuration.Declaration, count int) {
	for index := range declaration.Tenants {
		declaration.Tenants[index].Limits = configuration.Limits{RequestsPerSecond: float64(count), Burst: count, Streams: count}
	}
	for index := range declaration.Pools {
		declaration.Pools[index].ConcurrentPerEngine = count
	}
}

func openStream(ctx context.Context, client *http.Client, target load.Target, index int) {
	body := fmt.Sprintf(streamBody, target.Model, index)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Addresses[0]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer demo-"+target.Tenants[index%len(target.Tenants)])
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// waitForStreams waits until the node has count streams open, lets them run for one more
// streamPollInterval, and returns the number of open streams.
func waitForStreams(started *cluster.Cluster, count int) (float64, error) {
	for range streamPollAttempts {
		time.Sleep(streamPollInterval)
		if open := started.Metric(0, "cloverrail_open_streams"); open >= float64(count) {
			time.Sleep(streamPollInterval)
			return open, nil
		}
	}
	return 0, errors.Errorf("only %.0f of %d streams were opened", started.Metric(0, "cloverrail_open_streams"), count)
}
