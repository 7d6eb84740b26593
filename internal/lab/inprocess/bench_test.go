package inprocess

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

func benchmarkBody(prompt string, tokens int) []byte {
	text, _ := json.Marshal(prompt)
	body, _ := json.Marshal(engineapi.CompletionRequest{Model: Model, Prompt: text, MaxTokens: tokens, Stream: true})
	return body
}

func timeRequest(b *testing.B, url string, body []byte) time.Duration {
	begin := time.Now()
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+Key(Tenant))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(err, response.StatusCode)
	}
	return time.Since(begin)
}

// BenchmarkNodeOverhead alternates requests through a node with the same requests sent
// directly to the engine and reports the latency that the node adds.
func BenchmarkNodeOverhead(b *testing.B) {
	benchmarkOverhead(b, Config{Nodes: 1, Engines: 1, Step: 200 * time.Microsecond}, "whose turn is it?")
}

// BenchmarkIndexHop measures the same with a prompt of 20 blocks and three nodes, with the
// index replicated on every node and partitioned by chain.
func BenchmarkIndexHop(b *testing.B) {
	prompt := strings.Repeat("campaign", 20*BlockBytes/8)
	for name, homes := range map[string]bool{"replicated": false, "homes": true} {
		b.Run(name, func(b *testing.B) {
			benchmarkOverhead(b, Config{Nodes: 3, Engines: 1, Step: 200 * time.Microsecond, Homes: homes}, prompt)
		})
	}
}

func benchmarkOverhead(b *testing.B, config Config, prompt string) {
	fleet, err := Start(config)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Stop()
	direct := hdrhistogram.New(1, int64(time.Minute), 4)
	through := hdrhistogram.New(1, int64(time.Minute), 4)
	body := benchmarkBody(prompt, 1)
	engine := "http://" + fleet.Declaration.Pools[0].Engines[0].Address
	timeRequest(b, engine, body)
	timeRequest(b, fleet.URL(0), body)
	for b.Loop() {
		_ = direct.RecordValue(int64(timeRequest(b, engine, body)))
		_ = through.RecordValue(int64(timeRequest(b, fleet.URL(0), body)))
	}
	for _, quantile := range []float64{50, 99} {
		added := through.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
		b.ReportMetric(float64(direct.ValueAtQuantile(quantile))/1e3, fmt.Sprintf("us-direct-p%.0f", quantile))
		b.ReportMetric(float64(added)/1e3, fmt.Sprintf("us-added-p%.0f", quantile))
	}
}

// BenchmarkOpenStreams opens many streams through one node and reports the memory of the
// whole process (node, engine stubs and clients) per stream.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	fleet, err := Start(Config{Nodes: 1, Engines: 130, Step: 100 * time.Millisecond})
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 0}}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		responses := make([]*http.Response, streams)
		var opened sync.WaitGroup
		for index := range streams {
			opened.Go(func() {
				request, _ := http.NewRequest(http.MethodPost, fleet.URL(0)+"/v1/completions", bytes.NewReader(benchmarkBody(fmt.Sprint("p", index), 1_000_000)))
				request.Header.Set("Authorization", "Bearer "+Key(Tenant))
				response, err := client.Do(request)
				if err == nil {
					responses[index] = response
				}
			})
		}
		opened.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		open := 0
		for _, response := range responses {
			if response != nil {
				if response.StatusCode == http.StatusOK {
					open++
				}
				_ = response.Body.Close()
			}
		}
		used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
		b.ReportMetric(float64(open), "streams")
		b.ReportMetric(float64(used)/float64(max(1, open)), "B/stream")
		b.ReportMetric(float64(used)/1e6, "MB")
	}
}
