package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// drillStore serves the project's stand-in of the platform's store, which may be away for a moment and
// come back from an older copy.
type drillStore struct {
	*standin.Store
	address string
	server  *http.Server

	mutex sync.Mutex
	away  bool
	// absences counts the times that the store was away: a call that was waiting then is not answered.
	absences int
}

func newDrillStore() (*drillStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &drillStore{Store: standin.NewStore(), address: listener.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// serve answers a call, or closes its connection if the store is away or was so while the call waited.
func (s *drillStore) serve(w http.ResponseWriter, r *http.Request) {
	before, away := s.state()
	if away {
		panic(http.ErrAbortHandler)
	}
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, r)
	if after, away := s.state(); away || after != before {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (s *drillStore) state() (absences int, away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.absences, s.away
}

// leave makes the store be away.
func (s *drillStore) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.absences++
}

// comeBack restores the store from a copy, with the text of the era that its answers name from now on.
func (s *drillStore) comeBack(copied standin.Snapshot, era string) {
	s.ReportEra(era)
	s.Restore(copied)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
}

// write writes a value as the operator or a server does. It reports whether the store took it.
func (s *drillStore) write(key string, value any) bool {
	if _, away := s.state(); away {
		return false
	}
	s.Put(key, value)
	return true
}
