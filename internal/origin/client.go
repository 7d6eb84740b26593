package origin

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

const (
	// holdersPerStream is the number of other nodes that hold the record of a stream, and
	// holdersAsked the number of those that must have answered that they have none. The asking node
	// may rank a node higher that began the stream or joined since.
	holdersPerStream = 2
	holdersAsked     = 3
	// maxHoldersTried bounds the nodes that are tried, since some may not answer.
	maxHoldersTried = 8
	callTimeout     = 300 * time.Millisecond
	// failureBackoff is how long a node that did not answer is tried last, and unsupportedBackoff the
	// same for one whose build does not keep origins.
	failureBackoff     = time.Second
	unsupportedBackoff = 10 * time.Second
	// maxBackoffs bounds the remembered nodes that did not answer. When it is reached, all are forgotten.
	maxBackoffs = 4096
)

// Client sends records to the nodes that hold them, and asks these. It is safe for concurrent use.
type Client struct {
	// Nodes returns the other nodes of the fleet, and Known those of them that every node knows, if they
	// may differ.
	Nodes func() []fleet.Node
	Known func() []fleet.Node
	HTTP  *http.Client

	mutex    sync.Mutex
	backoffs map[string]time.Time
}

// NewClient returns a client that calls the nodes with the HTTP client.
func NewClient(nodes, known func() []fleet.Node, client *http.Client) *Client {
	return &Client{Nodes: nodes, Known: known, HTTP: client, backoffs: map[string]time.Time{}}
}

// Send sends the origin of a stream to its holders. It returns once the first of them has it, or none
// can be reached, and sends to the others in the background. Held reports whether a node has it.
func (c *Client) Send(ctx context.Context, key Key, o Origin) (held bool) {
	body, err := (records{o, []Key{key}}).encode()
	if err != nil {
		return false
	}
	holders := c.order(rankHolders(key, c.Nodes(), maxHoldersTried))
	results := make(chan bool, len(holders))
	// The record must reach its holders even if the caller leaves.
	background := context.WithoutCancel(ctx)
	started := min(holdersPerStream, len(holders))
	for i := range started {
		go c.sendChain(background, holders[i:], holdersPerStream, body, results)
	}
	for range started {
		select {
		case held = <-results:
			if held {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// sendChain sends a message to the first of the nodes, and to each stride-th after it until one accepts it.
func (c *Client) sendChain(ctx context.Context, nodes []fleet.Node, stride int, body []byte, results chan<- bool) {
	for i := 0; i < len(nodes); i += stride {
		if _, err := c.call(ctx, nodes[i], PathRecords, body); err == nil {
			results <- true
			return
		}
	}
	results <- false
}

// maxRelaysTried bounds the relays to which a report is sent until one accepts it.
const maxRelaysTried = 3

// Report sends a report of open streams to the first of the relays that accepts it, by addresses in the order of
// preference. It returns whether one has.
func (c *Client) Report(ctx context.Context, relays []string, body []byte) bool {
	nodes := make([]fleet.Node, len(relays))
	for i, address := range relays {
		nodes[i] = fleet.Node{Name: address, Address: address}
	}
	nodes = c.order(nodes)
	for _, node := range nodes[:min(maxRelaysTried, len(nodes))] {
		if _, err := c.call(ctx, node, PathOpen, body); err == nil {
			return true
		}
	}
	return false
}

// maxSendRounds bounds how often records are sent to other nodes in place of those that did not answer.
const maxSendRounds = 3

// SendAll sends the origins of streams to their holders, in few messages.
func (c *Client) SendAll(ctx context.Context, streams map[Origin][]Key) {
	for o, keys := range streams {
		accepted := map[Key][]fleet.Node{}
		for range maxSendRounds {
			if keys = c.sendRound(ctx, o, keys, accepted); len(keys) == 0 {
				break
			}
		}
	}
}

// sendRound sends streams of one origin to holders that have not accepted them yet, and returns those that
// have too few holders after it. Nodes that do not answer are tried last in the next round.
func (c *Client) sendRound(ctx context.Context, o Origin, keys []Key, accepted map[Key][]fleet.Node) (unheld []Key) {
	nodes, byHolder := c.Nodes(), map[fleet.Node][]Key{}
	for _, key := range keys {
		missing := holdersPerStream - len(accepted[key])
		for _, holder := range c.order(rankHolders(key, nodes, maxHoldersTried)) {
			if missing > 0 && !slices.Contains(accepted[key], holder) {
				byHolder[holder] = append(byHolder[holder], key)
				missing--
			}
		}
	}
	var mutex sync.Mutex
	var done sync.WaitGroup
	for holder, held := range byHolder {
		done.Go(func() {
			if !c.sendKeys(ctx, holder, o, held) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, key := range held {
				accepted[key] = append(accepted[key], holder)
			}
		})
	}
	done.Wait()
	return slices.DeleteFunc(keys, func(key Key) bool { return len(accepted[key]) >= min(holdersPerStream, len(nodes)) })
}

// sendKeys sends streams of one origin to a node, and returns whether it has accepted all.
func (c *Client) sendKeys(ctx context.Context, holder fleet.Node, o Origin, keys []Key) bool {
	for sent := range slices.Chunk(keys, maxKeysPerMessage) {
		body, err := (records{o, sent}).encode()
		if err != nil {
			return false
		}
		if _, err := c.call(ctx, holder, PathRecords, body); err != nil {
			return false
		}
	}
	return true
}

// Finding is the result of asking the holders of a stream.
type Finding struct {
	Origin Origin
	Found  bool
	// Without is the number of nodes that have no record, Unsupported that of those whose build keeps
	// none, and Failed that of those that did not answer.
	Without     int
	Unsupported int
	Failed      int
}

// Answered returns the number of nodes that answered.
func (f Finding) Answered() int {
	answered := f.Without + f.Unsupported
	if f.Found {
		answered++
	}
	return answered
}

// errUnsupported reports that a node's build does not keep origins.
var errUnsupported = errors.New("the node's build does not keep origins of streams")

// Find asks the holders of a stream for its origin.
func (c *Client) Find(ctx context.Context, key Key) Finding {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := encode(wireLookup{Format: messageFormat, Key: uint64(key)})
	if err != nil {
		return Finding{}
	}
	candidates := c.candidates(key)
	type answer struct {
		origin wireOrigin
		err    error
	}
	answers := make(chan answer, len(candidates))
	next, pending := 0, 0
	ask := func() {
		if next == len(candidates) {
			return
		}
		node := candidates[next]
		next++
		pending++
		go func() {
			found, err := c.lookup(ctx, node, body)
			answers <- answer{found, err}
		}()
	}
	for range min(holdersAsked, len(candidates)) {
		ask()
	}
	var finding Finding
	for pending > 0 {
		got := <-answers
		pending--
		switch {
		case errors.Is(got.err, errUnsupported):
			finding.Unsupported++
			ask()
		case got.err != nil:
			finding.Failed++
			ask()
		case !got.origin.Found:
			finding.Without++
		default:
			finding.Found, finding.Origin = true, Origin{Service: got.origin.Service, Software: got.origin.Software}
			return finding
		}
	}
	return finding
}

// candidates returns the nodes that may hold the record of a stream: nodes that have not read the whole
// fleet yet choose holders among those that every node knows.
func (c *Client) candidates(key Key) []fleet.Node {
	candidates := rankHolders(key, c.Nodes(), maxHoldersTried)
	seen := map[string]bool{}
	for _, node := range candidates {
		seen[node.Name] = true
	}
	merged := candidates
	for i, node := range rankHolders(key, c.Known(), holdersPerStream) {
		if !seen[node.Name] {
			at := min(len(merged), 2*i+1)
			merged = append(merged[:at:at], append([]fleet.Node{node}, merged[at:]...)...)
		}
	}
	return c.order(merged)
}

// order moves the nodes that lately did not answer behind the others.
func (c *Client) order(nodes []fleet.Node) []fleet.Node {
	now := boottime.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ordered := make([]fleet.Node, 0, len(nodes))
	for _, wanted := range []bool{false, true} {
		for _, node := range nodes {
			if now.Before(c.backoffs[node.Address]) == wanted {
				ordered = append(ordered, node)
			}
		}
	}
	return ordered
}

func (c *Client) lookup(ctx context.Context, node fleet.Node, body []byte) (wireOrigin, error) {
	answer, err := c.call(ctx, node, PathLookup, body)
	if err != nil {
		return wireOrigin{}, err
	}
	var found wireOrigin
	if err := decodeAnswer(answer, &found); err != nil {
		return wireOrigin{}, err
	}
	return found, checkFormat(found.Format)
}

// call posts a message to a node and returns the response's body.
func (c *Client) call(ctx context.Context, node fleet.Node, path string, body []byte) ([]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+node.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header["User-Agent"] = nil
	response, err := c.HTTP.Do(request)
	if err != nil {
		c.failed(ctx, node)
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes))
	switch {
	case err != nil:
		c.failed(ctx, node)
		return nil, errors.Trace(err)
	case response.StatusCode == http.StatusNotFound:
		c.backOff(node, unsupportedBackoff)
		return nil, errUnsupported
	case response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent:
		c.backOff(node, failureBackoff)
		return nil, errors.Errorf("node %s answered with status %s", node.Name, response.Status)
	default:
		return answer, nil
	}
}

// failed records that a node did not answer a call, unless the call was given up.
func (c *Client) failed(ctx context.Context, node fleet.Node) {
	if ctx.Err() == nil {
		c.backOff(node, failureBackoff)
	}
}

// backOff makes other nodes preferred to one for some time.
func (c *Client) backOff(node fleet.Node, duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.backoffs) >= maxBackoffs {
		clear(c.backoffs)
	}
	c.backoffs[node.Address] = boottime.Now().Add(duration)
}

func decodeAnswer(answer []byte, message any) error {
	return errors.Trace(gob.NewDecoder(bytes.NewReader(answer)).Decode(message))
}

func encode(message any) ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(message)
	return body.Bytes(), errors.Trace(err)
}
