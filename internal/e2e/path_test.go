package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/freeport"
	backendstandin "fireflyfield/internal/standin/backend"
)

// keyedChecksGrants is set if the backend servers of the service keyed check fencing
// tokens.
const keyedChecksGrants = true

// digest returns the SHA-256 of the string in hexadecimal.
func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// freeAddress returns HOST:PORT of a free port on loopback.
func freeAddress(t *testing.T) string {
	t.Helper()
	port, err := freeport.Adjacent(1)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// send sends one request with the caller key and returns the status and the body, both
// decoded as the echo of the stand-in and as text.
func send(method, address, path, body string) (int, backendstandin.Echo, string, error) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, backendstandin.Echo{}, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, backendstandin.Echo{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, backendstandin.Echo{}, "", err
	}
	var echo backendstandin.Echo
	_ = json.Unmarshal(data, &echo) // a rejection is no echo
	return resp.StatusCode, echo, string(data), nil
}

// Guards against a request, through any VM, that fails, is truncated, is forwarded with
// the caller key, or reaches a backend server that does not own the key.
func TestRequestsThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2"}, "b": {"b-1"}}, perDomain: 2, runTime: time.Millisecond})
	body := strings.Repeat("payload ", 4000)
	for i := range 20 {
		path := fmt.Sprintf("/keyed/key-%d", i)
		owners := make(map[string]bool)
		for name, vm := range d.vms {
			status, echo, raw, err := send(http.MethodPost, vm.address(), path, body)
			is.NoErr(err)
			if status != http.StatusOK {
				t.Fatalf("%s through %s: %d %s", path, name, status, raw)
			}
			is.Equal(echo.Target, fmt.Sprintf("/key-%d", i))
			is.Equal(echo.BodyHash, digest(body))
			is.True(!strings.Contains(raw, callerKey))
			owners[echo.Server] = true
		}
		is.Equal(len(owners), 1)
	}
	for _, vm := range d.vms {
		status, echo, raw, err := send(http.MethodGet, vm.address(), "/plain/x", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(echo.Service, "plain")
		is.True(!strings.Contains(raw, callerKey))
	}
}

// Guards against errors at the start, for a port in use or bad settings, that do not name
// each cause.
func TestStartErrorsNameTheCause(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	out, code := runToExit("serve", "-name", "x", "-failure-domain", "a", "-platform", "127.0.0.1:1", "-caller-listen", socket.Addr().String(), "-peer-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0")
	is.Equal(code, 1)
	is.True(strings.Contains(out, "address already in use"))
	out, code = runToExit("serve", "-peer-listen", "nowhere", "-operator-listen", "0.0.0.0:1")
	is.Equal(code, 2)
	for _, want := range []string{"-name is missing", "-failure-domain is missing", "-platform is missing", `-peer-listen: "nowhere"`, "-operator-token is needed"} {
		is.True(strings.Contains(out, want))
	}
	is.Equal(strings.Count(out, "\n"), 1)
}
