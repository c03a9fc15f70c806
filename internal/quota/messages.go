package quota

import "time"

// BatchID identifies a batch among those of one holder process.
type BatchID struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
	// Part is the index of the grant in the reply.
	Part int `cbor:"3,keyasint,omitempty"`
}

// BatchState is a holder's report of one batch. The counts of tokens are totals, so a
// repeated or reordered report has no effect.
type BatchState struct {
	ID       BatchID `cbor:"1,keyasint"`
	Tokens   int64   `cbor:"2,keyasint"`
	Spent    int64   `cbor:"3,keyasint,omitempty"`
	Returned int64   `cbor:"4,keyasint,omitempty"`
}

// Sync reports the state of every batch of a holder and asks for more tokens.
type Sync struct {
	Workspace string `cbor:"1,keyasint"`
	// Holder is the name of the VM, or DomainHolder of the failure domain whose keeper
	// borrows.
	Holder   string `cbor:"2,keyasint"`
	Instance uint64 `cbor:"3,keyasint"`
	// Term is the term of the keeper that the sync is addressed to.
	Term uint64 `cbor:"4,keyasint"`
	// Seq increases with each new sync of an instance. A sync that is sent again keeps
	// its number.
	Seq uint64 `cbor:"5,keyasint"`
	// Want is the number of tokens asked for.
	Want int64 `cbor:"6,keyasint,omitempty"`
	// Need is the part of Want that waiting requests need.
	Need int64 `cbor:"7,keyasint,omitempty"`
	// Complete is set when no other process has tokens under this holder's name.
	Complete bool         `cbor:"8,keyasint,omitempty"`
	Batches  []BatchState `cbor:"9,keyasint,omitempty"`
}

// Grant lends one batch of tokens. Lifetime counts from the moment at which the
// holder first sent the sync.
type Grant struct {
	Tokens   int64         `cbor:"1,keyasint"`
	Lifetime time.Duration `cbor:"2,keyasint"`
}

// Reply answers a sync. A Term above that of the sync means that the sync was not
// processed; the holder must send a new sync with that term.
type Reply struct {
	Workspace string  `cbor:"1,keyasint"`
	Domain    string  `cbor:"2,keyasint"`
	Term      uint64  `cbor:"3,keyasint"`
	Seq       uint64  `cbor:"4,keyasint"`
	Grants    []Grant `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the time after which tokens are expected. It is set only when fewer
	// tokens were granted than needed.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// ReportInterval is the time after which a holder reports changes. The holder also
	// derives from it how many tokens it asks for in advance.
	ReportInterval time.Duration `cbor:"7,keyasint,omitempty"`
}

// tokens returns the number of tokens granted.
func (r Reply) tokens() int64 {
	var sum int64
	for _, g := range r.Grants {
		sum += g.Tokens
	}
	return sum
}

// Ask is a new keeper's request that a holder report its batches.
type Ask struct {
	Workspace string `cbor:"1,keyasint"`
	Domain    string `cbor:"2,keyasint"`
	Term      uint64 `cbor:"3,keyasint"`
}

// Envelope is a message with its destination. Exactly one of Sync, Reply and Ask is
// set. A Sync goes to the keeper of the failure domain ToDomain. A Reply or an Ask
// goes to the holder on the VM ToVM, or to the keeper of ToDomain if ToVM is empty.
type Envelope struct {
	ToVM     string
	ToDomain string
	Sync     *Sync
	Reply    *Reply
	Ask      *Ask
}

// domainPrefix marks holder names that are failure domains.
const domainPrefix = "domain/"

// DomainHolder returns the holder name under which the keeper of a failure domain
// borrows from keepers of other failure domains.
func DomainHolder(domain string) string { return domainPrefix + domain }
