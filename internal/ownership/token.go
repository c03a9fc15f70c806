package ownership

import (
	"cmp"
	"fmt"
)

// successionBits is the number of low bits of a term that count successions.
const successionBits = 16

// Term identifies one period of a decider: the offset of the record that started it
// times 65,536, plus the number of successions since then. Zero means that there was
// no term yet.
type Term uint64

// TermAt returns the term that is started by the record at the offset.
func TermAt(offset uint64) Term { return Term(offset << successionBits) }

// Token is a fencing token; tokens are ordered by term, then by counter.
type Token struct {
	Term    Term   `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 if the token is lower than, equal to or higher than
// other.
func (t Token) Compare(other Token) int {
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Counter, other.Counter))
}

// String returns the form "term.counter".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Counter) }
