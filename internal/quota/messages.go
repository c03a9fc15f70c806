package quota

import "time"

// BatchID identifies a batch among those of one holder instance.
type BatchID struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
	// Part is the index of the grant in its reply.
	Part int `cbor:"3,keyasint,omitempty"`
}

// BatchState is a holder's report of one batch. The counts are totals, so a
// repeated or reordered report changes nothing.
type BatchState struct {
	ID       BatchID `cbor:"1,keyasint"`
	Tokens   int64   `cbor:"2,keyasint"`
	Spent    int64   `cbor:"3,keyasint,omitempty"`
	Returned int64   `cbor:"4,keyasint,omitempty"`
}

// Sync reports every batch of a holder and asks for the next one.
type Sync struct {
	Workspace string `cbor:"1,keyasint"`
	// Holder is the VM name, or DomainHolder of the failure domain that draws.
	Holder   string `cbor:"2,keyasint"`
	Instance uint64 `cbor:"3,keyasint"`
	// Term is the keeper term that the sync is meant for.
	Term uint64 `cbor:"4,keyasint"`
	// Seq rises with each new sync of an instance; a repeat has the same one.
	Seq  uint64 `cbor:"5,keyasint"`
	Want int64  `cbor:"6,keyasint,omitempty"`
	// Need is the part of Want for which requests are waiting.
	Need int64 `cbor:"7,keyasint,omitempty"`
	// Complete says that no other process holds tokens under this holder's name.
	Complete bool         `cbor:"8,keyasint,omitempty"`
	Batches  []BatchState `cbor:"9,keyasint,omitempty"`
}

// Grant is one batch. Lifetime counts from the moment at which the holder first
// sent the sync.
type Grant struct {
	Tokens   int64         `cbor:"1,keyasint"`
	Lifetime time.Duration `cbor:"2,keyasint"`
}

// Reply answers a sync. A Term above that of the sync means that the sync was not
// processed and must be sent anew under that term.
type Reply struct {
	Workspace string  `cbor:"1,keyasint"`
	Domain    string  `cbor:"2,keyasint"`
	Term      uint64  `cbor:"3,keyasint"`
	Seq       uint64  `cbor:"4,keyasint"`
	Grants    []Grant `cbor:"5,keyasint,omitempty"`
	// RetryAfter is set when fewer tokens than needed were granted.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// Window is the time for which a holder fetches tokens ahead and after which
	// it reports.
	Window time.Duration `cbor:"7,keyasint,omitempty"`
}

func (r Reply) tokens() int64 {
	var sum int64
	for _, g := range r.Grants {
		sum += g.Tokens
	}
	return sum
}

// Ask is sent by a new keeper to learn what a holder has.
type Ask struct {
	Workspace string `cbor:"1,keyasint"`
	Domain    string `cbor:"2,keyasint"`
	Term      uint64 `cbor:"3,keyasint"`
}

// Envelope is a message with its destination. Exactly one of Sync, Reply and Ask
// is set. A Sync goes to the keeper of ToDomain. A Reply or an Ask goes to the VM
// ToVM, or to the keeper of ToDomain if ToVM is empty.
type Envelope struct {
	ToVM     string
	ToDomain string
	Sync     *Sync
	Reply    *Reply
	Ask      *Ask
}

const domainPrefix = "domain/"

// DomainHolder is the holder name under which a failure domain draws.
func DomainHolder(domain string) string { return domainPrefix + domain }
