// Package plain forwards requests to plain HTTP services. A request whose route
// is not repeatable is sent again only while no byte of it can have left.
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
)

const (
	connectTimeout = 500 * time.Millisecond
	// maximumAnswer bounds an answer, which is held whole before it is passed
	// on, so that a cut answer never reaches the caller.
	maximumAnswer = 16 << 20
	maximumTries  = 3
	retryAfter    = time.Second
)

// Request is one request to forward.
type Request struct {
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// Answer is a back end's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Server is where an attempt goes.
type Server struct {
	Name    string
	Address string
}

// Chooser picks servers and hears how attempts went.
type Chooser interface {
	Choose(excluded []string) (Server, *failure.Failure)
	Ended(server Server, failed bool)
}

// Budget permits one more attempt.
type Budget interface {
	Withdraw(now time.Time) bool
}

// Forwarder sends requests.
type Forwarder struct {
	repeatable *http.Client
	once       *http.Client
	crossed    func()
}

// NewForwarder returns a forwarder; crossed is told of answers to another attempt.
func NewForwarder(crossed func()) *Forwarder {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Forwarder{
		repeatable: newClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}),
		// net/http may send a request again by itself when a kept connection
		// turns out closed. Without kept connections it never does.
		once:    newClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
		crossed: crossed,
	}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Forward sends the request until it is answered or given up. What may follow a
// failed attempt is decided by package exchange.
func (forwarder *Forwarder) Forward(ctx context.Context, request Request, chooser Chooser, budget Budget) (*Answer, error) {
	collected := &collector{}
	outcome := exchange.Run(ctx, exchange.Request{
		Rules: exchange.Rules{
			Repeatable: request.Repeatable,
			MaxRuns:    maximumTries,
			MaxSends:   maximumTries,
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

// collector takes the answer for the caller, who wants it whole.
type collector struct{ answer *Answer }

// Answer takes the whole answer.
func (collector *collector) Answer(answer *exchange.Answer) error {
	collector.answer = &Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	return nil
}

// Open is not called: plain answers are whole.
func (collector *collector) Open(int, http.Header) error { return nil }

// Forward is not called: plain answers are whole.
func (collector *collector) Forward([]byte) error { return nil }

// placer adapts a chooser.
type placer struct {
	forwarder *Forwarder
	request   Request
	chooser   Chooser
}

// Place chooses a server.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	server, refusal := placer.chooser.Choose(excluded)
	if refusal != nil {
		return nil, &exchange.Unplaced{Reason: refusal.Problem, Permanent: true}
	}
	return &placement{placer: placer, server: server}, nil
}

// placement is one attempt at a server.
type placement struct {
	placer *placer
	server Server
}

// Server names the server.
func (placement *placement) Server() string { return placement.server.Name }

// Started needs no note: plain answers are whole.
func (placement *placement) ResponseStarted() {}

// Doubtful never gives up on a silent server before the request's time is over.
func (placement *placement) Stalled(time.Duration) bool { return false }

// StartBy is never: plain requests may begin at any time.
func (placement *placement) StartDeadline() time.Time { return time.Time{} }

// End tells the chooser how the attempt went.
func (placement *placement) End(result exchange.Result) {
	failed := result != exchange.ResultServed && result != exchange.ResultFaulty && result != exchange.ResultNeutral
	placement.placer.chooser.Ended(placement.server, failed)
}

// Send sends the attempt.
func (placement *placement) Send(ctx context.Context, _ bool, _ int64) (*exchange.Reply, error) {
	answer, err := placement.placer.forwarder.attempt(ctx, placement.placer.request, placement.server)
	if err != nil {
		return nil, err
	}
	whole := &exchange.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	return &exchange.Reply{Status: answer.Status, Header: answer.Header, Whole: whole, Close: func() {}}, nil
}

func (forwarder *Forwarder) attempt(ctx context.Context, request Request, server Server) (*Answer, error) {
	attempt := uuid.NewString()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+server.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &exchange.ErrRefused{Reason: err.Error()}
	}
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(engineapi.HeaderAttempt, attempt)
	client := forwarder.once
	if request.Repeatable {
		client = forwarder.repeatable
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
	if reason := response.Header.Get(engineapi.HeaderRefused); reason != "" {
		return nil, &exchange.ErrRefused{Reason: reason}
	}
	if echoed := response.Header.Get(engineapi.HeaderAttempt); echoed != "" && echoed != attempt {
		forwarder.crossed()
		return nil, errors.New("the answer belongs to another request")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > maximumAnswer {
		return nil, errors.Errorf("the answer is longer than %d bytes", maximumAnswer)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
