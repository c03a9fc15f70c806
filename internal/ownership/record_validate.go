package ownership

import (
	"github.com/go-faster/errors"

	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/resource"
)

func (r Record) validate() error {
	bodies := r.bodies()
	if len(bodies) != 1 {
		return errors.Wrapf(ErrRecord, "record with %d bodies, want 1", len(bodies))
	}
	return bodies[0].validate()
}

// body is the part of a record that one of its pointers refers to.
type body interface{ validate() error }

func (r Record) bodies() []body {
	var found []body
	found = appendBody(found, r.Claim)
	found = appendBody(found, r.Join)
	found = appendBody(found, r.Admit)
	found = appendBody(found, r.Remove)
	found = appendBody(found, r.MemberEpoch)
	found = appendBody(found, r.Assign)
	found = appendBody(found, r.Release)
	found = appendBody(found, r.Handoff)
	found = appendBody(found, r.Hot)
	found = appendBody(found, r.Init)
	found = appendBody(found, r.Pairs)
	return appendBody(found, r.Home)
}

func appendBody[T any, P interface {
	*T
	body
}](found []body, candidate P) []body {
	if candidate == nil {
		return found
	}
	return append(found, candidate)
}

func (b *Claim) validate() error       { return b.Member.validate() }
func (b *Join) validate() error        { return b.Member.validate() }
func (b *Admit) validate() error       { return b.Member.validate() }
func (b *Remove) validate() error      { return b.Member.validate() }
func (b *MemberEpoch) validate() error { return nil }
func (b *Handoff) validate() error     { return b.To.validate() }

func (b *Assign) validate() error {
	return errors.Join(checkNames(b.Service, b.Server), checkUnits(b.Units))
}

func (b *Release) validate() error {
	return errors.Join(checkNames(b.Service, b.To), checkSlices(b.Slices))
}

func (b *Home) validate() error {
	return errors.Join(checkNames(b.Service, b.To), checkSlices(b.Slices))
}

func (b *HotKeyChange) validate() error {
	return errors.Join(checkNames(b.Service), checkHotKeys(b.Split), checkHotKeys(b.Merge))
}

func (b *Init) validate() error {
	if b.Slices == 0 || b.Slices > resource.MaxSlices {
		return errors.Wrapf(ErrRecord, "%d slices, want 1 to %d", b.Slices, resource.MaxSlices)
	}
	if len(b.Domains) == 0 {
		return errors.Wrap(ErrRecord, "init record without failure domains")
	}
	return errors.Join(checkNames(b.Service), checkNames(b.Domains...))
}

func (m Member) validate() error { return checkNames(m.VM, m.Instance) }

func checkNames(names ...string) error {
	for _, name := range names {
		if name == "" || len(name) > MaxNameBytes {
			return errors.Wrapf(ErrRecord, "name of %d bytes, want 1 to %d", len(name), MaxNameBytes)
		}
	}
	return nil
}

func checkUnits(units []keyspace.Unit) error {
	if len(units) > MaxRecordUnits {
		return errors.Wrapf(ErrRecord, "list of %d units, limit %d", len(units), MaxRecordUnits)
	}
	for _, unit := range units {
		if !unit.IsHot() && unit >= resource.MaxSlices {
			return errors.Wrapf(ErrRecord, "slice %d, want less than %d", unit, resource.MaxSlices)
		}
	}
	return nil
}

func checkSlices(units []keyspace.Unit) error {
	for _, unit := range units {
		if unit.IsHot() {
			return errors.Wrap(ErrRecord, "hot key where a slice is expected")
		}
	}
	return checkUnits(units)
}

func checkHotKeys(units []keyspace.Unit) error {
	for _, unit := range units {
		if !unit.IsHot() {
			return errors.Wrap(ErrRecord, "slice where a hot key is expected")
		}
	}
	return checkUnits(units)
}
