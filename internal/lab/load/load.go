// Package load generates client traffic for nodes and records the history of requests for
// later checks.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
)

// Target describes the fleet that requests are sent to.
type Target struct {
	// Addresses are the caller addresses of the nodes.
	Addresses []string
	Model     string
	Tenants   []string
	// AtMostOncePath is the path of a non-idempotent route.
	OncePath   string
	BlockBytes int
}

// Generator sends requests and records their results.
type Generator struct {
	target Target
	client *http.Client
	mutex  sync.Mutex
	random *rand.Rand
	// History holds the finished requests. It must not be read while requests are in flight.
	History []Record
	shared  map[string][]byte
}

// New returns a generator whose choices depend on the seed.
func New(target Target, seed uint64) *Generator {
	return &Generator{
		target: target,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 60 * time.Second},
		random: rand.New(rand.NewPCG(seed, 1)),
		shared: map[string][]byte{},
	}
}

func (generator *Generator) number(limit int) int {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return generator.random.IntN(limit)
}

// fillerText returns filler text that depends only on its name and length.
func (generator *Generator) text(name string, length int) []byte {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	if made, found := generator.shared[name]; found {
		return made
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(name), 7))
	made := make([]byte, length)
	for index := range made {
		made[index] = byte('a' + random.IntN(26))
	}
	generator.shared[name] = made
	return made
}

// prompt returns a prompt with nested prefixes: the system prompt of the tenant, a history
// that some requests share, and a unique question.
func (generator *Generator) prompt(tenant, id string) []byte {
	block := generator.target.BlockBytes
	// The nested draw makes low-numbered histories much more frequent.
	campaign := generator.number(1 + generator.number(12))
	prompt := bytes.Clone(generator.text(tenant+" rules", 2*block))
	prompt = append(prompt, generator.text(fmt.Sprint(tenant, " campaign ", campaign), 4*block)...)
	return append(prompt, "question "+id...)
}

// Request sends a request of the given kind to a node and records its result.
func (generator *Generator) Request(ctx context.Context, kind Kind, node int) Record {
	tenant := generator.target.Tenants[generator.number(len(generator.target.Tenants))]
	record := Record{ID: uuid.Must(uuid.NewV7()).String(), Kind: kind, Tenant: tenant, Node: node, Started: time.Now()}
	if kind == Once {
		generator.once(ctx, &record)
	} else {
		generator.completion(ctx, &record)
	}
	record.close()
	generator.keep(record)
	return record
}

// Probe sends a short streaming request to check that a node serves.
func (generator *Generator) Probe(ctx context.Context, node int) Record {
	tenant := generator.target.Tenants[0]
	record := Record{ID: uuid.Must(uuid.NewV7()).String(), Kind: Streamed, Tenant: tenant, Node: node, Started: time.Now()}
	generator.complete(ctx, &record, []byte("are you there? "+record.ID), 2)
	record.close()
	generator.keep(record)
	return record
}

// Duplicate sends the same non-idempotent request to several nodes concurrently.
func (generator *Generator) Duplicate(ctx context.Context, nodes []int) []Record {
	tenant := generator.target.Tenants[generator.number(len(generator.target.Tenants))]
	id := uuid.Must(uuid.NewV7()).String()
	records := make([]Record, len(nodes))
	var done sync.WaitGroup
	for index, node := range nodes {
		done.Go(func() {
			records[index] = Record{ID: id, Kind: Once, Tenant: tenant, Node: node, Started: time.Now()}
			generator.once(ctx, &records[index])
			records[index].close()
		})
	}
	done.Wait()
	for _, record := range records {
		generator.keep(record)
	}
	return records
}

// replayWindow is the number of most recent records from which Replay chooses.
const lateDuplicates = 400

// Replay resends an earlier non-idempotent request with its original idempotency key, as a
// client does after losing the response. It reports whether there was such a request.
func (generator *Generator) Again(ctx context.Context, node int) bool {
	generator.mutex.Lock()
	recent := generator.History[max(0, len(generator.History)-lateDuplicates):]
	earlier := make([]Record, 0, len(recent))
	for _, record := range recent {
		if record.Kind == Once {
			earlier = append(earlier, record)
		}
	}
	generator.mutex.Unlock()
	if len(earlier) == 0 {
		return false
	}
	first := earlier[generator.number(len(earlier))]
	record := Record{ID: first.ID, Kind: Once, Tenant: first.Tenant, Node: node, Started: time.Now()}
	generator.once(ctx, &record)
	record.close()
	generator.keep(record)
	return true
}

func (generator *Generator) keep(record Record) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	generator.History = append(generator.History, record)
}

func (generator *Generator) send(ctx context.Context, record *Record, path string, body []byte) (*http.Response, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+generator.target.Addresses[record.Node]+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		record.Broke = true
		return nil, false
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer demo-"+record.Tenant)
	request.Header.Set("Content-Type", "application/json")
	if record.Kind == Once {
		request.Header.Set("Idempotency-Key", record.ID)
	}
	response, err := generator.client.Do(request)
	if err != nil {
		record.Broke = true
		return nil, false
	}
	record.Status = response.StatusCode
	record.Outcome = response.Header.Get("X-Outcome")
	record.RetryAfter = response.Header.Get("Retry-After")
	return response, true
}

func (generator *Generator) once(ctx context.Context, record *Record) {
	body := []byte("turn " + record.ID)
	response, ok := generator.send(ctx, record, generator.target.OncePath, body)
	if !ok {
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	record.Broke = err != nil
	record.Complete = err == nil
	record.Correct = string(text) == "done "+string(body)
	record.note(text)
}

func (generator *Generator) completion(ctx context.Context, record *Record) {
	generator.complete(ctx, record, generator.prompt(record.Tenant, record.ID), 8+generator.number(40))
}

func (generator *Generator) complete(ctx context.Context, record *Record, prompt []byte, tokens int) {
	text, _ := json.Marshal(string(prompt))
	body, _ := json.Marshal(engineapi.CompletionRequest{
		Model: generator.target.Model, Prompt: text, MaxTokens: tokens, Seed: 11, User: record.ID,
		Stream: record.Kind == Streamed, StreamOptions: &engineapi.StreamOptions{IncludeUsage: true},
	})
	response, ok := generator.send(ctx, record, "/v1/completions", body)
	if !ok {
		return
	}
	defer response.Body.Close()
	expected := &strings.Builder{}
	content := xxhash.Sum64(prompt) ^ 11
	for offset := range tokens {
		expected.WriteString(enginestub.Token(content, offset))
	}
	received := ""
	if record.Kind == Streamed && record.Status == http.StatusOK {
		received = record.stream(response.Body)
	} else {
		received = record.whole(response.Body)
	}
	record.Correct = received == expected.String()
}

// Count returns the number of finished requests.
func (generator *Generator) Count() int {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return len(generator.History)
}
