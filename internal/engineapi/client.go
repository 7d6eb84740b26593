package engineapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/cloverrail/cloverrail/internal/outbound"
)

const (
	connectTimeout = 500 * time.Millisecond
	controlTimeout = time.Second
	// streamTimeout bounds a stream of answers or of cache events; callers end most of them earlier.
	streamTimeout   = time.Hour
	headerTimeout   = 750 * time.Millisecond
	maxEventBytes   = 1 << 20
	readBufferBytes = 2 << 10
)

// ErrNotStarted reports that the engine rejected a dispatch before starting it, or
// could not be connected to.
type ErrNotStarted struct{ Reason string }

// Error implements error.
func (err *ErrNotStarted) Error() string {
	return "the engine did not start the request: " + err.Reason
}

// ErrRejected reports a client error, such as an invalid parameter, which every
// engine would return. Control endpoints return it for any status other than 200.
type ErrRejected struct {
	Status int
	Body   []byte
}

// Error implements error.
func (err *ErrRejected) Error() string { return fmt.Sprintf("the engine answered %d", err.Status) }

// Dispatch describes one attempt of one request on one engine.
type Dispatch struct {
	Address string
	Path    string
	Attempt string
	Epoch   string
	Weights string
	Body    []byte
}

// ServerIdentity identifies the attempt, incarnation and weights that a response
// came from.
type ServerIdentity struct {
	Attempt string
	Epoch   string
	Weights string
}

// Event is one event of a stream; Done marks the end event.
type Event struct {
	Offset int
	Data   []byte
	Done   bool
}

// Client calls engines.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client whose connections are shared by all requests.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         outbound.ReportResets((&net.Dialer{Timeout: connectTimeout}).DialContext),
		MaxIdleConnsPerHost: 256,
		// An engine sends response headers when it accepts a request, long before the
		// first token. One that does not has crashed or hangs.
		ResponseHeaderTimeout: headerTimeout,
		// Events are small, and each open stream has its own buffer.
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: outbound.MaxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{httpClient: outbound.Wrap(transport, controlTimeout)}
}

// Stream is an open response stream. Close releases its connection.
type Stream struct {
	Identity ServerIdentity
	body     io.ReadCloser
}

// Close closes the stream's connection.
func (stream *Stream) Close() { _ = stream.body.Close() }

// Open sends a dispatch and returns once the response headers have arrived.
func (client *Client) Open(ctx context.Context, dispatch Dispatch) (*Stream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dispatch.Address+dispatch.Path, newSingleUseBody(dispatch.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderAttempt, dispatch.Attempt)
	request.Header.Set(HeaderEpoch, dispatch.Epoch)
	request.Header.Set(HeaderWeights, dispatch.Weights)
	return client.openStream(request)
}

// Resume reopens an attempt's stream after the given offset.
func (client *Client) Resume(ctx context.Context, address, attempt string, after int) (*Stream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStreams+attempt, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set(HeaderLastEventID, strconv.Itoa(after))
	return client.openStream(request)
}

func (client *Client) openStream(request *http.Request) (*Stream, error) {
	response, err := client.httpClient.Do(request.WithContext(outbound.WithTimeout(request.Context(), streamTimeout)))
	if err != nil {
		var operation *net.OpError
		if errors.As(err, &operation) && operation.Op == "dial" {
			return nil, &ErrNotStarted{Reason: "no connection"}
		}
		return nil, errors.Trace(err)
	}
	if response.StatusCode == http.StatusOK {
		identity := ServerIdentity{
			Attempt: response.Header.Get(HeaderAttempt),
			Epoch:   response.Header.Get(HeaderEpoch),
			Weights: response.Header.Get(HeaderWeights),
		}
		return &Stream{Identity: identity, body: response.Body}, nil
	}
	defer response.Body.Close()
	if echoed := response.Header.Get(HeaderAttempt); echoed != "" && echoed != request.Header.Get(HeaderAttempt) {
		return nil, errors.Errorf("the engine answered %d to another attempt, %q", response.StatusCode, echoed)
	}
	if reason := response.Header.Get(HeaderNotStarted); reason != "" {
		return nil, &ErrNotStarted{Reason: reason}
	}
	if !isClientError(response.StatusCode) {
		// An error of the engine; the request may or may not have started.
		return nil, errors.Errorf("the engine answered %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "the engine broke off its response with status %d", response.StatusCode)
	}
	if len(body) > maxEventBytes {
		return nil, errors.Errorf("the engine's response with status %d is longer than %d bytes", response.StatusCode, maxEventBytes)
	}
	return nil, &ErrRejected{Status: response.StatusCode, Body: body}
}

// isClientError reports whether a status blames the request itself, so that every
// engine would return it.
func isClientError(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	default:
		return status >= 400 && status < 500
	}
}

// Read yields the events of the stream in the order of arrival until the stream
// ends, an error occurs or yield returns false.
func (stream *Stream) Read(yield func(Event) bool) error {
	var readErr error
	for event, err := range sse.Read(stream.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			readErr = err
			break
		}
		offset, err := strconv.Atoi(event.LastEventID)
		if err != nil {
			return errors.Errorf("event id is not a number: %q", event.LastEventID)
		}
		if !yield(Event{Offset: offset, Data: []byte(event.Data), Done: event.Data == "[DONE]"}) {
			return nil
		}
	}
	if readErr == nil {
		readErr = io.ErrUnexpectedEOF
	}
	return readErr
}

// Cancel stops an attempt on the engine. It is best effort.
func (client *Client) Cancel(address, attempt string) {
	request, err := http.NewRequest(http.MethodDelete, "http://"+address+PathStreams+attempt, nil)
	if err != nil {
		return
	}
	if response, err := client.httpClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// Status queries an engine's status.
func (client *Client) Status(ctx context.Context, address string) (Status, error) {
	return callControl[Status](ctx, client, sling.New().Get("http://"+address+PathStatus))
}

// eventQuery holds the query parameters of the cache event stream.
type eventQuery struct {
	After uint64 `url:"after"`
}

// WatchEvents reads the stream of cache events after a sequence number until
// handle returns false or the stream ends. A stream without a message for longer
// than silenceTimeout is closed.
func (client *Client) WatchEvents(ctx context.Context, address string, after uint64, silenceTimeout time.Duration, handle func(EventBatch) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := sling.New().Get("http://" + address + PathEvents).QueryStruct(eventQuery{After: after}).Request()
	if err != nil {
		return errors.Trace(err)
	}
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	response, err := client.httpClient.Do(request.WithContext(outbound.WithTimeout(ctx, streamTimeout)))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &ErrRejected{Status: response.StatusCode}
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var batch EventBatch
		if err := decoder.Decode(&batch); err != nil {
			return errors.Trace(err)
		}
		watchdog.Reset(silenceTimeout)
		if !handle(batch) {
			return nil
		}
	}
}

// Snapshot reads the whole prefix cache of an engine.
func (client *Client) Snapshot(ctx context.Context, address string) (Snapshot, error) {
	return callControl[Snapshot](ctx, client, sling.New().Get("http://"+address+PathSnapshot))
}

// Order sends a fenced order to an engine.
func (client *Client) Order(ctx context.Context, address string, order Order) error {
	_, err := callControl[json.RawMessage](ctx, client, sling.New().Post("http://"+address+PathOrders).BodyJSON(order))
	return err
}

func callControl[Result any](ctx context.Context, client *Client, call *sling.Sling) (Result, error) {
	var result Result
	request, err := call.Request()
	if err != nil {
		return result, errors.Trace(err)
	}
	response, err := outbound.DecodeJSON(client.httpClient, request.WithContext(ctx), &result, nil)
	if err != nil {
		return result, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return result, &ErrRejected{Status: response.StatusCode}
	}
	return result, nil
}
