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

// Forward sends the request until it is answered or given up.
func (forwarder *Forwarder) Forward(ctx context.Context, request Request, chooser Chooser, budget Budget) (*Answer, error) {
	excluded := []string{}
	outcome := failure.NotRun
	for try := 1; ; try++ {
		server, refusal := chooser.Choose(excluded)
		if refusal != nil {
			return nil, refusal.WithOutcome(outcome)
		}
		answer, err := forwarder.attempt(ctx, request, server)
		chooser.Ended(server, err != nil && ctx.Err() == nil)
		if err == nil {
			return answer, nil
		}
		excluded = append(excluded, server.Name)
		var notStarted *engineapi.ErrNotStarted
		started := !errors.As(err, &notStarted)
		if started {
			outcome = failure.Unknown
		}
		again := (!started || request.Repeatable) && try < maximumTries && ctx.Err() == nil && budget.Withdraw(time.Now())
		if !again {
			return nil, giveUp(outcome, request.Repeatable)
		}
	}
}

func giveUp(outcome failure.Outcome, repeatable bool) error {
	remedy := "send the request again"
	if outcome == failure.Unknown && !repeatable {
		remedy = "ask the service whether the request took effect before sending it under a new key"
	}
	return failure.New(failure.KindBackendFailed, "no server answered the request", remedy).
		WithOutcome(outcome).WithRetryAfter(retryAfter)
}

func (forwarder *Forwarder) attempt(ctx context.Context, request Request, server Server) (*Answer, error) {
	attempt := uuid.NewString()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+server.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &engineapi.ErrNotStarted{Reason: err.Error()}
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
			return nil, &engineapi.ErrNotStarted{Reason: "no connection"}
		}
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if reason := response.Header.Get(engineapi.HeaderRefused); reason != "" {
		return nil, &engineapi.ErrNotStarted{Reason: reason}
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
