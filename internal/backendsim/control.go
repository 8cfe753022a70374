package backendsim

import (
	"encoding/json"
	"net/http"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 64 << 10

// controlRequest is the body of POST /control. It replaces all faults.
type controlRequest struct {
	Faults
	// Crash makes the server crash immediately.
	Crash bool `json:"crash"`
}

func (s *Server) getControl(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Server) postControl(w http.ResponseWriter, r *http.Request) {
	var req controlRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(req.Faults)
	if req.Crash {
		s.Crash()
		return
	}
	writeJSON(w, req.Faults)
}

func (s *Server) getExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
