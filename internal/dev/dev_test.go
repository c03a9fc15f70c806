package dev

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "fireflyfield/internal/standin/backend"
)

// Guards against a deployment that starts but does not serve requests through each of
// its VMs, or in which the VMs route a key to different owners.
func TestExamplesServe(t *testing.T) {
	for example, sample := range sampleRequests {
		t.Run(example, func(t *testing.T) {
			is := is.New(t)
			cluster, err := Start(t.Context(), Options{Example: example, Listen: "127.0.0.1:0", RunTime: time.Millisecond})
			is.NoErr(err)
			defer func() { is.NoErr(cluster.Stop(context.Background())) }()
			owners := make(map[string]bool)
			for _, started := range cluster.VMs {
				req, err := http.NewRequest(http.MethodGet, "http://"+started.CallerAddress()+sample.path, nil)
				is.NoErr(err)
				req.Header.Set("Authorization", "Bearer "+sample.key)
				resp, err := http.DefaultClient.Do(req)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				t.Log(resp.Status, string(body))
				is.Equal(resp.StatusCode, http.StatusOK)
				var echo backendstandin.Echo
				is.NoErr(json.Unmarshal(body, &echo))
				owners[echo.Server] = true
			}
			is.Equal(len(owners), 1) // every VM routes the key to the same owner
		})
	}
}
