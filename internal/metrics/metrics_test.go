package metrics

import (
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newPopulatedMetrics returns metrics in which every instrument has a value.
func newPopulatedMetrics(t testing.TB) *Metrics {
	t.Helper()
	m, err := New(func() State {
		return State{Ready: true, Roles: map[string]int{"gate": 1}, Gates: []Gate{{Service: "s", Server: "s1", Limit: 4}}}
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Request("s", "w", "ran", "", 3*time.Millisecond)
	m.GateRefusal("s", "queue-full")
	m.Retried("s")
	m.Hedged("s")
	m.RoleChanged("gate", Gained, 1)
	m.DeciderChanged(Gained)
	m.Renewal(LeaseRole, ResultOK)
	m.PeerMessage("status", Sent, 10)
	m.QuotaDecision("w", Granted)
	m.StatusCall(ResultOK)
	return m
}

// scrape returns the metrics in the Prometheus format.
func scrape(m *Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// distinctMatches returns what the first group of the pattern matches, sorted and
// without duplicates.
func distinctMatches(text, pattern string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Guards against a metric that is renamed or that docs/OPERATIONS.md does not list:
// operators write alerts against the names.
func TestOperationsPageListsAllMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	served := distinctMatches(scrape(newPopulatedMetrics(t)), `(?m)^# TYPE (fireflyfield_\w+)`)
	is.True(len(served) > 20)
	is.Equal(served, distinctMatches(string(page), "(?m)^\\| `(fireflyfield_\\w+)`"))
}

// Guards against label values that callers or backend servers can choose: an unlimited
// number of series would fill the memory of a VM.
func TestReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	m := newPopulatedMetrics(t)
	for i := range 1000 {
		m.Request("s", "w", "not-run", fmt.Sprintf("invented-%d", i), time.Millisecond)
	}
	text := scrape(m)
	is.True(!strings.Contains(text, "invented"))
	is.True(strings.Contains(text, `fireflyfield_requests_total{outcome="not-run",reason="other",service="s",workspace="w"} 1000`))
}

func BenchmarkRequest(b *testing.B) {
	m := newPopulatedMetrics(b)
	b.ReportAllocs()
	for b.Loop() {
		m.Request("s", "w", "ran", "", 3*time.Millisecond)
	}
}
