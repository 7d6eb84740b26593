package backend

// StartTimes tracks which servers of the list report their start time. If most do, an entry
// without one was written by another component; if most do not, none is required to.
type Starts struct {
	tells   map[string]bool
	telling int
}

// NewStartTimes returns a StartTimes for an empty list.
func NewStarts() *Starts { return &Starts{tells: map[string]bool{}} }

// Record sets whether the server with the given ID reports its start time.
func (s *Starts) Note(id string, tells bool) {
	s.Forget(id)
	s.tells[id] = tells
	if tells {
		s.telling++
	}
}

// Remove removes an ID that is no longer in the list.
func (s *Starts) Forget(id string) {
	if s.tells[id] {
		s.telling--
	}
	delete(s.tells, id)
}

// Required reports whether servers must report their start time: whether more than half of them
// do.
func (s *Starts) Expected() bool { return 2*s.telling > len(s.tells) }
