package retry

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// RetryShare is the largest share of retries among recent requests.
	RetryShare = 0.10
	// RetryFloor is the number of retries per second that is always allowed, so that a
	// VM with few requests can retry at all.
	RetryFloor = 1.0
	// HedgeShare is the largest share of hedges among recent requests.
	HedgeShare = 0.05
	// HedgeFloor is the number of hedges per second that is always allowed. It is 0,
	// since hedges only save time.
	HedgeFloor = 0.0

	// budgetWindowSeconds is the number of seconds that count as recent.
	budgetWindowSeconds = 10
)

// Budget limits extra attempts to a share of the requests of the last 10 s. It is safe
// for concurrent use and acquires no other lock while it holds its own.
type Budget struct {
	share float64
	floor float64

	mu      sync.Mutex
	buckets [budgetWindowSeconds]bucket
}

// bucket holds the counts of one second of Unix time.
type bucket struct {
	second   int64
	requests int
	extra    int
}

// NewBudget returns a Budget that allows share extra attempts per recent request, from
// 0 to 1, and always at least floor per second.
func NewBudget(share, floor float64) (*Budget, error) {
	if !(share >= 0 && share <= 1) {
		return nil, errors.Errorf("budget share %g is not between 0 and 1", share)
	}
	if !(floor >= 0) {
		return nil, errors.Errorf("budget floor %g is not a rate of 0 or more", floor)
	}
	return &Budget{share: share, floor: floor}, nil
}

// Request counts one request. Extra attempts are not counted as requests.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take reports whether the budget allows one extra attempt, and if so counts it.
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

// Return gives back an extra attempt that was taken but not made. now is the time that
// was passed to Take, since extra attempts are counted by second.
func (b *Budget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	current.extra = max(0, current.extra-1)
}

// bucket returns the bucket of the second of now. The caller holds b.mu.
func (b *Budget) bucket(now time.Time) *bucket {
	second := now.Unix()
	current := &b.buckets[second%budgetWindowSeconds]
	if current.second != second {
		*current = bucket{second: second}
	}
	return current
}

// recent returns the sums over the window that ends with the given second. The caller
// holds b.mu.
func (b *Budget) recent(second int64) (requests, extra int) {
	for i := range b.buckets {
		if age := second - b.buckets[i].second; age >= 0 && age < budgetWindowSeconds {
			requests += b.buckets[i].requests
			extra += b.buckets[i].extra
		}
	}
	return requests, extra
}
