package dev

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"fireflyfield/internal/config"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// Resources returns the resources of the example.
func Resources(example string) (resource.Set, error) { return loadExample(example) }

// Put creates or replaces a resource. It belongs to one goroutine, as Delete does.
func (c *Cluster) Put(ctx context.Context, r resource.Resource) error {
	change, err := config.Put(r, c.revisions[r.ID()])
	if err != nil {
		return errors.Wrapf(err, "encode %s", r.ID())
	}
	offset, err := c.append(ctx, change)
	if err != nil {
		return err
	}
	c.revisions[r.ID()] = offset
	return nil
}

// Delete removes a resource.
func (c *Cluster) Delete(ctx context.Context, id resource.ID) error {
	if _, err := c.append(ctx, config.Delete(id, c.revisions[id])); err != nil {
		return err
	}
	delete(c.revisions, id)
	return nil
}

// append writes one record with the changes and returns its offset.
func (c *Cluster) append(ctx context.Context, changes ...config.Change) (uint64, error) {
	data, err := config.Encode(config.NewRecord(uuid.New(), 0, changes...))
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}
	client := platform.NewClient(c.platform)
	defer client.Close()
	offsets, err := client.Append(ctx, config.Stream, data)
	if err != nil {
		return 0, err
	}
	return offsets[0], nil
}
