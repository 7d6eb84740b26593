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

	mutex  sync.Mutex
	outage outage
	// failedCalls counts the calls that were not done.
	failedCalls int
}

// An outage is how the store is down.
type outage int

const (
	// outageNone means that the store is up.
	outageNone outage = iota
	// outageSilent means that calls get no answer. Their connections say nothing more, also once the store is back.
	outageSilent
	// outageReset means that connections are reset.
	outageReset
)

func (s *store) setOutage(o outage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outage = o
}

// failed returns the number of calls that were not done.
func (s *store) failed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failedCalls
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	o := s.outage
	if o != outageNone {
		s.failedCalls++
	}
	s.mutex.Unlock()
	switch o {
	case outageNone:
		s.Store.ServeHTTP(w, r)
	case outageSilent:
		s.rec.notef("store: %s %s gets no answer", r.Method, r.URL.RequestURI())
		<-r.Context().Done()
	case outageReset:
		s.rec.notef("store: %s %s is reset", r.Method, r.URL.RequestURI())
		panic(http.ErrAbortHandler)
	}
}
