package cli

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/platform/platformtest"
	"fireflyfield/internal/resource"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

const testToken = "operators-secret-2c90"

const sampleDocuments = `
apiVersion: fireflyfield/v1
kind: FailureDomain
metadata: {name: plateau}
spec: {region: west}
---
apiVersion: fireflyfield/v1
kind: Service
metadata: {name: entretien}
spec:
  key: {header: Garage}
  timeout: 2s
  backendServers:
    - {name: e1, address: "127.0.0.1:80", failureDomain: plateau}
---
apiVersion: fireflyfield/v1
kind: Workspace
metadata: {name: clinic}
spec: {}
`

// fakeStatus reports two VMs: vm1 has applied every revision, vm2 only the first.
type fakeStatus struct{}

func (fakeStatus) Overview() api.Overview {
	return api.Overview{VM: "vm1", VMs: []api.VMStatus{{Name: "vm1", Revision: 1 << 40}, {Name: "vm2", Revision: 1}}}
}
func (fakeStatus) Ready() error { return nil }

// startVM serves an operators' listener and sets the environment variables with
// which commands reach it.
func startVM(t *testing.T) *platformtest.Log {
	t.Helper()
	log := platformtest.NewLog()
	ctx, cancel := context.WithCancel(context.Background())
	follower := config.NewFollower(log, config.NewState(), zap.NewNop(), rand.New(rand.NewPCG(1, 1)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	server := httptest.NewServer(operator.NewHandler(operator.Options{Follower: follower, Status: fakeStatus{}, Token: testToken, Logger: zap.NewNop()}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	t.Setenv("FIREFLYFIELD_ADDRESS", server.Listener.Addr().String())
	t.Setenv("FIREFLYFIELD_TOKEN", testToken)
	return log
}

// run executes a command line and fails the test if its output contains the
// operators' token.
func run(t *testing.T, input string, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = Run(context.Background(), args, Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr})
	if strings.Contains(stdout.String()+stderr.String(), testToken) {
		t.Errorf("output of %v contains the token", args)
	}
	return status, stdout.String(), stderr.String()
}

// Guards against output of get that apply does not accept as input, and against a
// file with an outdated revision overwriting a newer one.
func TestApplyGetDelete(t *testing.T) {
	is := is.New(t)
	startVM(t)
	file := filepath.Join(t.TempDir(), "a.yaml")
	is.NoErr(os.WriteFile(file, []byte(sampleDocuments), 0o600))
	status, out, _ := run(t, "", "apply", "-f", file)
	is.Equal(out, "accepted: revision 1, changes: 3\n")
	is.Equal(status, 0)
	_, out, _ = run(t, "", "apply", "-f", file)
	is.Equal(out, "unchanged\n")

	status, printed, _ := run(t, "", "get", "services", "entretien", "-o", "yaml")
	is.Equal(status, 0)
	changed := strings.Replace(printed, "timeout: 2s", "timeout: 3s", 1)
	status, out, _ = run(t, changed, "apply", "-f", "-")
	is.Equal(out, "accepted: revision 2, changes: 1\n")
	is.Equal(status, 0)
	status, _, errs := run(t, changed, "apply", "-f", "-")
	is.Equal(status, 1)
	is.True(strings.Contains(errs, "base revision 1, but the revision in force is 2"))

	_, out, _ = run(t, "", "get", "all")
	lines := strings.Split(out, "\n")
	is.True(strings.HasPrefix(lines[1], "Service        entretien  2         not InForce (on 1 of 2 VMs, missing: vm2)")) // worst first
	is.True(strings.HasSuffix(lines[2], "ok"))

	status, _, errs = run(t, "", "delete", "FailureDomain", "plateau")
	is.Equal(status, 1)
	is.True(strings.Contains(errs, "Service/entretien refers to it"))
	status, _, _ = run(t, "", "delete", "Workspace", "clinic")
	is.Equal(status, 0)
	status, _, errs = run(t, "", "get", "Workspace", "clinic")
	is.Equal(status, 1)
	is.True(strings.Contains(errs, "Workspace/clinic does not exist"))
}

// Guards against an apply that is refused when repeated with the same identifier
// after it was accepted.
func TestRepeatedApplyIsIdempotent(t *testing.T) {
	is := is.New(t)
	startVM(t)
	const id = "b5a1c2d3-0000-4000-8000-000000000001"
	for range 2 {
		status, out, _ := run(t, sampleDocuments, "apply", "-f", "-", "-id", id)
		is.Equal(status, 0)
		is.Equal(out, "accepted: revision 1, changes: 3\n")
	}
}

// Guards against an invalid command line that is run, whose faults are not all
// reported, or whose error message spans several lines.
func TestInvalidCommandLines(t *testing.T) {
	cases := []struct {
		args []string
		want []string
	}{
		{[]string{"nope"}, []string{`unknown subcommand "nope"`}},
		{[]string{"apply"}, []string{"-f FILE is missing"}},
		{[]string{"apply", "-bogus", "x", "-timeout", "soon", "-id", "7"}, []string{"-bogus", "-timeout", "-f FILE is missing", "-id is not a UUID"}},
		{[]string{"get"}, []string{"KIND [NAME]"}},
		{[]string{"get", "Pod", "-o", "xml"}, []string{"unknown kind", "-o must be one of"}},
		{[]string{"delete", "Drain"}, []string{"KIND NAME"}},
		{[]string{"watch", "all", "-from", "x"}, []string{"-from is not a revision"}},
		{[]string{"validate", "-f", "a", "b"}, []string{"no arguments"}},
		{[]string{"version", "-x"}, []string{"-x"}},
		{[]string{"get", "all", "-address", "http://user:" + testToken + "@vm"}, []string{"-address"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			status, out, errs := run(t, "", c.args...)
			is.Equal(status, 2)
			is.Equal(out, "")
			is.Equal(strings.Count(errs, "\n"), 1)
			for _, want := range c.want {
				is.True(strings.Contains(errs, want))
			}
		})
	}
}

// Guards against a help text without an example.
func TestHelpHasExamples(t *testing.T) {
	for _, command := range Commands() {
		_, out, _ := run(t, "", "help", command.Name())
		if !strings.Contains(out, "Example: fireflyfield "+command.Name()) {
			t.Errorf("help of %s: %q", command.Name(), out)
		}
	}
}

// Guards against printing a caller key that was pasted in place of its digest when
// the document is refused.
func TestValidateHidesPastedKey(t *testing.T) {
	is := is.New(t)
	const pasted = "caller-key-in-clear-51"
	document := "apiVersion: fireflyfield/v1\nkind: CallerKey\nmetadata: {name: k}\nspec: {workspace: w, digest: " + pasted + "}\n"
	status, out, errs := run(t, document, "validate", "-f", "-")
	is.Equal(status, 1)
	is.True(strings.Contains(errs, "spec.digest") && strings.Contains(errs, "Workspace/w does not exist"))
	is.True(!strings.Contains(out+errs, pasted))
	status, out, _ = run(t, sampleDocuments, "validate", "-f", "-")
	is.Equal(status, 0)
	is.Equal(out, "valid: 3 resources\n")
}

// Guards against accepting an empty file as valid, such as the empty input that a
// mistyped path leaves in a pipe.
func TestValidateRejectsEmptyFiles(t *testing.T) {
	for _, document := range []string{"", "---\n", "# nothing but a comment\n"} {
		is := is.New(t)
		status, out, errs := run(t, document, "validate", "-f", "-")
		is.Equal(status, 1)
		is.Equal(out, "")
		is.True(strings.Contains(errs, "contains no resources"))
	}
}

// Guards against tables that do not list the worst entry first.
func TestOverviewTablesListWorstFirst(t *testing.T) {
	is := is.New(t)
	servers := []api.BackendStatus{{Name: "a", State: "warm", InFlight: 1, Slots: 4}, {Name: "b", State: "warm", InFlight: 4, Slots: 4}, {Name: "c", State: "lost"}}
	rows := backendTable(servers).rows
	is.Equal([]string{rows[0][1], rows[1][1], rows[2][1]}, []string{"c", "b", "a"})
	use := workspaceTable([]api.WorkspaceStatus{{Name: "a", UsedPerSecond: 1, LimitPerSecond: 9}, {Name: "b", UsedPerSecond: 9, LimitPerSecond: 9}}).rows
	is.Equal(use[0][0], "b")
	drains := drainTable([]api.DrainStatus{{Name: "a", Done: true}, {Name: "b", SlicesLeft: 2}}).rows
	is.Equal(drains[0][0], "b")
	domain := resource.Resource{Metadata: resource.Metadata{Name: "a"}, Spec: &resource.FailureDomainSpec{}}
	is.Equal(resourceTable([]resource.Resource{domain}).rows[0][3], "ok")
}
