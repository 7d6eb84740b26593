// Package machinestub implements a stub of the platform's machine list, which reports
// changes with a delay.
package machinestub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/lab/standin"
)

// Machine is an entry of the machine list.
type Machine struct {
	Name  string `json:"name"`
	State string `json:"state"`
	Epoch string `json:"epoch"`
}

type change struct {
	at      time.Time
	machine Machine
}

// Server is the HTTP handler of the stub.
type Server struct {
	lag     time.Duration
	mutex   sync.Mutex
	changes []change
}

// New returns an empty list that reports changes after the given lag.
func New(lag time.Duration) *Server { return &Server{lag: lag} }

// Set changes an entry; clients see the change after the lag.
func (server *Server) Set(machine Machine) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.changes = append(server.changes, change{at: time.Now(), machine: machine})
}

// ServeHTTP serves GET /machines, which returns the list, and POST /machines, which changes
// an entry.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		machine, ok := standin.Read[Machine](writer, request)
		if !ok {
			return
		}
		server.Set(machine)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(server.visible(time.Now()))
}

func (server *Server) visible(now time.Time) []Machine {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	latest := map[string]int{}
	machines := []Machine{}
	for _, item := range server.changes {
		if now.Sub(item.at) < server.lag {
			continue
		}
		if index, found := latest[item.machine.Name]; found {
			machines[index] = item.machine
			continue
		}
		latest[item.machine.Name] = len(machines)
		machines = append(machines, item.machine)
	}
	return machines
}
