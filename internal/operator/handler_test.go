package operator

import (
	"net/http"
	"strings"
	"testing"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a conflict whose answer does not name the revision in force, and
// against an apply that is refused when repeated after it was accepted.
func TestApplyOutcomes(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		first, second := f.startVM("vm1"), f.startVM("vm2")
		a, b := f.client(first), f.client(second)

		accepted, err := a.Apply(f.ctx, putDomain(1, "plateau", 0))
		is.NoErr(err)
		is.Equal(accepted.Revision, uint64(1))
		repeated, err := b.Apply(f.ctx, putDomain(1, "plateau", 0))
		is.NoErr(err)
		is.Equal(repeated, accepted)

		_, err = b.Apply(f.ctx, putDomain(2, "plateau", 0))
		var problem *api.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Status, http.StatusConflict)
		is.Equal(problem.Refusal.Current, uint64(1))

		_, err = b.Apply(f.ctx, deleteDomain(3, "plateau", 1))
		is.NoErr(err)
		_, err = b.Get(f.ctx, resource.ID{Kind: resource.KindFailureDomain, Name: "plateau"})
		is.True(errors.As(err, &problem))
		is.Equal(problem.Type, api.ProblemNotFound)
	})
}

// Guards against an apply during an outage of the shared log that is reported as
// accepted or refused, and against its repetition taking effect twice.
func TestApplyDuringOutage(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		vm := f.startVM("vm1")
		c := f.client(vm)
		f.log.SetDown(true)
		_, err := c.Apply(f.ctx, putDomain(1, "plateau", 0))
		var problem *api.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Type, api.ProblemNotKnown)
		is.Equal(problem.ID[0], byte(1))
		f.log.SetDown(false)
		f.log.SetLoseAnswers(true)
		_, err = c.Apply(f.ctx, putDomain(1, "plateau", 0))
		for errors.As(err, &problem) && problem.Type == api.ProblemNotKnown {
			_, err = c.Apply(f.ctx, putDomain(1, "plateau", 0))
		}
		is.NoErr(err)
		is.Equal(len(vm.follower.State().View().FailureDomains()), 1)
		is.Equal(vm.follower.State().View().FailureDomains()[0].Revision, uint64(1))
	})
}

// Guards against access without the valid token, and against an answer that contains
// the expected or the given token.
func TestTokenRequired(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		vm := f.startVM("vm1")
		for _, path := range []string{api.PathResources, api.PathStatus, api.PathWatch, "/other"} {
			status, body := f.request(vm, http.MethodGet, path, "", "")
			is.Equal(status, http.StatusUnauthorized)
			is.True(strings.Contains(body, "Authorization: Bearer TOKEN is missing"))
			status, body = f.request(vm, http.MethodGet, path, "wrong-token-99", "")
			is.Equal(status, http.StatusUnauthorized)
			is.True(!strings.Contains(body, "wrong-token-99") && !strings.Contains(body, testToken))
		}
		status, _ := f.request(vm, http.MethodGet, api.PathHealthz, "", "")
		is.Equal(status, http.StatusOK)
		status, _ = f.request(vm, http.MethodGet, api.PathStatus, testToken, "")
		is.Equal(status, http.StatusOK)
	})
}

// Guards against an invalid request that is accepted, and against an answer that
// does not name the fault or that contains a secret pasted into a document.
func TestInvalidRequests(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		const pasted = "caller-key-in-clear-51"
		key := `{"apiVersion":"fireflyfield/v1","kind":"CallerKey","metadata":{"name":"k"},"spec":{"workspace":"w","digest":"` + pasted + `"}}`
		cases := []struct{ name, body, want string }{
			{"empty body", ``, "no apply request"},
			{"no changes", `{}`, "changes is missing"},
			{"unknown field", `{"chnges":[]}`, "unknown field"},
			{"delete without kind", `{"changes":[{"op":"delete","base":1}]}`, "kind or name is missing"},
			{"put without resource", `{"changes":[{"op":"put"}]}`, "resource is missing"},
			{"unknown op", `{"changes":[{"op":"` + pasted + `"}]}`, "op must be put or delete"},
			{"base of wrong type", `{"changes":[{"op":"put","base":"` + pasted + `"}]}`, "base must be uint64"},
			{"invalid digest", `{"changes":[{"op":"put","resource":` + key + `}]}`, "SHA-256"},
			{"digest of wrong type", `{"changes":[{"op":"put","resource":` + strings.Replace(key, `"`+pasted+`"`, `["`+pasted+`"]`, 1) + `}]}`, "document"},
			{"unknown field in spec", `{"changes":[{"op":"put","resource":` + strings.Replace(key, `"digest"`, `"token":"`+pasted+`","digest"`, 1) + `}]}`, `unknown field \"token\"`},
			{"trailing data", `{"changes":[]} x`, "after the apply request"},
		}
		vm := f.startVM("vm1")
		for _, c := range cases {
			status, body := f.request(vm, http.MethodPost, api.PathApply, testToken, c.body)
			refused := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
			if !refused || !strings.Contains(body, c.want) || strings.Contains(body, pasted) {
				f.t.Error(c.name, status, body)
			}
		}
		is := is.New(f.t)
		status, body := f.request(vm, http.MethodDelete, api.PathResources+"/FailureDomain/x", testToken, "")
		is.Equal(status, http.StatusBadRequest)
		is.True(strings.Contains(body, "base is missing"))
	})
}

// Guards against a status that does not name the VMs on which a change is not in
// force, or that misreports load, the use of a rate, refusals or the rest of a drain.
func TestStatusNamesMissingVMs(t *testing.T) {
	is := is.New(t)
	overview := api.Overview{
		VMs:            []api.VMStatus{{Name: "vm1", Revision: 9}, {Name: "vm2", Revision: 4}},
		BackendServers: []api.BackendStatus{{Service: "entretien", Name: "e1", FailureDomain: "plateau", State: "warm", Slices: 3, InFlight: 1, Slots: 4}},
		Workspaces:     []api.WorkspaceStatus{{Name: "clinic", UsedPerSecond: 5, LimitPerSecond: 5, Refusals: []api.RefusalCount{{Reason: "rate", Count: 2}}}},
		Drains:         []api.DrainStatus{{Name: "d", SlicesLeft: 7, InFlight: 1}},
	}
	view := config.NewState().View()
	statusOf := func(spec resource.Spec, name string) *resource.Status {
		r := resource.Resource{Metadata: resource.Metadata{Name: name, Revision: 5}, Spec: spec}
		return withStatus(r, view, overview).Status
	}
	domain := statusOf(&resource.FailureDomainSpec{}, "plateau")
	is.Equal(domain.Conditions[1].Reason, "on 1 of 2 VMs, missing: vm2")
	is.Equal(domain.Details["load"], "1 of 4 slots")
	rate := statusOf(&resource.RateSpec{Workspace: "clinic"}, "r")
	is.Equal(rate.Conditions[2].Status, ConditionFalse)
	is.Equal(rate.Details["refused: rate"], "2")
	drain := statusOf(&resource.DrainSpec{FailureDomain: "plateau"}, "d")
	is.Equal(drain.Conditions[2].Reason, "7 slices and 1 requests left")
}
