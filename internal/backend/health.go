package backend

import (
	"context"
	"net/http"
)

// Health asks the backend server whether it is up; an error says that it is not,
// or that it did not answer before the context ended.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodGet, PathHealth, nil, nil)
	return err
}
