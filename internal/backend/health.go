package backend

import (
	"context"
	"net/http"
)

// Health checks whether the backend server is up. The error is not nil if it reports
// otherwise, cannot be reached or does not respond before the context ends.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodGet, PathHealth, nil, nil)
	return err
}
