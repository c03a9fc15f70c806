package vm

import (
	"sync"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/config"
	"fireflyfield/internal/ownership"
)

// controlConnections is the number of data connections of a control client, which
// sends no requests.
const controlConnections = 1

// control holds clients for the control interface of backend servers.
type control struct {
	view func() *config.View

	mu      sync.Mutex
	clients map[ownership.ServerID]controlClient
}

type controlClient struct {
	address string
	client  *backend.Client
}

func newControl(view func() *config.View) *control {
	return &control{view: view, clients: make(map[ownership.ServerID]controlClient)}
}

// client returns the client for the backend server at its configured address.
func (c *control) client(id ownership.ServerID) (*backend.Client, bool) {
	service, ok := c.view().Service(id.Service)
	if !ok {
		return nil, false
	}
	server, ok := service.Spec.Server(id.Name)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.clients[id]
	if ok && known.address == server.Address {
		return known.client, true
	}
	if ok {
		known.client.Close()
	}
	created := controlClient{address: server.Address, client: backend.NewClient(server.Address, controlConnections)}
	c.clients[id] = created
	return created.client, true
}
