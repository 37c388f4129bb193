package consulkv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/store/partial"
)

// CatalogService is the service name under which loomcleat's processes are registered in
// the catalog.
const CatalogService = "loomcleat"

// Keys of ServiceMeta in the catalog.
const (
	MetaZone  = "zone"
	MetaState = "state" // "live" or "leaving"
)

// CatalogRow is a row of GET /v1/catalog/service/NAME.
type CatalogRow struct {
	ID             string
	Node           string
	Address        string
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

func (c *Client) List(ctx context.Context) ([]store.Machine, error) {
	got, err := c.do(ctx, http.MethodGet, "/v1/catalog/service/"+CatalogService, nil, 0)
	if err != nil {
		return nil, err
	}
	rows, err := partial.Elements(got.body)
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "decoding the machine list")
	}
	machines := make([]store.Machine, 0, len(rows))
	for _, encoded := range rows {
		if machine, ok := machineOf(encoded); ok {
			machines = append(machines, machine)
		}
	}
	return machines, nil
}

// machineOf returns the process of a row, and false if the row is of another writer: it can't be read,
// or holds no address.
func machineOf(encoded json.RawMessage) (store.Machine, bool) {
	var row CatalogRow
	if err := json.Unmarshal(encoded, &row); err != nil {
		return store.Machine{}, false
	}
	control := net.JoinHostPort(row.ServiceAddress, strconv.Itoa(row.ServicePort))
	if !store.IsAddress(control) {
		return store.Machine{}, false
	}
	state := store.MachineState(row.ServiceMeta[MetaState])
	if state == "" {
		state = store.MachineLive
	}
	return store.Machine{ID: row.ServiceID, Control: control, Zone: row.ServiceMeta[MetaZone], State: state}, true
}
