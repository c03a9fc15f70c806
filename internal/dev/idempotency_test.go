package dev

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// runCount returns the number of requests that ran at all backend servers.
func (c *Cluster) runCount() int {
	count := 0
	for _, standin := range c.Backends {
		count += len(standin.Runs())
	}
	return count
}

// paymentRequest returns a request with an idempotency key.
func paymentRequest(key, body string) call {
	return call{method: http.MethodPost, path: "/paie/payments", key: sampleKey, body: body, header: http.Header{"Idempotency-Key": {key}}}
}

// Guards against a request with an idempotency key that runs again when the caller
// repeats it through another VM, against a repeat that gets a different response, and
// against a different request under the same key that is not rejected.
func TestRepeatedRequestGetsStoredResponse(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	for i := range 8 {
		before := cluster.runCount()
		var first string
		for _, started := range cluster.VMs {
			resp, body, err := paymentRequest("payment-"+strconv.Itoa(i), "amount=5").send(t.Context(), started.CallerAddress())
			is.NoErr(err)
			if resp.StatusCode != http.StatusOK {
				t.Fatal(resp.Status, string(body))
			}
			if first == "" {
				first = string(body)
			}
			is.Equal(string(body), first)
		}
		is.Equal(cluster.runCount(), before+1)
		resp, _, err := paymentRequest("payment-"+strconv.Itoa(i), "amount=6").send(t.Context(), cluster.VMs[0].CallerAddress())
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	}
}

// Guards against a second run when repeats arrive while the first request is running.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	before := cluster.runCount()
	var wait sync.WaitGroup
	bodies := make([]string, 12)
	for i := range bodies {
		wait.Go(func() {
			_, body, err := paymentRequest("at-once", "amount=5").send(t.Context(), cluster.VMs[i%len(cluster.VMs)].CallerAddress())
			if err == nil {
				bodies[i] = string(body)
			}
		})
	}
	wait.Wait()
	for _, body := range bodies {
		is.Equal(body, bodies[0])
	}
	is.Equal(cluster.runCount(), before+1)
}
