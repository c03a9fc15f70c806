package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/fleet"
)

// detectorModel feeds one detector with crashes and answers under a fake clock.
type detectorModel struct {
	*Detector
	now       time.Duration
	processes int64
}

func newDetectorModel() *detectorModel {
	return &detectorModel{Detector: NewDetector(zap.NewNop(), nil), now: time.Minute}
}

// request returns the fingerprint of a request with the given name and query.
func request(name, query string) Fingerprint {
	return NewFingerprint("GET", "h", "/"+name, query, "w", nil)
}

// crash ends a new process under the given requests after d.
func (m *detectorModel) crash(d time.Duration, requests ...Fingerprint) fleet.ProcessID {
	m.now += d
	m.processes++
	process := fleet.ProcessID{Backend: fmt.Sprint("b", m.processes), Started: 1}
	for _, r := range requests {
		m.Broke(process, r, m.now)
	}
	m.Ended(process, m.now)
	return process
}

// blocked reports whether a request is quarantined once what is known has been judged.
func (m *detectorModel) blocked(r Fingerprint) bool {
	m.now += 2 * judgeInterval
	return m.Blocked(r, m.now) > 0
}

func (m *detectorModel) suspected(r Fingerprint) bool {
	m.now += 2 * judgeInterval
	return m.Suspected(r, m.now)
}

// TestThirdCrashQuarantines guards against a request that may end more than three backend
// servers, alone at each of them, and against one that is let through for ever or never again.
func TestThirdCrashQuarantines(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	bad, other := request("bad", ""), request("other", "")
	m.crash(0, bad)
	is.True(!m.suspected(bad))
	m.crash(3*time.Second, bad)
	is.True(m.suspected(bad))
	is.True(!m.blocked(bad))
	m.crash(3*time.Second, bad)
	is.True(m.blocked(bad))
	is.True(!m.blocked(other))
	m.now += Retention
	is.True(!m.blocked(bad))
}

// TestRequestsBesideCrashingOne guards against a quarantine of requests that run at the crashing
// backend servers by chance: one that is always the same and is at each of the first crashes, and
// others of the same path.
func TestRequestsBesideCrashingOne(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	bad, same, rare := request("bad", "n=1"), request("same", ""), request("rare", "")
	for i := range 3 {
		m.crash(time.Second, bad, same, rare, request("other", fmt.Sprint(i)))
	}
	is.True(!m.blocked(same))
	m.Answered(same, m.now)
	m.crash(time.Second, bad, same, request("bad", "n=2"))
	is.True(m.blocked(bad))
	is.True(!m.blocked(same))
	is.True(!m.blocked(rare))
	is.True(!m.blocked(request("bad", "n=2")))
	is.True(!m.blocked(request("other", "7")))
}

// TestAmbiguousRequestIsReleased guards against two requests that are in flight at exactly the
// same crashes: both let through for ever, or the innocent one quarantined for good.
func TestAmbiguousRequestIsReleased(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	pair := []Fingerprint{request("a", ""), request("b", "")}
	for range maxAmbiguousCrashes {
		m.crash(time.Second, pair...)
	}
	held, free := pair[0], pair[1]
	if m.blocked(free) {
		held, free = free, held
	}
	is.True(m.blocked(held))
	is.True(!m.blocked(free))
	m.crash(time.Second, free) // it crashes without the other one
	is.True(m.blocked(free))
	is.True(!m.blocked(held))
}

// TestVaryingQuery guards against a crashing request that escapes since its query differs each
// time, while requests for other paths are served.
func TestVaryingQuery(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	for i := range 3 {
		m.crash(time.Second, request("bad", fmt.Sprint(i)))
	}
	is.True(m.blocked(request("bad", "9")))
	is.True(!m.blocked(request("good", "9")))
}

// TestServersEndTogether guards against a quarantine of frequent requests when many backend
// servers end at once for another reason.
func TestServersEndTogether(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	same := request("same", "")
	for range 8 {
		m.crash(5*time.Millisecond, same)
	}
	is.True(!m.blocked(same))
}

// TestAnsweredRequestIsCleared guards against crashes that count against a request although it
// has been answered since, at this VM or another.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	same := request("same", "")
	m.crash(0, same)
	m.crash(time.Second, same)
	m.ApplyAnswer(same, m.now+time.Millisecond, m.now+time.Millisecond)
	m.crash(time.Second, same)
	m.crash(time.Second, same)
	is.True(!m.blocked(same))
	m.crash(time.Second, same)
	is.True(m.blocked(same))
}

// TestLivingServerDidNotCrash guards against a VM that is cut off from the backend servers and
// takes their silence for crashes: another VM still gets their answers.
func TestLivingServerDidNotCrash(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	same := request("same", "")
	var processes []fleet.ProcessID
	for range 4 {
		processes = append(processes, m.crash(time.Second, same))
	}
	is.True(m.blocked(same))
	ended := m.now
	for _, process := range processes {
		m.Responded(process, m.now+time.Millisecond, m.now+2*time.Millisecond)
	}
	is.True(!m.blocked(same))
	m.ApplyCrash(Crash{Process: processes[0], Requests: []Fingerprint{same}, At: ended}, m.now)
	is.Equal(m.Active(), false) // a late report of the same end
}

// TestLivingServerAfterBrokenConnection guards against a crash that goes unnoticed since another
// connection to the same process had broken shortly before.
func TestLivingServerAfterBrokenConnection(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	process := fleet.ProcessID{Backend: "b", Started: 1}
	is.True(m.Broke(process, request("a", ""), m.now))
	is.True(!m.Broke(process, request("a", ""), m.now))
	m.Lives(process)
	is.True(m.Ended(process, m.now) == nil)
	is.True(m.Broke(process, request("b", ""), m.now+time.Second))
	is.True(m.Ended(process, m.now+time.Second) != nil)
}

// TestRecordedVerdicts guards against a quarantine that ends when all VMs start again.
func TestRecordedVerdicts(t *testing.T) {
	is := is.New(t)
	m := newDetectorModel()
	bad := request("bad", "")
	for range 3 {
		m.crash(time.Second, bad)
	}
	started := newDetectorModel()
	started.SetRecorded(m.Verdicts(m.now), started.now)
	is.True(started.Active())
	is.True(started.blocked(bad))
	is.Equal(len(started.Verdicts(started.now+time.Second)), 1)
	started.now += Retention
	is.True(!started.blocked(bad))
}

// TestStorm replays a storm under a fake clock: a crashing request at a high rate beside random
// requests, some of them always the same and rare, of which half run at servers that end. None
// of these may be quarantined, and the crashing one must be after a few crashes.
func TestStorm(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			m := newDetectorModel()
			bad := request("bad", "")
			crashes := 0
			for ; !m.blocked(bad) && crashes < 50; crashes++ {
				var beside []Fingerprint
				for i := range 12 {
					r := request(fmt.Sprint("same", i), "")
					if random.IntN(2) == 0 {
						beside = append(beside, r)
					} else if random.IntN(3) == 0 {
						m.Answered(r, m.now)
					}
				}
				m.crash(time.Duration(50+random.IntN(200))*time.Millisecond, append(beside, bad)...)
			}
			is.True(crashes <= maxAmbiguousCrashes+2)
			for i := range 12 {
				is.True(!m.blocked(request(fmt.Sprint("same", i), "")))
			}
		})
	}
}

// BenchmarkApplyCrash measures one more crash report when many crashes are known: those of one
// crashing request, each beside other requests of which some are always the same.
func BenchmarkApplyCrash(b *testing.B) {
	m := newDetectorModel()
	random := rand.New(rand.NewPCG(1, 1))
	besides := func() []Fingerprint {
		list := []Fingerprint{request("bad", "")}
		for range 8 {
			list = append(list, request(fmt.Sprint("p", random.IntN(2000)), ""))
		}
		return list
	}
	for range maxEvents {
		m.crash(100*time.Millisecond, besides()...)
	}
	b.ResetTimer()
	for i := range b.N {
		m.now += time.Millisecond
		m.ApplyCrash(Crash{Process: fleet.ProcessID{Backend: "x", Started: int64(i)}, Requests: besides(), At: m.now}, m.now)
	}
}

// TestAliveOfOtherVM guards against a crash that counts although another VM has got an answer of
// the process since, in whatever order the notices of the two arrive.
func TestAliveOfOtherVM(t *testing.T) {
	for _, aliveFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("alive first %t", aliveFirst), func(t *testing.T) {
			is := is.New(t)
			m := newDetectorModel()
			r := request("r", "")
			for i := range 3 {
				m.now += 3 * time.Second
				process := fleet.ProcessID{Backend: fmt.Sprint("b", i), Started: 1}
				crash := Crash{Process: process, Requests: []Fingerprint{r}, At: m.now}
				if aliveFirst {
					m.ApplyAlive(process, m.now+time.Millisecond, m.now)
					m.ApplyCrash(crash, m.now)
				} else {
					m.ApplyCrash(crash, m.now)
					m.ApplyAlive(process, m.now+time.Millisecond, m.now)
				}
			}
			is.True(!m.suspected(r))
			is.True(!m.Active())
		})
	}
}
