package vm

import (
	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"
)

// services finds Service resources in the present configuration.
type services struct{ state *config.State }

// Service implements caller.Services.
func (s services) Service(name string) (*resource.ServiceSpec, bool) {
	found, ok := s.state.View().Service(name)
	return found.Spec, ok
}
