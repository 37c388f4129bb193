package consulkv_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/store/consulkv"
	"github.com/loomcleat/loomcleat/store/storetest"
)

const clientTimeout = 300 * time.Millisecond

func newSubject(t *testing.T) storetest.Subject {
	stub := consul.NewServer()
	server := httptest.NewServer(stub.Handler())
	t.Cleanup(server.Close)
	client := consulkv.NewClient(consulkv.Config{BaseURL: server.URL, Timeout: clientTimeout})
	t.Cleanup(client.Close)
	setFault := func(fault storetest.Fault) {
		switch fault {
		case storetest.Healthy:
			stub.SetFaults(consul.Faults{})
		case storetest.Down:
			stub.SetFaults(consul.Faults{Down: true})
		case storetest.RateLimited:
			stub.SetFaults(consul.Faults{RatePerSecond: -1})
		case storetest.AnswerLost:
			stub.SetFaults(consul.Faults{DropResponses: 1})
		case storetest.Slow:
			stub.SetFaults(consul.Faults{Delay: time.Hour})
		}
	}
	return storetest.Subject{Store: client, SetFault: setFault}
}

func TestStoreContract(t *testing.T) {
	storetest.Run(t, newSubject)
}

func TestMachineList(t *testing.T) {
	is := is.New(t)
	stub := consul.NewServer()
	server := httptest.NewServer(stub.Handler())
	t.Cleanup(server.Close)
	client := consulkv.NewClient(consulkv.Config{BaseURL: server.URL})
	t.Cleanup(client.Close)

	row := consulkv.CatalogRow{ServiceID: "m1", ServiceAddress: "127.0.0.1", ServicePort: 7001, ServiceMeta: map[string]string{"zone": "z1"}}
	stub.Register(row)
	machines, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(machines, []store.Machine{{ID: "m1", Control: "127.0.0.1:7001", Zone: "z1", State: store.MachineLive}})

	stub.SetFaults(consul.Faults{MachineListLag: time.Hour})
	row.ServiceMeta = map[string]string{"zone": "z1", "state": "leaving"}
	stub.Register(row)
	machines, err = client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 0) // the list is an hour old, before the machine was registered

	stub.SetFaults(consul.Faults{Down: true})
	_, err = client.List(t.Context())
	is.True(err != nil)
}
