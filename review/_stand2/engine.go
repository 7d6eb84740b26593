package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// order is one order as an engine got it.
type order struct {
	at      time.Time
	engine  string
	holder  string
	fence   int64
	version int64
	status  int
}

// use is a part of a prompt that a request found kept at an engine.
type use struct {
	at                time.Time
	engine, part      string
	request, tenant   string
	maker, makersName string
}

// kept is a part of a prompt that an engine keeps, with the request that made it.
type kept struct{ request, tenant string }

// engine is a stand-in of a model server that does not check fencing tokens.
type engine struct {
	id, zone, address, model string
	loadTime                 time.Duration
	server                   *http.Server
	onOrder                  func(order)
	onUse                    func(use)
	// onRun, if set, is called with each request that begins to run.
	onRun func(id, tenant string)

	mutex    sync.Mutex
	version  int64
	loading  bool
	sequence int64
	beats    int64
	// parts holds what is kept, by salt and part.
	parts  map[[2]string]kept
	events [][]any
}

func newEngine(id, zone, model string, loadTime time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, address: listener.Addr().String(), model: model, loadTime: loadTime, version: 1, parts: map[[2]string]kept{}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
}

// entry returns what the engine writes into the list of servers.
func (e *engine) entry(service string) any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.beats++
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0.0,
		"seq": e.beats, "born": bornAt, "stage": "colocated", "models": e.models(),
	}
}

// bornAt is the start of all servers of a case.
var bornAt = time.Now().UnixMilli()

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(standin.HeaderExpectInstance); expected != "" && expected != e.id {
		w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mutex.Lock()
		defer e.mutex.Unlock()
		reply(w, map[string]any{"stage": "colocated", "models": e.models(), "busy": e.loading, "seq": e.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 110556, "handles": 0, "born": bornAt})
	case "/api/order":
		e.order(w, r)
	case "/api/kv-events":
		e.tellEvents(w, r)
	case "/api/kv-list":
		e.tellKept(w)
	default:
		e.run(w, r)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// order takes an order to load weights. It does not look at the fencing token.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation string `json:"op"`
		Version   int64  `json:"version"`
		Mode      string `json:"mode"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fence"`
		Expected  *int64 `json:"expected_rev"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Operation != "version" || body.Holder == "" || body.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	status := http.StatusAccepted
	switch {
	case e.loading, body.Expected != nil && *body.Expected != e.sequence:
		status = http.StatusConflict
	case body.Version == e.version:
		status = http.StatusOK
	default:
		e.loading = true
		e.sequence++
		time.AfterFunc(e.loadTime, func() { e.loaded(body.Version) })
	}
	e.mutex.Unlock()
	e.onOrder(order{at: time.Now(), engine: e.id, holder: body.Holder, fence: body.Fence, version: body.Version, status: status})
	w.WriteHeader(status)
}

// loaded ends a load: what was kept is dropped.
func (e *engine) loaded(version int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.version, e.loading = version, false
	for key := range e.parts {
		delete(e.parts, key)
		e.events = append(e.events, []any{len(e.events) + 1, "-", key[0], key[1], 0, e.model})
	}
}

func (e *engine) tellEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		e.mutex.Lock()
		count := len(e.events)
		events := append([][]any{}, e.events[min(max(since, 0), count):]...)
		e.mutex.Unlock()
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			reply(w, map[string]any{"boot_epoch": bornAt, "next_token": count, "lost": false, "events": events})
			return
		}
	}
}

func (e *engine) tellKept(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := [][]any{}
	for key := range e.parts {
		held = append(held, []any{key[0], key[1], 100, e.model})
	}
	reply(w, map[string]any{"boot_epoch": bornAt, "next_token": len(e.events), "held": held})
}

// run runs a request: it reads the parts of the prompt that are not kept, and writes a stream.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(standin.HeaderRequestID)
	w.Header().Set(standin.HeaderRequestID, id)
	e.mutex.Lock()
	version, loading := e.version, e.loading
	e.mutex.Unlock()
	w.Header().Set(standin.HeaderWeightVersions, strconv.FormatInt(version, 10))
	if expected := r.Header.Get(standin.HeaderExpectVersion); expected != "" && expected != strconv.FormatInt(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if loading {
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.onRun != nil {
		e.onRun(id, r.Header.Get(standin.HeaderTenant))
	}
	e.prefill(id, r.Header)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set(standin.HeaderStamp, e.id+standin.StampSuffix)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 5; event++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// prefill goes through the parts of a prompt in order. A part that is kept under the same salt is used if
// every part before it was kept as well; the others are read, and kept from then on.
func (e *engine) prefill(id string, header http.Header) {
	salt, tenant := header.Get(standin.HeaderCacheSalt), header.Get(standin.HeaderTenant)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	keptSoFar := true
	for listed := range strings.SplitSeq(header.Get(standin.HeaderPromptPrefix), ",") {
		part, tokens, _ := strings.Cut(listed, ":")
		count, _ := strconv.Atoi(tokens)
		key := [2]string{salt, part}
		found, is := e.parts[key]
		if keptSoFar = keptSoFar && is; keptSoFar {
			e.onUse(use{at: time.Now(), engine: e.id, part: part, request: id, tenant: tenant, maker: found.request, makersName: found.tenant})
			continue
		}
		e.parts[key] = kept{request: id, tenant: tenant}
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, count, e.model})
	}
}
