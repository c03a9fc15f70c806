package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scheme is a way to limit a workspace over all VMs: lending under a policy or a fixed
// split among the VMs.
type scheme struct {
	name   string
	policy Policy
	fixed  bool
}

var schemes = []scheme{
	{"fixed split", PlainPolicy, true},
	{"plain lending", PlainPolicy, false},
	{"prefetch only", Policy{Prefetch: true}, false},
	{"wait only", Policy{MaxWait: DefaultPolicy.MaxWait, MaxReplyDelay: DefaultPolicy.MaxReplyDelay, ReturnIdle: true}, false},
	{"default", DefaultPolicy, false},
}

var limitCases = []Limit{{Rate: 1000, Burst: 200}, {Rate: 100, Burst: 20}, {Rate: 20, Burst: 10}}

const (
	warmUpTime = 3 * time.Second
	// offeredLoad is the rate of requests as a fraction of the limit.
	offeredLoad = 0.8
)

var scenarios = []string{"even", "one VM", "one domain", "5x tenant"}

// scenarioResult holds wrongful refusals per 1000 requests of w0 and of the worst of
// the other workspaces, the number of w0's ideal grants in 1000 that were not granted,
// and the messages per second and VM.
type scenarioResult struct {
	ownPerMille, othersPerMille, shortfallPerMille float64
	messagesPerVM                                  float64
}

// runScenario simulates three workspaces with the same limit. All offer offeredLoad to
// all VMs, but w0 offers it to one VM or to one failure domain only, or offers five
// times its limit, as the scenario's name says.
func runScenario(sch scheme, limit Limit, name string, measure time.Duration) scenarioResult {
	limits := map[string]Limit{}
	for w := range 3 {
		limits[fmt.Sprintf("w%d", w)] = limit
	}
	s := newSim(7, sch.policy, limits, []int{3, 3, 3, 2}, 0)
	if sch.fixed {
		s.fixedBuckets = map[string]*bucket{}
	}
	for w := range 3 {
		vms, rate := s.vms, offeredLoad*limit.Rate
		switch {
		case w > 0:
		case name == "one VM":
			vms = s.vms[4:5]
		case name == "one domain":
			vms = s.vmsInDomain("d1")
		case name == "5x tenant":
			rate = 5 * limit.Rate
		}
		s.addTraffic(fmt.Sprintf("w%d", w), rate, vms, 0, warmUpTime+measure)
	}
	s.run(warmUpTime)
	for _, t := range s.counters {
		t.granted, t.refused, t.wrongful, t.idealGranted = 0, 0, 0, 0
	}
	s.messages = 0
	s.run(warmUpTime + measure)
	m := scenarioResult{messagesPerVM: float64(s.messages) / measure.Seconds() / float64(len(s.vms))}
	for w, t := range s.counters {
		perMille := 1000 * float64(t.wrongful) / float64(t.granted+t.refused)
		if w != "w0" {
			m.othersPerMille = max(m.othersPerMille, perMille)
			continue
		}
		m.ownPerMille = perMille
		m.shortfallPerMille = 1000 * float64(t.idealGranted-t.granted) / float64(t.idealGranted)
	}
	return m
}

// Guards against refused requests of a workspace that is within its rate.
func TestDefaultPolicyRefusesFewWithinRate(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := runScenario(schemes[len(schemes)-1], limitCases[0], scenario, 2*time.Second)
			t.Logf("%+v", m)
			if scenario != "5x tenant" {
				is.True(m.ownPerMille <= 1)
			}
			is.True(m.othersPerMille <= 1)
			is.True(m.shortfallPerMille <= 5)
		})
	}
}

// BenchmarkWrongfulRefusals compares all schemes; docs/decisions/0012-quota.md cites its
// figures.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, scenario := range scenarios {
		for _, limit := range limitCases {
			for _, sch := range schemes {
				b.Run(fmt.Sprintf("%s/%.0f-%d/%s", scenario, limit.Rate, limit.Burst, sch.name), func(b *testing.B) {
					var m scenarioResult
					for b.Loop() {
						m = runScenario(sch, limit, scenario, 10*time.Second)
					}
					b.ReportMetric(m.ownPerMille, "own/1000")
					b.ReportMetric(m.othersPerMille, "others/1000")
					b.ReportMetric(m.shortfallPerMille, "short/1000")
					b.ReportMetric(m.messagesPerVM, "messages/s/VM")
				})
			}
		}
	}
}
