package vm

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/config"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/resource"
)

// services finds Service resources in the present configuration.
type services struct{ state *config.State }

// Service implements caller.Services.
func (s services) Service(name string) (*resource.ServiceSpec, bool) {
	found, ok := s.state.View().Service(name)
	return found.Spec, ok
}

type noObserver struct{}

func (noObserver) Answered(*dispatch.Request, caller.Answer) {}

// keys authenticates callers against the present configuration.
type keys struct{ state *config.State }

// Authenticate implements caller.Authenticator.
func (k keys) Authenticate(token, service string) (caller.Identity, *outcome.Refusal) {
	digest := sha256.Sum256([]byte(token))
	for _, key := range k.state.View().CallerKeys() {
		if subtle.ConstantTimeCompare([]byte(key.Spec.Digest), []byte(hex.EncodeToString(digest[:]))) == 1 {
			return caller.Identity{Workspace: key.Spec.Workspace}, nil
		}
	}
	return caller.Identity{}, &outcome.Refusal{Kind: outcome.NotRun, Status: http.StatusUnauthorized, Reason: "unknown-caller-key", Detail: "the caller key is not valid"}
}

// Strip implements caller.Authenticator.
func (k keys) Strip(_ string, header http.Header, target string) string {
	header.Del("Authorization")
	return target
}

type unlimited struct{}

// Take implements caller.Limiter.
func (unlimited) Take(context.Context, string) *outcome.Refusal { return nil }

func (v *VM) authenticator() caller.Authenticator { return keys{v.follower.State()} }
func (v *VM) limiter() caller.Limiter             { return unlimited{} }

func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !v.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready reports whether the VM serves callers.
func (v *VM) Ready() bool {
	return !v.stopping.Load() && v.follower.State().Position() > 0 && len(v.fleet.all()) > 0
}

// readyInterval is the time between two looks at the readiness.
const readyInterval = 20 * time.Millisecond

// AwaitReady waits until the VM serves callers.
func (v *VM) AwaitReady(ctx context.Context) error {
	for !v.Ready() {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "VM %s is not ready", v.options.Name)
		}
		sleep(ctx, readyInterval)
	}
	return nil
}
