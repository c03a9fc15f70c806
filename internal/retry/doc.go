// Package retry decides whether and when a request is tried again or hedged.
//
// The outcome of an attempt says whether the request ran. Only an outcome that
// proves that it did not run allows a second attempt of a request that is not
// idempotent. Budgets bound the extra load. The package does no I/O.
package retry
