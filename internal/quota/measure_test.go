package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

type scheme struct {
	name   string
	policy Policy
	fixed  bool
}

var schemes = []scheme{
	{"fixed split", PlainPolicy, true},
	{"plain lending", PlainPolicy, false},
	{"prefetch only", Policy{Prefetch: true}, false},
	{"wait only", Policy{MaxWait: DefaultPolicy.MaxWait, MaxDefer: DefaultPolicy.MaxDefer, ReturnIdle: true}, false},
	{"default", DefaultPolicy, false},
}

var limitCases = []Limit{{Rate: 1000, Burst: 200}, {Rate: 100, Burst: 20}, {Rate: 20, Burst: 10}}

const (
	warmUp = 3 * time.Second
	load   = 0.8
)

var scenarios = []string{"even", "one VM", "one domain", "5x tenant"}

// measured is wrongful refusals per 1000 requests of w0, of the worst of the other
// workspaces, and the share of w0's ideal grants that were not granted.
type measured struct {
	own, others, shortfall float64
	messages               float64
}

func runScenario(sch scheme, limit Limit, name string, measure time.Duration) measured {
	limits := map[string]Limit{}
	for w := range 3 {
		limits[fmt.Sprintf("w%d", w)] = limit
	}
	s := newSim(7, sch.policy, limits, []int{3, 3, 3, 2}, 0)
	if sch.fixed {
		s.fixed = map[string]*bucket{}
	}
	for w := range 3 {
		vms, rate := s.vms, load*limit.Rate
		switch {
		case w > 0:
		case name == "one VM":
			vms = s.vms[4:5]
		case name == "one domain":
			vms = s.inDomain("d1")
		case name == "5x tenant":
			rate = 5 * limit.Rate
		}
		s.traffic(fmt.Sprintf("w%d", w), rate, vms, 0, warmUp+measure)
	}
	s.run(warmUp)
	for _, t := range s.tallies {
		t.granted, t.refused, t.wrongful, t.idealGranted = 0, 0, 0, 0
	}
	s.syncs = 0
	s.run(warmUp + measure)
	m := measured{messages: float64(s.syncs) / measure.Seconds() / float64(len(s.vms))}
	for w, t := range s.tallies {
		per := 1000 * float64(t.wrongful) / float64(t.granted+t.refused)
		if w != "w0" {
			m.others = max(m.others, per)
			continue
		}
		m.own = per
		m.shortfall = 1000 * float64(t.idealGranted-t.granted) / float64(t.idealGranted)
	}
	return m
}

// Guards against requests refused although the workspace is inside its rate.
func TestDefaultPolicyRefusesFewWithinRate(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := runScenario(schemes[len(schemes)-1], limitCases[0], scenario, 2*time.Second)
			t.Logf("%+v", m)
			if scenario != "5x tenant" {
				is.True(m.own <= 1)
			}
			is.True(m.others <= 1)
			is.True(m.shortfall <= 5)
		})
	}
}

// BenchmarkWrongfulRefusals reports the figures of docs/decisions/0012-quota.md.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, scenario := range scenarios {
		for _, limit := range limitCases {
			for _, sch := range schemes {
				b.Run(fmt.Sprintf("%s/%.0f-%d/%s", scenario, limit.Rate, limit.Burst, sch.name), func(b *testing.B) {
					var m measured
					for b.Loop() {
						m = runScenario(sch, limit, scenario, 10*time.Second)
					}
					b.ReportMetric(m.own, "own/1000")
					b.ReportMetric(m.others, "others/1000")
					b.ReportMetric(m.shortfall, "short/1000")
					b.ReportMetric(m.messages, "messages/s/VM")
				})
			}
		}
	}
}
