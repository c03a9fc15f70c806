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

func everything(t testing.TB) *Metrics {
	t.Helper()
	made, err := New(func() State {
		return State{Ready: true, Roles: map[string]int{"gate": 1}, Gates: []Gate{{Service: "s", Server: "s1", Limit: 4}}}
	})
	if err != nil {
		t.Fatal(err)
	}
	made.Request("s", "w", "ran", "", 3*time.Millisecond)
	made.GateRefusal("s", "queue-full")
	made.Retried("s")
	made.Hedged("s")
	made.RoleChanged("gate", Gained, 1)
	made.DeciderChanged(Gained)
	made.Renewal(LeaseRole, ResultOK)
	made.PeerMessage("status", Sent, 10)
	made.QuotaDecision("w", Granted)
	made.StatusCall(ResultOK)
	return made
}

func scrape(m *Metrics) string {
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	return answer.Body.String()
}

// names returns the names after the prefix of a line, without duplicates.
func names(text, pattern string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Guards against a metric whose name changes or that the page for operators does not
// list, since alerts are written against the names.
func TestNamesAreThoseOfThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	served := names(scrape(everything(t)), `(?m)^# TYPE (fireflyfield_\w+)`)
	is.True(len(served) > 20)
	is.Equal(served, names(string(page), "(?m)^\\| `(fireflyfield_\\w+)`"))
}

// Guards against label values that callers or backend servers choose, which would
// let them fill the memory of a VM.
func TestReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	m := everything(t)
	for i := range 1000 {
		m.Request("s", "w", "not-run", fmt.Sprintf("invented-%d", i), time.Millisecond)
	}
	text := scrape(m)
	is.True(!strings.Contains(text, "invented"))
	is.True(strings.Contains(text, `fireflyfield_requests_total{outcome="not-run",reason="other",service="s",workspace="w"} 1000`))
}

func BenchmarkRequest(b *testing.B) {
	m := everything(b)
	b.ReportAllocs()
	for b.Loop() {
		m.Request("s", "w", "ran", "", 3*time.Millisecond)
	}
}
