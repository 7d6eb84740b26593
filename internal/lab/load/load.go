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
	AtMostOncePath string
	BlockBytes     int
}

// Generator sends requests and records their results.
type Generator struct {
	target Target
	client *http.Client
	mutex  sync.Mutex
	random *rand.Rand
	// History holds the finished requests. It must not be read while requests are in flight.
	History []Record
	texts   map[string][]byte
}

// New returns a generator whose choices depend on the seed.
func New(target Target, seed uint64) *Generator {
	return &Generator{
		target: target,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 60 * time.Second},
		random: rand.New(rand.NewPCG(seed, 1)),
		texts:  map[string][]byte{},
	}
}

func (generator *Generator) randomInt(limit int) int {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return generator.random.IntN(limit)
}

// fillerText returns filler text that depends only on its name and length.
func (generator *Generator) fillerText(name string, length int) []byte {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	if text, found := generator.texts[name]; found {
		return text
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(name), 7))
	text := make([]byte, length)
	for index := range text {
		text[index] = byte('a' + random.IntN(26))
	}
	generator.texts[name] = text
	return text
}

// prompt returns a prompt with nested prefixes: the system prompt of the tenant, a history
// that some requests share, and a unique question.
func (generator *Generator) prompt(tenant, id string) []byte {
	block := generator.target.BlockBytes
	// The nested draw makes low-numbered histories much more frequent.
	history := generator.randomInt(1 + generator.randomInt(12))
	prompt := bytes.Clone(generator.fillerText(tenant+" rules", 2*block))
	prompt = append(prompt, generator.fillerText(fmt.Sprint(tenant, " campaign ", history), 4*block)...)
	return append(prompt, "question "+id...)
}

// Request sends a request of the given kind to a node and records its result.
func (generator *Generator) Request(ctx context.Context, kind Kind, node int) Record {
	tenant := generator.target.Tenants[generator.randomInt(len(generator.target.Tenants))]
	record := Record{ID: uuid.Must(uuid.NewV7()).String(), Kind: kind, Tenant: tenant, Node: node, Started: time.Now()}
	if kind == AtMostOnce {
		generator.sendAtMostOnce(ctx, &record)
	} else {
		generator.sendCompletion(ctx, &record)
	}
	record.close()
	generator.addRecord(record)
	return record
}

// Probe sends a short streaming request to check that a node serves.
func (generator *Generator) Probe(ctx context.Context, node int) Record {
	tenant := generator.target.Tenants[0]
	record := Record{ID: uuid.Must(uuid.NewV7()).String(), Kind: Streaming, Tenant: tenant, Node: node, Started: time.Now()}
	generator.sendPrompt(ctx, &record, []byte("are you there? "+record.ID), 2)
	record.close()
	generator.addRecord(record)
	return record
}

// Duplicate sends the same non-idempotent request to several nodes concurrently.
func (generator *Generator) Duplicate(ctx context.Context, nodes []int) []Record {
	tenant := generator.target.Tenants[generator.randomInt(len(generator.target.Tenants))]
	id := uuid.Must(uuid.NewV7()).String()
	records := make([]Record, len(nodes))
	var done sync.WaitGroup
	for index, node := range nodes {
		done.Go(func() {
			records[index] = Record{ID: id, Kind: AtMostOnce, Tenant: tenant, Node: node, Started: time.Now()}
			generator.sendAtMostOnce(ctx, &records[index])
			records[index].close()
		})
	}
	done.Wait()
	for _, record := range records {
		generator.addRecord(record)
	}
	return records
}

// replayWindow is the number of most recent records from which Replay chooses.
const replayWindow = 400

// Replay resends an earlier non-idempotent request with its original idempotency key, as a
// client does after losing the response. It reports whether there was such a request.
func (generator *Generator) Replay(ctx context.Context, node int) bool {
	generator.mutex.Lock()
	recent := generator.History[max(0, len(generator.History)-replayWindow):]
	earlier := make([]Record, 0, len(recent))
	for _, record := range recent {
		if record.Kind == AtMostOnce {
			earlier = append(earlier, record)
		}
	}
	generator.mutex.Unlock()
	if len(earlier) == 0 {
		return false
	}
	original := earlier[generator.randomInt(len(earlier))]
	record := Record{ID: original.ID, Kind: AtMostOnce, Tenant: original.Tenant, Node: node, Started: time.Now()}
	generator.sendAtMostOnce(ctx, &record)
	record.close()
	generator.addRecord(record)
	return true
}

func (generator *Generator) addRecord(record Record) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	generator.History = append(generator.History, record)
}

func (generator *Generator) send(ctx context.Context, record *Record, path string, body []byte) (*http.Response, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+generator.target.Addresses[record.Node]+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		record.ConnectionBroken = true
		return nil, false
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer demo-"+record.Tenant)
	request.Header.Set("Content-Type", "application/json")
	if record.Kind == AtMostOnce {
		request.Header.Set("Idempotency-Key", record.ID)
	}
	response, err := generator.client.Do(request)
	if err != nil {
		record.ConnectionBroken = true
		return nil, false
	}
	record.Status = response.StatusCode
	record.Outcome = response.Header.Get("X-Outcome")
	record.RetryAfter = response.Header.Get("Retry-After")
	return response, true
}

func (generator *Generator) sendAtMostOnce(ctx context.Context, record *Record) {
	body := []byte("turn " + record.ID)
	response, ok := generator.send(ctx, record, generator.target.AtMostOncePath, body)
	if !ok {
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	record.ConnectionBroken = err != nil
	record.Complete = err == nil
	record.Correct = string(text) == "done "+string(body)
	record.parseError(text)
}

func (generator *Generator) sendCompletion(ctx context.Context, record *Record) {
	generator.sendPrompt(ctx, record, generator.prompt(record.Tenant, record.ID), 8+generator.randomInt(40))
}

func (generator *Generator) sendPrompt(ctx context.Context, record *Record, prompt []byte, tokens int) {
	text, _ := json.Marshal(string(prompt))
	body, _ := json.Marshal(engineapi.CompletionRequest{
		Model: generator.target.Model, Prompt: text, MaxTokens: tokens, Seed: 11, User: record.ID,
		Stream: record.Kind == Streaming, StreamOptions: &engineapi.StreamOptions{IncludeUsage: true},
	})
	response, ok := generator.send(ctx, record, "/v1/completions", body)
	if !ok {
		return
	}
	defer response.Body.Close()
	expected := &strings.Builder{}
	contentHash := xxhash.Sum64(prompt) ^ 11
	for offset := range tokens {
		expected.WriteString(enginestub.Token(contentHash, offset))
	}
	received := ""
	if record.Kind == Streaming && record.Status == http.StatusOK {
		received = record.readStream(response.Body)
	} else {
		received = record.readResponse(response.Body)
	}
	record.Correct = received == expected.String()
}

// Count returns the number of finished requests.
func (generator *Generator) Count() int {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return len(generator.History)
}
