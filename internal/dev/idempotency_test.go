package dev

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// runs counts the requests that ran at any backend server.
func (c *Cluster) runs() int {
	count := 0
	for _, standin := range c.Backends {
		count += len(standin.Runs())
	}
	return count
}

func payment(key, body string) call {
	return call{method: http.MethodPost, path: "/paie/payments", key: sampleKey, body: body, header: http.Header{"Idempotency-Key": {key}}}
}

// Guards against a payment that runs a second time when the caller repeats it
// through another VM, and against a repeat that gets another answer.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	for i := range 8 {
		before := cluster.runs()
		var first string
		for _, started := range cluster.VMs {
			resp, body, err := payment("payment-"+strconv.Itoa(i), "amount=5").send(t.Context(), started.CallerAddress())
			is.NoErr(err)
			if resp.StatusCode != http.StatusOK {
				t.Fatal(resp.Status, string(body))
			}
			if first == "" {
				first = string(body)
			}
			is.Equal(string(body), first)
		}
		is.Equal(cluster.runs(), before+1)
		resp, _, err := payment("payment-"+strconv.Itoa(i), "amount=6").send(t.Context(), cluster.VMs[0].CallerAddress())
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	}
}

// Guards against a second run when repeats arrive while the first request runs.
func TestRepeatsAtOnceRunOnce(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	before := cluster.runs()
	var wait sync.WaitGroup
	bodies := make([]string, 12)
	for i := range bodies {
		wait.Go(func() {
			_, body, err := payment("at-once", "amount=5").send(t.Context(), cluster.VMs[i%len(cluster.VMs)].CallerAddress())
			if err == nil {
				bodies[i] = string(body)
			}
		})
	}
	wait.Wait()
	for _, body := range bodies {
		is.Equal(body, bodies[0])
	}
	is.Equal(cluster.runs(), before+1)
}
