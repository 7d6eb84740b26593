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
	maximumKeyLength     = 200
	// writeTimeout bounds the write of one event. A slower caller is considered
	// disconnected even if its connection is still open.
	writeTimeout = 30 * time.Second
)

// Router defines the operations of a node that the gateway uses.
type Router interface {
	Enter() (*configuration.Snapshot, func(), error)
	Admit(ctx context.Context, tenant *configuration.Tenant) (func(), error)
	Complete(ctx context.Context, completion *node.Completion) error
	Forward(ctx context.Context, tenant *configuration.Tenant, service *configuration.Service, request plain.Request, idempotencyKey string) (*plain.Answer, error)
	Ready() bool
	Draining() bool
	MaximumBody() int64
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
	gateway.mux.HandleFunc("POST /v1/completions", gateway.wrap("completions", gateway.complete))
	gateway.mux.HandleFunc("POST /v1/chat/completions", gateway.wrap("chat", gateway.complete))
	gateway.mux.HandleFunc("GET /v1/models", gateway.wrap("models", gateway.models))
	gateway.mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	gateway.mux.HandleFunc("GET /readyz", gateway.ready)
	gateway.mux.HandleFunc("/", gateway.wrap("plain", gateway.forward))
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
	request  *http.Request
	snapshot *configuration.Snapshot
	tenant   *configuration.Tenant
	body     []byte
	started  time.Time
}

// handler returns a handler that authenticates, admits and reads a request, calls
// handle, and writes the error response if it fails.
func (gateway *Gateway) wrap(route string, serve func(*call) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if gateway.router.Draining() {
			// A connection closed after this response cannot be cut by the shutdown
			// while the next request is on its way.
			writer.Header().Set("Connection", "close")
		}
		served := &call{ResponseWriter: writer, request: request, started: time.Now()}
		err := gateway.serve(served, serve)
		result := "ok"
		if err != nil {
			result = "refused"
			gateway.refuse(writer, err)
		}
		gateway.router.Metrics().Requests.WithLabelValues(route, result).Inc()
	}
}

func (gateway *Gateway) serve(served *call, serve func(*call) error) error {
	snapshot, done, err := gateway.router.Enter()
	if err != nil {
		return err
	}
	defer done()
	served.snapshot = snapshot
	key, _ := strings.CutPrefix(served.request.Header.Get("Authorization"), "Bearer ")
	tenant, found := snapshot.TenantOfKey(key)
	if !found {
		return failure.New(failure.KindUnauthorized, "the key is missing or wrong", "send the tenant's key as a bearer token")
	}
	served.tenant = tenant
	leave, err := gateway.router.Admit(served.request.Context(), tenant)
	if err != nil {
		return err
	}
	defer leave()
	limited := http.MaxBytesReader(served.ResponseWriter, served.request.Body, gateway.router.MaximumBody())
	if served.body, err = io.ReadAll(limited); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return failure.New(failure.KindTooLarge, "the body is longer than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes", "send a shorter one")
		}
		return failure.New(failure.KindInvalidRequest, "the body is truncated", "send the request again")
	}
	return serve(served)
}

// classOf returns the job class named in the header, or else the tenant's own.
func classOf(served *call) (*configuration.Class, error) {
	name := served.request.Header.Get(headerClass)
	if name == "" {
		name = served.tenant.Class
	}
	class, found := served.snapshot.Class(name)
	if !found {
		return nil, failure.New(failure.KindInvalidRequest, "no job class is named "+strconv.Quote(name), "leave out "+headerClass+" or name a declared class")
	}
	return class, nil
}

func (gateway *Gateway) complete(served *call) error {
	message := &engineapi.CompletionRequest{}
	if err := json.Unmarshal(served.body, message); err != nil {
		return failure.New(failure.KindInvalidRequest, "the body cannot be decoded: "+err.Error(), "send a JSON object that follows the API")
	}
	if message.Model == "" {
		return failure.New(failure.KindInvalidRequest, "model is missing", "name a model that GET /v1/models lists")
	}
	if message.Choices > 1 {
		return failure.New(failure.KindInvalidRequest, "n is above 1", "send one request for each choice")
	}
	class, err := classOf(served)
	if err != nil {
		return err
	}
	answer := newAnswer(served, message, gateway.router.Metrics())
	err = gateway.router.Complete(served.request.Context(), &node.Completion{
		Tenant:  served.tenant,
		Class:   class,
		Path:    served.request.URL.Path,
		Body:    served.body,
		Request: message,
		Emitted: answer.text,
		Sink:    answer,
	})
	return answer.end(err)
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

func (gateway *Gateway) models(served *call) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range served.snapshot.ModelsFor(served.tenant) {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: served.snapshot.Declaration.Fleet})
		for _, adapter := range model.Adapters {
			list.Data = append(list.Data, modelEntry{ID: model.Name + ":" + adapter, Object: "model", OwnedBy: served.snapshot.Declaration.Fleet})
		}
	}
	writeJSON(served, http.StatusOK, list)
	return nil
}

func (gateway *Gateway) forward(served *call) error {
	service, route := served.snapshot.ServiceFor(served.tenant, served.request.Method, served.request.URL.Path)
	if service == nil {
		return failure.New(failure.KindNotFound, "no route matches this method and path", "use a declared route")
	}
	key := served.request.Header.Get(headerIdempotencyKey)
	if len(key) > maximumKeyLength {
		return failure.New(failure.KindInvalidRequest, "the idempotency key is longer than 200 characters", "use a UUID of version 7")
	}
	class, err := classOf(served)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(served.request.Context(), class.Deadline)
	defer cancel()
	header := served.request.Header.Clone()
	for _, name := range []string{"Authorization", "Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Proxy-Authorization"} {
		header.Del(name)
	}
	answer, err := gateway.router.Forward(ctx, served.tenant, service, plain.Request{
		Method:     served.request.Method,
		Path:       served.request.URL.RequestURI(),
		Header:     header,
		Body:       served.body,
		Repeatable: route.Repeatable,
	}, key)
	if err != nil {
		return err
	}
	for name, values := range answer.Header {
		if name != "Connection" && name != "Content-Length" && name != "Keep-Alive" {
			served.Header()[name] = values
		}
	}
	served.WriteHeader(answer.Status)
	// A write error means that the caller has disconnected.
	_, _ = served.Write(answer.Body)
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

func detailOf(refusal *failure.Failure) errorDetail {
	kind := "api_error"
	if status := statusOfKind[refusal.Kind]; status >= 400 && status < 500 {
		kind = "invalid_request_error"
	}
	return errorDetail{Message: refusal.Error(), Type: kind, Code: refusal.Kind, Outcome: refusal.Outcome}
}

// writeFailure writes the error response of a request whose response has not
// started.
func (gateway *Gateway) refuse(writer http.ResponseWriter, err error) {
	var rejection *dispatch.Rejection
	if errors.As(err, &rejection) {
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set(headerOutcome, string(failure.NotRun))
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
	writeJSON(writer, status, errorBody{Error: detailOf(refusal)})
}

// writeJSON writes a JSON response. Write errors are ignored, since they mean that
// the caller has disconnected.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
