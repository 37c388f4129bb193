package consul

import (
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/keyvalue"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

// machineList is the catalog. It keeps earlier versions so that responses can lag behind
// registrations.
type machineList struct {
	mutex    sync.Mutex
	rows     map[string]consulkv.CatalogRow
	versions []machineVersion
}

type machineVersion struct {
	at   time.Time
	rows []consulkv.CatalogRow
}

// put adds a row or replaces the one with the same service id.
func (m *machineList) put(now time.Time, row consulkv.CatalogRow) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.rows == nil {
		m.rows = map[string]consulkv.CatalogRow{}
	}
	m.rows[row.ServiceID] = row
	rows := make([]consulkv.CatalogRow, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	m.versions = append(m.versions, machineVersion{at: now, rows: rows})
}

// at returns the rows as they were at the given time and drops earlier versions.
func (m *machineList) at(when time.Time) []consulkv.CatalogRow {
	m.mutex.Lock()
	defer m.mutex.Unlock()
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
func (s *Server) Register(row consulkv.CatalogRow) { s.machines.put(time.Now(), row) }

func (s *Server) listMachines(w http.ResponseWriter, r *http.Request) {
	rows := []consulkv.CatalogRow{}
	if r.PathValue("name") == consulkv.CatalogService {
		rows = s.machines.at(time.Now().Add(-s.Faults().MachineListLag))
	}
	keyvalue.WriteJSON(w, http.StatusOK, rows)
}
