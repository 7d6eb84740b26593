// Package gateway implements the callers' HTTP interface: OpenAI-style completions
// and chat completions, the list of models, and the declared routes of plain
// services.
package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/dispatch"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/metrics"
	"github.com/cloverrail/cloverrail/internal/node"
	"github.com/cloverrail/cloverrail/internal/plain"
)

const (
	headerOutcome        = "X-Outcome"
	headerClass          = "X-Job-Class"
	headerIdempotencyKey = "Idempotency-Key"
	maxKeyLength         = 200
	// writeTimeout bounds the write of one event. A slower caller is considered
	// disconnected even if its connection is still open.
	writeTimeout = 30 * time.Second
	// memoryRetryDelay is the retry delay of a request whose body finds no memory.
	memoryRetryDelay = time.Second
	// unreadBodyTimeout bounds the time in which the body of a refused request must end. http.Server reads on until then.
	unreadBodyTimeout = 5 * time.Second
)

// Router defines the operations of a node that the gateway uses.
type Router interface {
	BeginRequest() (*configuration.Snapshot, func(), error)
	AdmitTenant(ctx context.Context, tenant *configuration.Tenant) (func(), error)
	Complete(ctx context.Context, completion *node.Completion) error
	Forward(ctx context.Context, tenant *configuration.Tenant, service *configuration.Service, request plain.Request, idempotencyKey string) (*plain.Answer, error)
	Ready() bool
	Draining() bool
	MaximumBody() int64
	Memory() *admission.MemoryBudget
	Metrics() *metrics.Set
}

// Gateway serves callers' requests.
type Gateway struct {
	router Router
	mux    *http.ServeMux
}

// New returns the gateway of a node.
func New(router Router) *Gateway {
	gateway := &Gateway{router: router, mux: http.NewServeMux()}
	gateway.mux.HandleFunc("POST /v1/completions", gateway.handler("completions", gateway.complete))
	gateway.mux.HandleFunc("POST /v1/chat/completions", gateway.handler("chat", gateway.complete))
	gateway.mux.HandleFunc("GET /v1/models", gateway.handler("models", gateway.models))
	gateway.mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	gateway.mux.HandleFunc("GET /readyz", gateway.ready)
	gateway.mux.HandleFunc("/", gateway.handler("plain", gateway.forward))
	return gateway
}

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	gateway.mux.ServeHTTP(writer, request)
}

func (gateway *Gateway) ready(writer http.ResponseWriter, _ *http.Request) {
	if !gateway.router.Ready() {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// call holds the state of one request; its tenant is set once it is authenticated.
type call struct {
	http.ResponseWriter
	request   *http.Request
	snapshot  *configuration.Snapshot
	tenant    *configuration.Tenant
	body      []byte
	startedAt time.Time
}

// handler returns a handler that authenticates, admits and reads a request, calls
// handle, and writes the error response if it fails.
func (gateway *Gateway) handler(route string, handle func(*call) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if gateway.router.Draining() {
			// The caller then sends its next request on a new connection, so that the
			// shutdown does not close a connection while a request is in transit.
			writer.Header().Set("Connection", "close")
		}
		c := &call{ResponseWriter: writer, request: request, startedAt: time.Now()}
		err := gateway.serve(c, handle)
		result := "ok"
		if err != nil {
			result = "refused"
			boundUnreadBody(writer)
			gateway.writeFailure(writer, err)
		}
		gateway.router.Metrics().Requests.WithLabelValues(route, result).Inc()
	}
}

func (gateway *Gateway) serve(c *call, handle func(*call) error) error {
	snapshot, done, err := gateway.router.BeginRequest()
	if err != nil {
		return err
	}
	defer done()
	c.snapshot = snapshot
	key, _ := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	tenant, found := snapshot.TenantOfKey(key)
	if !found {
		return failure.New(failure.KindUnauthorized, "the key is missing or wrong", "send the tenant's key as a bearer token")
	}
	c.tenant = tenant
	release, err := gateway.router.AdmitTenant(c.request.Context(), tenant)
	if err != nil {
		return err
	}
	defer release()
	hold := gateway.router.Memory().HoldResponse()
	defer hold.Release()
	if err := c.readBody(gateway.router.MaximumBody(), hold); err != nil {
		return err
	}
	return handle(c)
}

// readBody reads the body of the request, which the hold has.
func (c *call) readBody(maxBytes int64, hold *admission.ResponseHold) (err error) {
	limited := http.MaxBytesReader(c.ResponseWriter, c.request.Body, maxBytes)
	c.body, err = admission.ReadBody(limited, maxBytes, hold)
	var tooLong *http.MaxBytesError
	var refused *admission.ResponseTooLarge
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return failure.New(failure.KindTooLarge, "the body is longer than "+strconv.FormatInt(tooLong.Limit, 10)+" bytes", "send a shorter one")
	case errors.As(err, &refused):
		return failure.New(failure.KindMemory, "the bodies at this node hold the "+strconv.FormatInt(refused.Limit, 10)+" bytes that they may", "retry after the given delay; add nodes or raise memoryMegabytes if this persists").WithRetryAfter(memoryRetryDelay)
	default:
		return failure.New(failure.KindInvalidRequest, "the body is truncated", "send the request again")
	}
}

// classOf returns the job class named in the header, or else the tenant's own.
func classOf(c *call) (*configuration.Class, error) {
	name := c.request.Header.Get(headerClass)
	if name == "" {
		name = c.tenant.Class
	}
	class, found := c.snapshot.Class(name)
	if !found {
		return nil, failure.New(failure.KindInvalidRequest, "no job class is named "+strconv.Quote(name), "leave out "+headerClass+" or name a declared class")
	}
	return class, nil
}

func (gateway *Gateway) complete(c *call) error {
	message := &engineapi.CompletionRequest{}
	if err := json.Unmarshal(c.body, message); err != nil {
		return failure.New(failure.KindInvalidRequest, "the body cannot be decoded: "+err.Error(), "send a JSON object that follows the API")
	}
	if message.Model == "" {
		return failure.New(failure.KindInvalidRequest, "model is missing", "name a model that GET /v1/models lists")
	}
	if message.Choices > 1 {
		return failure.New(failure.KindInvalidRequest, "n is "+strconv.Itoa(message.Choices)+", above 1", "send one request for each choice")
	}
	class, err := classOf(c)
	if err != nil {
		return err
	}
	completion := newCompletion(c, message, gateway.router.Metrics())
	err = gateway.router.Complete(c.request.Context(), &node.Completion{
		Tenant:      c.tenant,
		Class:       class,
		Path:        c.request.URL.Path,
		Body:        c.body,
		Request:     message,
		EmittedText: completion.text,
		Sink:        completion,
	})
	return completion.finalize(err)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (gateway *Gateway) models(c *call) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range c.snapshot.ModelsFor(c.tenant) {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: c.snapshot.Declaration.Fleet})
		for _, adapter := range model.Adapters {
			list.Data = append(list.Data, modelEntry{ID: model.Name + ":" + adapter, Object: "model", OwnedBy: c.snapshot.Declaration.Fleet})
		}
	}
	writeJSON(c, http.StatusOK, list)
	return nil
}

func (gateway *Gateway) forward(c *call) error {
	service, route := c.snapshot.ServiceFor(c.tenant, c.request.Method, c.request.URL.Path)
	if service == nil {
		return failure.New(failure.KindNotFound, "no route matches this method and path", "use a declared route")
	}
	key := c.request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyLength {
		return failure.New(failure.KindInvalidRequest, "the idempotency key has "+strconv.Itoa(len(key))+" bytes, more than "+strconv.Itoa(maxKeyLength), "use a UUID of version 7")
	}
	class, err := classOf(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), class.Deadline)
	defer cancel()
	header := c.request.Header.Clone()
	for _, name := range []string{"Authorization", "Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Authorization"} {
		header.Del(name)
	}
	answer, err := gateway.router.Forward(ctx, c.tenant, service, plain.Request{
		Method:     c.request.Method,
		Path:       c.request.URL.RequestURI(),
		Header:     header,
		Body:       c.body,
		Repeatable: route.Repeatable,
	}, key)
	if err != nil {
		return err
	}
	for name, values := range answer.Header {
		if name != "Connection" && name != "Content-Length" && name != "Keep-Alive" {
			c.Header()[name] = values
		}
	}
	c.WriteHeader(answer.Status)
	// A write error means that the caller has disconnected.
	_, _ = c.Write(answer.Body)
	return nil
}

// errorBody is the error response that OpenAI clients expect, with additional
// fields that they ignore.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Param   *string         `json:"param"`
	Code    failure.Kind    `json:"code"`
	Outcome failure.Outcome `json:"outcome"`
}

var statusOfKind = map[failure.Kind]int{
	failure.KindUnauthorized:   http.StatusUnauthorized,
	failure.KindNotFound:       http.StatusNotFound,
	failure.KindInvalidRequest: http.StatusBadRequest,
	failure.KindTooLarge:       http.StatusRequestEntityTooLarge,
	failure.KindRateLimited:    http.StatusTooManyRequests,
	failure.KindQueueFull:      http.StatusTooManyRequests,
	failure.KindQueueTimeout:   http.StatusTooManyRequests,
	failure.KindBackendFailed:  http.StatusBadGateway,
	failure.KindStreamBroken:   http.StatusBadGateway,
	failure.KindDuplicate:      http.StatusConflict,
	failure.KindDeadline:       http.StatusGatewayTimeout,
}

func newErrorDetail(refusal *failure.Failure) errorDetail {
	kind := "api_error"
	if status := statusOfKind[refusal.Kind]; status >= 400 && status < 500 {
		kind = "invalid_request_error"
	}
	return errorDetail{Message: refusal.Error(), Type: kind, Code: refusal.Kind, Outcome: refusal.Outcome}
}

// writeFailure writes the error response of a request whose response has not
// started.
func (gateway *Gateway) writeFailure(writer http.ResponseWriter, err error) {
	var rejection *dispatch.Rejection
	if errors.As(err, &rejection) {
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set(headerOutcome, string(rejection.Outcome))
		writer.WriteHeader(rejection.Status)
		_, _ = writer.Write(rejection.Body)
		return
	}
	refusal := failure.As(err)
	gateway.router.Metrics().Refusals.WithLabelValues(string(refusal.Kind), string(refusal.Outcome)).Inc()
	status, known := statusOfKind[refusal.Kind]
	if !known {
		status = http.StatusServiceUnavailable
	}
	header := writer.Header()
	header.Set(headerOutcome, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	writeJSON(writer, status, errorBody{Error: newErrorDetail(refusal)})
}

// boundUnreadBody bounds what is left of the body of a refused request, which may never end.
func boundUnreadBody(writer http.ResponseWriter) {
	// A writer without deadlines has no connection that could be held.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// writeJSON writes a JSON response. Write errors are ignored, since they mean that
// the caller has disconnected.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
