package main

import (
	"net/http"
	"sync"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// A store is the stand-in of the platform's store with the faults that the users' pages name.
type store struct {
	*standin.Store
	rec *recorder

	mutex sync.Mutex
	// silent says that the store is down and says nothing. A connection on which an answer is lost says nothing more, also
	// once the store is back.
	silent bool
	// heldCalls counts the calls that were not answered.
	heldCalls int
}

func (s *store) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

// held returns the number of calls that got no answer.
func (s *store) held() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.heldCalls
}

// ServeHTTP serves one call. While the store is down, it is not done and its connection stays without an answer for good.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	silent := s.silent
	if silent {
		s.heldCalls++
	}
	s.mutex.Unlock()
	if silent {
		s.rec.notef("store: %s %s gets no answer", r.Method, r.URL.RequestURI())
		<-r.Context().Done()
		return
	}
	s.Store.ServeHTTP(w, r)
}
