package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendOnce sends a request that must not run twice.
func sendOnce(address, key string) (int, string, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/plain/payments", strings.NewReader("amount=5"))
	if err != nil {
		return 0, "", "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header.Get("Fireflyfield-Outcome"), err
}

// Guards against a second run after the loss of the VM that remembers the key: a
// repeat gets the first answer or "unknown".
func TestRepeatAfterLossOfVM(t *testing.T) {
	is := is.New(t)
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2", "a-3"}}, perDomain: 3, runTime: time.Millisecond})
	const keys = 30
	first := make(map[string]string)
	for i := range keys {
		key := fmt.Sprintf("payment-%d", i)
		status, body, _, err := sendOnce(d.vms["a-1"].address(), key)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		first[key] = body
	}
	d.vms["a-1"].kill(t) // the first VM holds most partitions
	time.Sleep(3 * time.Second)
	same, unknown := 0, 0
	for key, answer := range first {
		status, body, outcome, err := sendOnce(d.vms["a-3"].address(), key)
		is.NoErr(err)
		switch {
		case status == http.StatusOK && body == answer:
			same++
		case outcome == "unknown":
			unknown++
		default:
			t.Errorf("%s: %d %s", key, status, body)
		}
	}
	t.Logf("same answer %d, unknown %d", same, unknown)
	is.Equal(same, keys) // the backup had every answer
	runs := 0
	for name, p := range d.backends {
		if strings.HasPrefix(name, "plain") {
			runs += len(runsOf(t, p))
		}
	}
	is.Equal(runs, keys)
}
