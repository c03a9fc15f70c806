package dev

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"fireflyfield/internal/config"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// Resources returns the resources of the named example.
func Resources(example string) (resource.Set, error) { return loadExample(example) }

// Put creates or replaces a resource. Put and Delete must not be called concurrently.
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

// Delete removes the resource. Put and Delete must not be called concurrently.
func (c *Cluster) Delete(ctx context.Context, id resource.ID) error {
	if _, err := c.append(ctx, config.Delete(id, c.revisions[id])); err != nil {
		return err
	}
	delete(c.revisions, id)
	return nil
}

// append appends one record with the changes to the configuration stream and returns
// its offset.
func (c *Cluster) append(ctx context.Context, changes ...config.Change) (uint64, error) {
	data, err := config.Encode(config.NewRecord(uuid.New(), 0, changes...))
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration record")
	}
	client := platform.NewClient(c.platformAddress)
	defer client.Close()
	offsets, err := client.Append(ctx, config.Stream, data)
	if err != nil {
		return 0, err
	}
	return offsets[0], nil
}
