// Package plain forwards requests to plain HTTP services. A request of a route
// that is not declared repeatable (idempotent) is retried only if it cannot have
// reached a server.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

const (
	connectTimeout = 500 * time.Millisecond
	// attemptTimeout bounds an attempt; the caller's deadline ends most of them earlier.
	attemptTimeout = 10 * time.Minute
	// maxAnswerBytes bounds an answer. Answers are buffered in full before they are
	// forwarded, so that a truncated one never reaches the caller.
	maxAnswerBytes = 16 << 20
	maxAttempts    = 3
	retryAfter     = time.Second
)

// Request describes a request to forward.
type Request struct {
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// Answer is the complete response of a server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Server is the destination of an attempt.
type Server struct {
	Name    string
	Address string
}

// Chooser selects servers and receives the results of attempts.
type Chooser interface {
	Choose(excluded []string) (Server, *failure.Failure)
	ReportResult(server Server, failed bool)
}

// Budget permits or denies retries.
type Budget interface {
	Withdraw(now time.Time) bool
}

// Forwarder sends requests.
type Forwarder struct {
	repeatableClient    *http.Client
	nonRepeatableClient *http.Client
	onMismatch          func()
}

// NewForwarder returns a forwarder; onMismatch is called for each answer that
// belongs to another attempt.
func NewForwarder(onMismatch func()) *Forwarder {
	dial := outbound.ReportResets((&net.Dialer{Timeout: connectTimeout}).DialContext)
	return &Forwarder{
		repeatableClient: newClient(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true, MaxResponseHeaderBytes: outbound.MaxHeaderBytes}),
		// net/http may retry a request by itself if a keep-alive connection turns out
		// to be closed. Without keep-alive it never does.
		nonRepeatableClient: newClient(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: outbound.MaxHeaderBytes}),
		onMismatch:          onMismatch,
	}
}

func newClient(transport *http.Transport) *http.Client {
	client := outbound.Wrap(transport, attemptTimeout)
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// Forward sends the request, with retries, until it is answered or fails. Package
// exchange decides whether a failed attempt is retried.
func (forwarder *Forwarder) Forward(ctx context.Context, request Request, chooser Chooser, budget Budget) (*Answer, error) {
	collected := &collector{}
	outcome := exchange.Run(ctx, exchange.Request{
		Rules: exchange.Rules{
			Repeatable: request.Repeatable,
			MaxRuns:    maxAttempts,
			MaxSends:   maxAttempts,
			RetryAfter: retryAfter,
		},
		Budget: budget,
		Placer: &placer{forwarder: forwarder, request: request, chooser: chooser},
		Caller: collected,
	})
	if outcome.Failure == nil {
		return collected.answer, nil
	}
	final := *outcome.Failure
	if final.Outcome == failure.Unknown && !request.Repeatable {
		final.Remedy = "ask the service whether the request took effect before sending it under a new key"
	}
	return nil, &final
}

// collector implements exchange.Caller; it stores the complete answer.
type collector struct{ answer *Answer }

// Answer stores the complete answer.
func (collector *collector) Answer(answer *exchange.Answer) error {
	collector.answer = &Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	return nil
}

// Open is never called, since plain answers are not streamed.
func (collector *collector) Open(int, http.Header) error { return nil }

// Forward is never called, since plain answers are not streamed.
func (collector *collector) Forward([]byte) error { return nil }

// placer adapts a Chooser to exchange.Placer.
type placer struct {
	forwarder *Forwarder
	request   Request
	chooser   Chooser
}

// Place selects a server.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	server, refusal := placer.chooser.Choose(excluded)
	if refusal != nil {
		return nil, &exchange.Unplaced{Reason: refusal.Problem, Permanent: true}
	}
	return &placement{placer: placer, server: server}, nil
}

// Readmit does nothing, since no attempt is given up for silence.
func (placer *placer) Readmit([]string) {}

// placement is one attempt at a server.
type placement struct {
	placer *placer
	server Server
}

// Server returns the name of the server.
func (placement *placement) Server() string { return placement.server.Name }

// ResponseStarted does nothing, since plain answers are not streamed.
func (placement *placement) ResponseStarted() {}

// Forwarding does nothing, since plain answers are not streamed.
func (placement *placement) Forwarding() {}

// Stalled returns false: a silent server is not abandoned before the request's
// deadline.
func (placement *placement) Stalled(time.Duration) bool { return false }

// PathFailed returns false: plain answers are not streamed.
func (placement *placement) PathFailed(time.Duration) bool { return false }

// StartDeadline returns the zero time: plain requests may start at any time.
func (placement *placement) StartDeadline() time.Time { return time.Time{} }

// End reports the result of the attempt to the chooser.
func (placement *placement) End(result exchange.Result) {
	failed := result != exchange.ResultServed && result != exchange.ResultFaulty && result != exchange.ResultNeutral
	placement.placer.chooser.ReportResult(placement.server, failed)
}

// AwaitRelease does not wait: requests that may be sent again may run at two servers at a time.
func (placement *placement) AwaitRelease(context.Context) exchange.ReleaseReason {
	return exchange.ReleaseNotRequired
}

// Send sends the attempt.
func (placement *placement) Send(ctx context.Context, _ bool, _ int64) (*exchange.Reply, error) {
	answer, err := placement.placer.forwarder.attempt(ctx, placement.placer.request, placement.server)
	if err != nil {
		return nil, err
	}
	complete := &exchange.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	return &exchange.Reply{Status: answer.Status, Header: answer.Header, Complete: complete, Close: func() {}}, nil
}

func (forwarder *Forwarder) attempt(ctx context.Context, request Request, server Server) (*Answer, error) {
	attempt := uuid.NewString()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+server.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &exchange.ErrRefused{Reason: err.Error()}
	}
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(engineapi.HeaderAttempt, attempt)
	client := forwarder.nonRepeatableClient
	if request.Repeatable {
		client = forwarder.repeatableClient
	}
	response, err := client.Do(outgoing)
	if err != nil {
		var operation *net.OpError
		if errors.As(err, &operation) && operation.Op == "dial" {
			return nil, &exchange.ErrUnreached{Reason: "no connection"}
		}
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if echoed := response.Header.Get(engineapi.HeaderAttempt); echoed != "" && echoed != attempt {
		forwarder.onMismatch()
		return nil, errors.New("the answer belongs to another request")
	}
	if reason := response.Header.Get(engineapi.HeaderNotStarted); reason != "" {
		return nil, &exchange.ErrRefused{Reason: reason}
	}
	if response.StatusCode < http.StatusOK {
		// net/http accepts any three digits, and a switch of protocols, which no request asks for.
		return nil, errors.Errorf("status %d is not that of a final response", response.StatusCode)
	}
	if name := outbound.MalformedLength(response.Header); name != "" {
		return nil, errors.Errorf("the answer has the malformed header %q, so that the end of its body is unknown", name)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
