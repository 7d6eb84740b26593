package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/difference"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/inbound"
	"github.com/cloverrail/cloverrail/internal/node"
	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

const (
	maxRequestBytes = 64 << 20
	callTimeout     = 20 * time.Second
	// memoryReleaseDelay is the delay after which the memory of a call is returned
	// to the operating system.
	memoryReleaseDelay = time.Second
)

// QueryRequest carries one statement.
type QueryRequest struct {
	Statement string `json:"statement"`
}

// ApplyRequest carries a whole declaration.
type ApplyRequest struct {
	// ChangeID is chosen by the operator's command, so that the outcome can be
	// queried if the response is lost.
	ChangeID string `json:"changeID"`
	// File is the name of the declaration's file, for messages.
	File string `json:"file"`
	// Declaration was parsed and checked by the operator's command and is checked
	// again here. It is not parsed on the node, since parsing a file of 31,000
	// tenants temporarily takes about 800 MB, more than a node has.
	Declaration *configuration.Declaration `json:"declaration"`
	// BaseRevision is the revision that the operator's plan was based on; 0 stands
	// for the current one.
	BaseRevision int64 `json:"baseRevision"`
}

// SettleRequest queries the outcome of a change.
type SettleRequest struct {
	ChangeID string `json:"changeID"`
}

// ChangeResponse reports whether a change was accepted.
type ChangeResponse struct {
	Accepted bool   `json:"accepted"`
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeID"`
}

// PlanResponse lists the changes that a declaration would make.
type PlanResponse struct {
	Revision    int64                   `json:"revision"`
	Differences []difference.Difference `json:"differences"`
}

// StatusResponse is the status of a node.
type StatusResponse struct {
	Ready       bool   `json:"ready"`
	Revision    int64  `json:"revision"`
	ChangeID    string `json:"changeID"`
	Nodes       int    `json:"nodes"`
	IndexBlocks int    `json:"indexBlocks"`
}

// ErrorResponse carries a failure.
type ErrorResponse struct {
	Kind    failure.Kind    `json:"kind"`
	Outcome failure.Outcome `json:"outcome"`
	Problem string          `json:"problem"`
	Remedy  string          `json:"remedy"`
}

// Server serves the operators' HTTP interface of one node.
type Server struct {
	node      *node.Node
	bootstrap string
	mux       *http.ServeMux
	handler   http.Handler
}

// NewServer returns the server of a node. Bootstrap is the digest of a key that is
// accepted even before any operator is declared; empty means none.
func NewServer(n *node.Node, bootstrap string) *Server {
	server := &Server{node: n, bootstrap: bootstrap, mux: http.NewServeMux()}
	server.handler = inbound.WithBodyTimeout(callTimeout, server.mux)
	server.mux.Handle("GET /metrics", promhttp.HandlerFor(n.Registry(), promhttp.HandlerOpts{}))
	server.mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	server.mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
		}
	})
	server.handle("POST /operator/query", server.query)
	server.handle("POST /operator/plan", server.plan)
	server.handle("POST /operator/apply", server.apply)
	server.handle("POST /operator/settle", server.settle)
	server.handle("GET /operator/status", server.status)
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.handler.ServeHTTP(writer, request)
}

func (server *Server) handle(pattern string, serve func(ctx context.Context, body []byte) (any, error)) {
	server.mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
		defer cancel()
		response, err := server.serve(ctx, writer, request, serve)
		writer.Header().Set("Content-Type", "application/json")
		if err != nil {
			refusal := toFailure(err)
			writer.WriteHeader(statusOf(refusal.Kind))
			_ = json.NewEncoder(writer).Encode(ErrorResponse{Kind: refusal.Kind, Outcome: refusal.Outcome, Problem: refusal.Problem, Remedy: refusal.Remedy})
			return
		}
		_ = json.NewEncoder(writer).Encode(response)
	})
}

func (server *Server) serve(ctx context.Context, writer http.ResponseWriter, request *http.Request, serve func(context.Context, []byte) (any, error)) (any, error) {
	key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !server.isOperatorKey(key) {
		return nil, failure.New(failure.KindUnauthorized, "the operator key is missing or wrong", "set --key or CLOVERRAIL_OPERATOR_KEY")
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err != nil {
		return nil, failure.New(failure.KindTooLarge, "the message is too long", "split the declaration into several fleets")
	}
	return serve(ctx, body)
}

// isOperatorKey reports whether the key belongs to an operator. Tenant keys are not
// accepted.
func (server *Server) isOperatorKey(key string) bool {
	if server.bootstrap != "" && configuration.Digest(key) == server.bootstrap {
		return true
	}
	snapshot := server.node.Snapshot()
	if snapshot == nil {
		return false
	}
	_, found := snapshot.OperatorOfKey(key)
	return found
}

func toFailure(err error) *failure.Failure {
	var diagnostics strictyaml.Diagnostics
	if errors.As(err, &diagnostics) {
		return failure.New(failure.KindInvalidRequest, diagnostics.Error(), "correct the declaration and run `cloverrail check`")
	}
	return failure.As(err)
}

func statusOf(kind failure.Kind) int {
	switch kind {
	case failure.KindUnauthorized:
		return http.StatusUnauthorized
	case failure.KindInvalidRequest:
		return http.StatusBadRequest
	case failure.KindNotFound:
		return http.StatusNotFound
	case failure.KindConflict:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (server *Server) query(ctx context.Context, body []byte) (any, error) {
	var message QueryRequest
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	statement, err := Parse(message.Statement)
	if err != nil {
		return nil, err
	}
	if statement.Show != nil {
		return Query(server.node, statement.Show)
	}
	// A change of one tenant marshals all tenants.
	defer time.AfterFunc(memoryReleaseDelay, debug.FreeOSMemory)
	version, err := Execute(ctx, server.node.Store(), server.node.Version(), statement)
	if err != nil {
		return nil, err
	}
	server.node.Activate(version)
	response := &Table{Columns: []string{"accepted", "revision", "change"}}
	response.addRow(true, version.Revision, version.Manifest.ChangeID)
	return response, nil
}

// proposal is a submitted declaration and the version that it would replace.
type proposal struct {
	message ApplyRequest
	// base is nil if no declaration has ever been applied.
	base *configstore.Version
}

func (server *Server) propose(ctx context.Context, body []byte) (*proposal, error) {
	proposed := &proposal{}
	if err := decode(body, &proposed.message); err != nil {
		return nil, err
	}
	if proposed.message.Declaration == nil {
		return nil, failure.New(failure.KindInvalidRequest, "the declaration is missing", "use the cloverrail command of the same version")
	}
	if err := strictyaml.Validate(proposed.message.File, proposed.message.Declaration); err != nil {
		return nil, err
	}
	var err error
	proposed.base, err = server.node.Store().Read(ctx, server.node.Version())
	return proposed, err
}

func (server *Server) plan(ctx context.Context, body []byte) (any, error) {
	proposed, err := server.propose(ctx, body)
	if err != nil {
		return nil, err
	}
	response := PlanResponse{}
	var current *configuration.Declaration
	if proposed.base != nil {
		response.Revision = proposed.base.Revision
		if current, err = configstore.Join(proposed.base.Parts); err != nil {
			return nil, err
		}
	}
	response.Differences, err = difference.Compare(current, proposed.message.Declaration)
	return response, err
}

func (server *Server) apply(ctx context.Context, body []byte) (any, error) {
	proposed, err := server.propose(ctx, body)
	if err != nil {
		return nil, err
	}
	expected := proposed.message.BaseRevision
	if expected > 0 && (proposed.base == nil || proposed.base.Revision != expected) {
		return nil, failure.New(failure.KindConflict, "the declaration was changed since the plan", "run `cloverrail plan` again, then apply")
	}
	version, err := server.node.Store().Propose(ctx, proposed.base, proposed.message.ChangeID, proposed.message.Declaration)
	if err != nil {
		return nil, err
	}
	server.node.Activate(version)
	// A declaration's JSON and parsed forms take many times its compiled size.
	time.AfterFunc(memoryReleaseDelay, debug.FreeOSMemory)
	return ChangeResponse{Accepted: true, Revision: version.Revision, ChangeID: proposed.message.ChangeID}, nil
}

func (server *Server) settle(ctx context.Context, body []byte) (any, error) {
	var message SettleRequest
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	accepted, err := server.node.Store().Settle(ctx, message.ChangeID)
	if err != nil {
		return nil, err
	}
	return ChangeResponse{Accepted: accepted, ChangeID: message.ChangeID}, nil
}

func (server *Server) status(context.Context, []byte) (any, error) {
	response := StatusResponse{Ready: server.node.Ready(), Nodes: len(server.node.Members()), IndexBlocks: server.node.IndexBlocks()}
	if snapshot := server.node.Snapshot(); snapshot != nil {
		response.Revision, response.ChangeID = snapshot.Revision, snapshot.ChangeID
	}
	return response, nil
}
