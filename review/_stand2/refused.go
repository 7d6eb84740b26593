package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/platform/standin"
)

const refusedService = "vuoro-api"

// turnServer is a stand-in of a server of the turn service.
type turnServer struct {
	id, zone, address string
	ledger            *turnLedger
	beats             int64
}

// turnLedger holds how often each request ran.
type turnLedger struct {
	mutex  sync.Mutex
	record *record
	runs   map[string]int
	// failing is the server that fails part of its requests, or "", and count the requests that it ran since.
	failing string
	count   int
}

// run runs a request, and reports whether it fails: two in five do at the server that fails part of its requests.
func (l *turnLedger) run(server, id string) (fails bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id]++
	if server == l.failing {
		l.count++
		fails = l.count%5 < 2
	}
	l.record.line("%s: runs request %s, fails: %v", server, id, fails)
	return fails
}

func newTurnServer(id, zone string, ledger *turnLedger) (*turnServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &turnServer{id: id, zone: zone, address: listener.Addr().String(), ledger: ledger}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(s.serve)}).Serve(listener) }()
	return s, nil
}

func (s *turnServer) entry() any {
	s.beats++
	return map[string]any{
		"service": refusedService, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0.0,
		"seq": s.beats, "born": bornAt,
	}
}

// serve runs a request. A failure is a 503 of the server's own, without Cloverrail-Not-Executed.
func (s *turnServer) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	w.Header().Set(standin.HeaderRequestID, id)
	switch expected := r.Header.Get(standin.HeaderExpectInstance); {
	case r.URL.Path == "/health":
		w.Header().Set(standin.HeaderInstance, s.id)
		return
	case expected != "" && expected != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	fails := s.ledger.run(s.id, id)
	time.Sleep(60 * time.Millisecond)
	w.Header().Set(standin.HeaderStamp, s.id+standin.StampSuffix)
	if fails {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "the turn was entered, but its confirmation failed")
		return
	}
	_, _ = io.WriteString(w, "the turn was entered")
}

// enteredTwice returns the number of turns of which both tries ran.
func (l *turnLedger) enteredTwice() (turns int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id := range l.runs {
		if turn, second := strings.CutSuffix(id, "-try-2"); second && l.runs[turn+"-try-1"] > 0 {
			turns++
		}
	}
	return turns
}

// playRefused plays case 5: a server fails part of its requests, with a 503 of its own.
func playRefused(p *play) (int, error) {
	ledger := &turnLedger{record: p.record, runs: map[string]int{}}
	entries := map[string]func() any{}
	for i, zone := range kuusisto.zoneNames {
		s, err := newTurnServer(fmt.Sprintf("i-turn-%d", i+1), zone, ledger)
		if err != nil {
			return unable, err
		}
		entries[s.id] = s.entry
	}
	p.store.write(configuration, map[string]any{
		"version": 1, "limits": limits, "services": []any{map[string]any{"name": refusedService, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
		"routes": []any{map[string]any{
			"name": "r-turn", "host": host, "path_prefix": "/hucu512/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
			"service": refusedService, "max_attempts": 1, "public": false,
		}},
		"tenants": []any{map[string]any{"name": "alpha", "api_keys": []string{alphaKey}, "priority": 1, "isolated": false}},
	})
	p.beat(entries)
	if err := p.startFleet(kuusisto); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second)
	if served, _ := p.sendTurns("calm", 20, ledger); served < 18 {
		return unable, fmt.Errorf("only %d of 20 turns were served before the disruption", served)
	}
	if p.trouble {
		ledger.mutex.Lock()
		ledger.failing = "i-turn-1"
		ledger.mutex.Unlock()
	}
	p.record.say("one of three servers fails two in five of its requests: %v", p.trouble)
	_, breaks := p.sendTurns("turn", 90, ledger)
	p.record.say("%d tries got a 429, 503, 408 or 421 although they had run; %d turns were entered twice", breaks, ledger.enteredTwice())
	if breaks > 0 {
		return broken, nil
	}
	return held, nil
}

// isPromise reports whether a status says that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendTurns submits turns, each with one more try after a promise. It returns how many were served, and how many tries
// got a promise although they had run.
func (p *play) sendTurns(prefix string, count int, ledger *turnLedger) (served, breaks int) {
	for i := range count {
		for try := range 2 {
			id := fmt.Sprintf("%s-%03d-try-%d", prefix, i, try+1)
			got := send(p.fleet.nodes[(i+try)%len(p.fleet.nodes)], call{id: id, path: "/hucu512/2f", key: alphaKey, body: prefix, deadline: 4 * time.Second})
			ledger.mutex.Lock()
			runs := ledger.runs[id]
			ledger.mutex.Unlock()
			p.record.line("client: turn %d, request %s: %s, ran %d times", i, id, got.text(), runs)
			if got.served() {
				served++
			}
			if !isPromise(got.status) {
				break
			}
			if runs > 0 {
				breaks++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return served, breaks
}
