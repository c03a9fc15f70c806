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

// Guards against a loser that is not told which revision won, and against a
// repeated apply that is refused although it was accepted.
func TestApplyOutcomes(t *testing.T) {
	inBubble(t, func(f *fixture) {
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

// Guards against an outage being reported as accepted or refused, and against the
// repetition of such an apply taking effect twice.
func TestApplyDuringOutage(t *testing.T) {
	inBubble(t, func(f *fixture) {
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

// Guards against access without the token, and against a refusal that shows it.
func TestToken(t *testing.T) {
	inBubble(t, func(f *fixture) {
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

// Guards against a faulty request being accepted, and against a refusal that does
// not name the fault or that shows a token pasted into a document.
func TestFaultyRequests(t *testing.T) {
	inBubble(t, func(f *fixture) {
		const pasted = "caller-key-in-clear-51"
		key := `{"apiVersion":"fireflyfield/v1","kind":"CallerKey","metadata":{"name":"k"},"spec":{"workspace":"w","digest":"` + pasted + `"}}`
		cases := []struct{ name, body, want string }{
			{"empty", ``, "no apply request"},
			{"no changes", `{}`, "changes is missing"},
			{"unknown field", `{"chnges":[]}`, "unknown field"},
			{"no base kind", `{"changes":[{"op":"delete","base":1}]}`, "kind or name is missing"},
			{"no resource", `{"changes":[{"op":"put"}]}`, "resource is missing"},
			{"op", `{"changes":[{"op":"` + pasted + `"}]}`, "op must be put or delete"},
			{"type", `{"changes":[{"op":"put","base":"` + pasted + `"}]}`, "base must be uint64"},
			{"digest", `{"changes":[{"op":"put","resource":` + key + `}]}`, "SHA-256"},
			{"digest type", `{"changes":[{"op":"put","resource":` + strings.Replace(key, `"`+pasted+`"`, `["`+pasted+`"]`, 1) + `}]}`, "document"},
			{"status", `{"changes":[{"op":"put","resource":` + strings.Replace(key, `"digest"`, `"token":"`+pasted+`","digest"`, 1) + `}]}`, `unknown field \"token\"`},
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

// Guards against a status that hides a VM on which a change is not in force.
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
	is.Equal(rate.Conditions[2].Status, False)
	is.Equal(rate.Details["refused: rate"], "2")
	drain := statusOf(&resource.DrainSpec{FailureDomain: "plateau"}, "d")
	is.Equal(drain.Conditions[2].Reason, "7 slices and 1 requests left")
}
