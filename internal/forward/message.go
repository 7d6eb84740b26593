// Package forward sends attempts to servers through other nodes. A node uses it for servers that it
// cannot reach itself while other nodes can. A node that forwards an attempt for another one sends it
// to the server itself and never on to a third node.
//
// An attempt is one HTTP request between the two nodes with a gob message as its body. The response
// is a message with the head or the error, and for a stream one message per event.
package forward

import (
	"encoding/gob"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
)

// Path is the path at which a node accepts attempts of other nodes.
const Path = "/attempt"

// messageFormat is the version of the message format. Within a version, fields are only added.
const messageFormat = 1

// wireAttempt is the message with an attempt. Its fields are those of proxy.Dispatch.
type wireAttempt struct {
	Format int
	// Node is the name of the sending node.
	Node       string
	ID         string
	Method     string
	Host       string
	Target     string
	Header     http.Header
	Body       []byte
	Instance   string
	Server     string
	Address    string
	Stream     bool
	Tenant     string
	Urgency    int
	Version    int64
	Salt       string
	FetchFrom  string
	SaveTo     string
	Resumes    bool
	After      int64
	Repeatable bool
	Confirm    bool
	// Service, Fingerprint and Parts are the attempt's suspects. Former builds send none.
	Service     string
	Fingerprint quarantine.Fingerprint
	Parts       []quarantine.Fingerprint
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

func newWireAttempt(node string, d proxy.Dispatch) wireAttempt {
	return wireAttempt{
		Format: messageFormat, Node: node,
		ID: d.Request.ID, Method: d.Request.Method, Host: d.Request.Host, Target: d.Request.Target, Header: d.Request.Header, Body: d.Request.Body,
		Instance: d.Instance, Server: d.Server, Address: d.Address, Stream: d.Stream, Tenant: d.Tenant, Urgency: d.Urgency, Version: d.Version,
		Salt: d.Salt, FetchFrom: d.FetchFrom, SaveTo: d.SaveTo, Resumes: d.Resumes, After: d.After, Repeatable: d.Repeatable, Confirm: d.Confirm,
		Service: d.Suspects.Service, Fingerprint: d.Suspects.Request, Parts: d.Suspects.Parts,
		Remaining: boottime.Until(d.Deadline),
	}
}

// checkedAttempt is what CheckMessage decodes of a wireAttempt. The decoder passes over the other fields, and compares their
// numbers of elements with what is there.
type checkedAttempt struct{ Body []byte }

// checkedAttempts holds attempts that are not in use: the decoder uses their bodies again.
var checkedAttempts = sync.Pool{New: func() any { return new(checkedAttempt) }}

// CheckMessage checks that a message of a size, with an attempt, has at most maxHeadBytes beside the body. A decoder of gob makes
// a map, such as that of the headers, with room for many times the bytes of its shortest entries.
func CheckMessage(message io.Reader, bytes, maxHeadBytes int64) error {
	attempt := checkedAttempts.Get().(*checkedAttempt)
	defer checkedAttempts.Put(attempt)
	attempt.Body = attempt.Body[:0]
	if err := gob.NewDecoder(message).Decode(attempt); err != nil {
		return errors.Trace(err)
	}
	if head := bytes - int64(len(attempt.Body)); head > maxHeadBytes {
		return errors.Errorf("attempt has %d bytes beside its body, and this node accepts %d", head, maxHeadBytes)
	}
	return nil
}

// dispatch returns the attempt of a message that arrived at a time.
func (w wireAttempt) dispatch(arrived time.Time) proxy.Dispatch {
	if w.Header == nil {
		w.Header = http.Header{}
	}
	return proxy.Dispatch{
		Request:  &proxy.Request{ID: w.ID, Method: w.Method, Host: w.Host, Target: w.Target, Header: w.Header, Body: w.Body, Arrived: arrived},
		Instance: w.Instance, Server: w.Server, Address: w.Address, Stream: w.Stream, Tenant: w.Tenant, Urgency: w.Urgency, Version: w.Version,
		Salt: w.Salt, FetchFrom: w.FetchFrom, SaveTo: w.SaveTo, Resumes: w.Resumes, After: w.After, Repeatable: w.Repeatable, Confirm: w.Confirm,
		Suspects: quarantine.Suspects{Service: w.Service, Request: w.Fingerprint, Parts: w.Parts},
		Deadline: arrived.Add(w.Remaining),
	}
}

// errorKind is the type of the error of an attempt. The values are part of the message format.
type errorKind int

const (
	errorNone errorKind = iota
	errorRefused
	errorUnreached
	errorWithdrawn
	errorCutOff
	errorBroken
	// errorUnavailable means that the node does not forward attempts now. Nothing was sent.
	errorUnavailable
	// errorUnvouched is an exchange.ErrUnvouched. Builds that do not know it take it for errorBroken, as they do any kind
	// that is added.
	errorUnvouched
	// errorPathFailed is an exchange.ErrPathFailed.
	errorPathFailed
)

// wireError is the error of an attempt.
type wireError struct {
	Kind            errorKind
	Reason          string
	LoadedVersion   int64
	AnotherInstance bool
	// RespondingInstance is empty from nodes of former builds.
	RespondingInstance string
	// Status is that of an errorUnvouched.
	Status int
	// Stated is set in an errorRefused by builds that take only the server's statement for a refusal.
	Stated bool
}

// misdirected is the reason of a refusal with the status 421, which former builds take for one without a statement.
var misdirected = strconv.Itoa(http.StatusMisdirectedRequest)

// newWireError returns the message of an error. An error of an unknown type says nothing of whether
// the attempt ran.
func newWireError(err error) wireError {
	var refused *exchange.ErrRefused
	var unreached *exchange.ErrUnreached
	var withdrawn *exchange.ErrWithdrawn
	var cutOff *exchange.ErrCutOff
	var unavailable *proxy.ErrUnavailable
	var unvouched *exchange.ErrUnvouched
	var pathFailed *exchange.ErrPathFailed
	switch {
	case errors.As(err, &pathFailed):
		return wireError{Kind: errorPathFailed, Reason: pathFailed.Reason}
	case errors.As(err, &unvouched):
		return wireError{Kind: errorUnvouched, Reason: err.Error(), Status: unvouched.Status, RespondingInstance: unvouched.RespondingInstance}
	case errors.As(err, &refused):
		return wireError{Kind: errorRefused, Stated: true, Reason: refused.Reason, LoadedVersion: refused.LoadedVersion, AnotherInstance: refused.AnotherInstance, RespondingInstance: refused.RespondingInstance}
	case errors.As(err, &unreached):
		return wireError{Kind: errorUnreached, Reason: unreached.Reason}
	case errors.As(err, &withdrawn):
		return wireError{Kind: errorWithdrawn, Reason: withdrawn.Reason}
	case errors.As(err, &cutOff):
		return wireError{Kind: errorCutOff, Reason: cutOff.Reason}
	case errors.As(err, &unavailable):
		return wireError{Kind: errorUnavailable, Reason: unavailable.Reason}
	default:
		return wireError{Kind: errorBroken, Reason: err.Error()}
	}
}

// err returns the error, or nil if there is none.
func (w wireError) err() error {
	switch w.Kind {
	case errorNone:
		return nil
	case errorRefused:
		if !w.Stated && w.Reason == misdirected {
			return &exchange.ErrUnvouched{Status: http.StatusMisdirectedRequest, RespondingInstance: w.RespondingInstance}
		}
		return &exchange.ErrRefused{Reason: w.Reason, LoadedVersion: w.LoadedVersion, AnotherInstance: w.AnotherInstance, RespondingInstance: w.RespondingInstance, ByPeer: true}
	case errorUnreached:
		return &exchange.ErrUnreached{Reason: w.Reason, ByPeer: true}
	case errorWithdrawn:
		return &exchange.ErrWithdrawn{Reason: w.Reason, ByPeer: true}
	case errorCutOff:
		return &exchange.ErrCutOff{Reason: w.Reason}
	case errorUnavailable:
		return &proxy.ErrUnavailable{Reason: w.Reason}
	case errorPathFailed:
		return &exchange.ErrPathFailed{Reason: w.Reason}
	case errorUnvouched:
		return &exchange.ErrUnvouched{Status: w.Status, RespondingInstance: w.RespondingInstance}
	default:
		return errors.New(w.Reason)
	}
}

// wireHead is the first message of a response.
type wireHead struct {
	Format int
	Error  wireError
	Status int
	Header http.Header
	// Body is the whole body unless Stream is set.
	Body   []byte
	Stream bool
	// Confirmed is set if the intended incarnation certainly responded, if the attempt asks for that.
	Confirmed bool
	// EndsWithConnection is that of exchange.Reply.
	EndsWithConnection bool
	// Notices are what servers reported of themselves in their responses to the attempt.
	Notices []wireNotice
}

// wireNotice is a backend.Notice.
type wireNotice struct {
	Server        string
	Age           time.Duration
	Leaving       bool
	RetryAfter    time.Duration
	HasRateLimit  bool
	RateLimit     float64
	Authoritative bool
	HasTolerance  bool
	Tolerance     float64
}

func newWireNotice(n proxy.ServerNotice) wireNotice {
	return wireNotice{
		Server: n.Server, Age: boottime.Since(n.SentAt), Leaving: n.Notice.Leaving, RetryAfter: n.Notice.RetryAfter,
		HasRateLimit: n.Notice.HasRateLimit, RateLimit: n.Notice.RateLimit, Authoritative: n.Notice.Authoritative, HasTolerance: n.Notice.HasTolerance, Tolerance: n.Notice.Tolerance,
	}
}

func (w wireNotice) notice(now time.Time) proxy.ServerNotice {
	return proxy.ServerNotice{Server: w.Server, SentAt: now.Add(-w.Age), Notice: backend.Notice{
		Leaving: w.Leaving, RetryAfter: w.RetryAfter, HasRateLimit: w.HasRateLimit, RateLimit: w.RateLimit, Authoritative: w.Authoritative,
		HasTolerance: w.HasTolerance, Tolerance: w.Tolerance,
	}}
}

// wireEvent is one event of a stream. The last one has End or an error instead of an event.
type wireEvent struct {
	Raw   []byte
	ID    int64
	HasID bool
	End   bool
	Error wireError
}

// streamEvent returns the event, or io.EOF at the end of the stream.
func (w wireEvent) streamEvent() (exchange.StreamEvent, error) {
	if err := w.Error.err(); err != nil {
		return exchange.StreamEvent{}, err
	}
	if w.End {
		return exchange.StreamEvent{}, io.EOF
	}
	return exchange.StreamEvent{Raw: w.Raw, ID: w.ID, HasID: w.HasID}, nil
}

// checkFormat rejects a message whose format this build does not know.
func checkFormat(format int) error {
	if format < 1 || format > messageFormat {
		return errors.Errorf("attempt has format %d, and this node reads up to %d; run builds that support each other's message formats", format, messageFormat)
	}
	return nil
}
