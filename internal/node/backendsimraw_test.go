package node

import (
	"io"
	"net/http"
	"time"
)

// sendRaw sends the raw answer, if there is one. Its head has the status 200 and the fields of an answer to r.
func (s *backendSim) sendRaw(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	answer := s.rawAnswer
	if answer != nil {
		s.arrivals = append(s.arrivals, time.Now())
	}
	s.mu.Unlock()
	if answer == nil {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	answer(c, "HTTP/1.1 200 OK\r\n"+simID+": "+r.Header.Get(simID)+"\r\n"+simSeal+": "+s.id+"\r\n")
	return true
}

// sendEndless sends start, and then next again and again with pauses until the connection closes.
func (s *backendSim) sendEndless(w http.ResponseWriter, start, next string, pause time.Duration) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, start)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(c, next)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessEnded++
}
