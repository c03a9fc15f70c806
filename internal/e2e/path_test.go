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

	backendstandin "fireflyfield/internal/standin/backend"
)

const keyedChecksGrants = true

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

// send makes one request with the caller key and returns what the stand-in says.
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
	_ = json.Unmarshal(data, &echo) // a refusal is another document
	return resp.StatusCode, echo, string(data), nil
}

// Guards against a request that is lost, answered by another backend server than
// the one owner, cut, or forwarded with the caller key, through any VM.
func TestPathThroughSeparateProcesses(t *testing.T) {
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

// Guards against a port in use or a bad setting that is reported unclearly.
func TestStartFaultsAreClear(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	out, code := run("serve", "-name", "x", "-failure-domain", "a", "-platform", "127.0.0.1:1", "-caller-listen", socket.Addr().String(), "-peer-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0")
	is.Equal(code, 1)
	is.True(strings.Contains(out, "address already in use"))
	out, code = run("serve", "-peer-listen", "nowhere", "-operator-listen", "0.0.0.0:1")
	is.Equal(code, 2)
	for _, want := range []string{"-name is missing", "-failure-domain is missing", "-platform is missing", `-peer-listen: "nowhere"`, "-operator-token is needed"} {
		is.True(strings.Contains(out, want))
	}
	is.Equal(strings.Count(out, "\n"), 1)
}
