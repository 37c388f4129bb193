package consul

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/store/consulkv"
)

// machineList keeps the catalog and the versions of it that are still to be
// shown, so that answers lag behind registrations.
type machineList struct {
	rows     map[string]consulkv.CatalogRow
	versions []machineVersion
}

type machineVersion struct {
	at   time.Time
	rows []consulkv.CatalogRow
}

func (m *machineList) record(now time.Time) {
	rows := make([]consulkv.CatalogRow, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	m.versions = append(m.versions, machineVersion{at: now, rows: rows})
}

// at returns the rows as they were at the given time and forgets older ones.
func (m *machineList) at(when time.Time) []consulkv.CatalogRow {
	last := -1
	for i, version := range m.versions {
		if !version.at.After(when) {
			last = i
		}
	}
	if last < 0 {
		return []consulkv.CatalogRow{}
	}
	m.versions = m.versions[last:]
	return m.versions[0].rows
}

// Register adds or replaces a row of the machine list.
func (s *Server) Register(row consulkv.CatalogRow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.machines.rows == nil {
		s.machines.rows = map[string]consulkv.CatalogRow{}
	}
	s.machines.rows[row.ServiceID] = row
	s.machines.record(time.Now())
}

// Deregister removes a row of the machine list.
func (s *Server) Deregister(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.machines.rows, id)
	s.machines.record(time.Now())
}

func (s *Server) registerMachine(w http.ResponseWriter, r *http.Request) {
	var row consulkv.CatalogRow
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Register(row)
}

func (s *Server) deregisterMachine(w http.ResponseWriter, r *http.Request) {
	var row consulkv.CatalogRow
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Deregister(row.ServiceID)
}

func (s *Server) listMachines(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("name") != consulkv.CatalogService {
		writeJSON(w, []consulkv.CatalogRow{})
		return
	}
	s.mutex.Lock()
	rows := s.machines.at(time.Now().Add(-s.faults.current.MachineLag.Std()))
	s.mutex.Unlock()
	writeJSON(w, rows)
}
