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

// sendPayment sends a request with the idempotency key and returns the status, the body
// and the outcome.
func sendPayment(address, key string) (int, string, string, error) {
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

// Guards against a second run after the loss of the VM that stores the idempotency key: a
// repeat must get the stored response, which the backup of that VM has.
func TestRepeatAfterLossOfVM(t *testing.T) {
	is := is.New(t)
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2", "a-3"}}, perDomain: 3, runTime: time.Millisecond})
	const keys = 30
	stored := make(map[string]string)
	for i := range keys {
		key := fmt.Sprintf("payment-%d", i)
		status, body, _, err := sendPayment(d.vms["a-1"].address(), key)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		stored[key] = body
	}
	d.vms["a-1"].kill(t) // the VM that started first stores most partitions
	time.Sleep(3 * time.Second)
	same, unknown := 0, 0
	for key, response := range stored {
		status, body, outcome, err := sendPayment(d.vms["a-3"].address(), key)
		is.NoErr(err)
		switch {
		case status == http.StatusOK && body == response:
			same++
		case outcome == "unknown":
			unknown++
		default:
			t.Errorf("repeat of %s: status %d: %s", key, status, body)
		}
	}
	t.Logf("repeats with the stored response %d, with unknown outcome %d", same, unknown)
	is.Equal(same, keys) // the backup had every stored response
	runs := 0
	for name, p := range d.backends {
		if strings.HasPrefix(name, "plain") {
			runs += len(runsOf(t, p))
		}
	}
	is.Equal(runs, keys)
}
