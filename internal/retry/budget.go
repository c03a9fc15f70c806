package retry

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// RetryShare is the largest share of retries among recent requests.
	RetryShare = 0.10
	// RetryFloor is the rate of retries per second that is always allowed, so that
	// a VM with few requests can retry at all.
	RetryFloor = 1.0
	// HedgeShare is the largest share of hedges among recent requests.
	HedgeShare = 0.05
	// HedgeFloor: hedges have no guaranteed rate, since they only save time.
	HedgeFloor = 0.0

	// budgetSeconds is the number of seconds that count as recent.
	budgetSeconds = 10
)

// Budget bounds extra attempts to a share of the requests of the last 10 s. It is
// safe for concurrent use; its lock is a leaf.
type Budget struct {
	share float64
	floor float64

	mu      sync.Mutex
	buckets [budgetSeconds]bucket
}

// bucket counts one second.
type bucket struct {
	second   int64
	requests int
	extra    int
}

// NewBudget returns a budget of share extra attempts per request, but at least
// floor per second.
func NewBudget(share, floor float64) (*Budget, error) {
	if !(share >= 0 && share <= 1) {
		return nil, errors.Errorf("share: %g is outside 0 to 1", share)
	}
	if !(floor >= 0) {
		return nil, errors.Errorf("floor: %g is negative", floor)
	}
	return &Budget{share: share, floor: floor}, nil
}

// Request counts one request; extra attempts are not requests.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take counts one extra attempt and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	requests, extra := b.recent(current.second)
	if float64(extra+1) <= b.share*float64(requests) || float64(current.extra+1) <= b.floor {
		current.extra++
		return true
	}
	return false
}

// Return gives back an extra attempt that was taken and not made.
func (b *Budget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	current.extra = max(0, current.extra-1)
}

func (b *Budget) bucket(now time.Time) *bucket {
	second := now.Unix()
	current := &b.buckets[second%budgetSeconds]
	if current.second != second {
		*current = bucket{second: second}
	}
	return current
}

func (b *Budget) recent(second int64) (requests, extra int) {
	for i := range b.buckets {
		if age := second - b.buckets[i].second; age >= 0 && age < budgetSeconds {
			requests += b.buckets[i].requests
			extra += b.buckets[i].extra
		}
	}
	return requests, extra
}
