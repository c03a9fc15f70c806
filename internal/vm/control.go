package vm

import (
	"sync"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/config"
	"fireflyfield/internal/ownership"
)

// controlConnections is the number of connections for requests that a control client
// may open. One is enough, because it sends only control calls.
const controlConnections = 1

// controlClients holds one client per backend server for its control interface.
type controlClients struct {
	view func() *config.View

	mu      sync.Mutex
	clients map[ownership.ServerID]controlClient
}

type controlClient struct {
	address string
	client  *backend.Client
}

func newControlClients(view func() *config.View) *controlClients {
	return &controlClients{view: view, clients: make(map[ownership.ServerID]controlClient)}
}

// client returns the client for the configured address of the backend server. It
// replaces the client if the address has changed.
func (c *controlClients) client(id ownership.ServerID) (*backend.Client, bool) {
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
