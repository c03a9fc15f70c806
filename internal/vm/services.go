package vm

import (
	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"
)

// services implements caller.Services with the configuration in force.
type services struct{ state *config.State }

// Service returns the spec of the named service, if it exists.
func (s services) Service(name string) (*resource.ServiceSpec, bool) {
	found, ok := s.state.View().Service(name)
	return found.Spec, ok
}
