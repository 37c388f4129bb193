package consulkv

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/loomcleat/loomcleat/store"
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
	var rows []CatalogRow
	if err := decode(got, &rows); err != nil {
		return nil, err
	}
	machines := make([]store.Machine, 0, len(rows))
	for _, row := range rows {
		state := store.MachineState(row.ServiceMeta[MetaState])
		if state == "" {
			state = store.MachineLive
		}
		machines = append(machines, store.Machine{
			ID:      row.ServiceID,
			Control: net.JoinHostPort(row.ServiceAddress, strconv.Itoa(row.ServicePort)),
			Zone:    row.ServiceMeta[MetaZone],
			State:   state,
		})
	}
	return machines, nil
}
