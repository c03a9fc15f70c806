package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/platform/platformtest"
)

const (
	// crashingPrefix begins the paths of requests that crash each backend server that runs them.
	crashingPrefix = "/crash"
	// crashingInterval is the time between two such requests, which go to all VMs in turn, and
	// crashReturn the time after which the server is replaced.
	crashingInterval = 200 * time.Millisecond
	crashReturn      = time.Second
	// stableWindow is the time within which all VMs must act on what one of them learns.
	stableWindow = 3 * time.Second
	// maxLateCrashing is the number of runs of a crashing request that may begin later than
	// stableWindow after the third crash.
	maxLateCrashing = 3
	// crashPhase and cutPhase are the times in which a request crashes backend servers, and in
	// which half of the VMs have no path to them.
	crashPhase = 10 * time.Second
	cutPhase   = 7 * time.Second
	// The time between two cuts of a VM among other faults is minCutGap plus a random part of
	// cutGapRange, and a cut lasts minCutDuration plus a random part of cutDurationRange.
	minCutGap        = time.Second
	cutGapRange      = 4 * time.Second
	minCutDuration   = 500 * time.Millisecond
	cutDurationRange = 4 * time.Second
	// cutClientNumber is the number of the first client that stays with its VM in cutPhase.
	cutClientNumber = 10_000
	// sameOneIn is the share of requests that are always the same for their workspace and
	// service.
	sameOneIn = 4
)

// tries counts the requests at one VM and those that were served.
type tries struct{ sent, served int }

// isCrashing reports whether a request with this path crashes backend servers.
func isCrashing(path string) bool { return strings.HasPrefix(path, crashingPrefix) }

// requestPath returns the path of the request with the given number of a client.
func requestPath(n int) string {
	if n%sameOneIn == 0 {
		return "/same"
	}
	return fmt.Sprintf("/p%d", n)
}

// randomCrashingPath returns the path of a crashing request that depends on the seed.
func (s *Soak) randomCrashingPath() string { return fmt.Sprint(crashingPrefix, s.options.Seed) }

// recordCrash records that a request has crashed a backend server.
func (s *Soak) recordCrash() {
	s.recordEvent("a request crashes a backend server")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

// countFirstTry counts a request that was sent at the given time, while first tries are counted.
func (s *Soak) countFirstTry(v *vm, a platformtest.Answer, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTries == nil || sentAt.Before(s.firstTriesFrom) {
		return
	}
	if s.firstTries[v] == nil {
		s.firstTries[v] = new(tries)
	}
	s.firstTries[v].sent++
	if a.Status == http.StatusOK || a.Status == http.StatusUnauthorized {
		s.firstTries[v].served++ // the caller key may be withdrawn
	}
}

// startFirstTries starts to count first tries, and takeFirstTries returns the counts and ends that.
func (s *Soak) startFirstTries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstTries, s.firstTriesFrom = make(map[*vm]*tries), time.Now()
}

func (s *Soak) takeFirstTries() map[*vm]*tries {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.firstTries
	s.firstTries = nil
	return counts
}

// sendCrashing sends a request that crashes backend servers to all VMs in turn until ctx ends. An
// answer is not waited for.
func (s *Soak) sendCrashing(ctx context.Context, path string, interval time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; clock.Sleep(ctx, interval); n++ {
		r := platformtest.Request{
			ID: fmt.Sprintf("crash-%s-%d", path[1:], n), Method: http.MethodPost, Service: "read", Path: path,
			CallerKey: callerKey(0, 0), Deadline: requestDeadline,
		}
		s.mu.Lock()
		s.sent[r.ID] = r
		s.mu.Unlock()
		go platformtest.Send(client, s.vms[n%len(s.vms)].address(), r)
	}
}

// runCrashPhase sends a request that crashes backend servers, with no other fault, and checks that
// it stops and that others are served.
func (s *Soak) runCrashPhase(ctx context.Context) {
	s.mu.Lock()
	s.crashes, s.crashingRuns = nil, nil
	s.mu.Unlock()
	s.recordEvent("a request begins to crash backend servers")
	phase, stop := context.WithTimeout(ctx, crashPhase)
	defer stop()
	go s.sendCrashing(phase, crashingPrefix+"-calm", crashingInterval)
	clock.Sleep(phase, crashPhase-stableWindow)
	s.startFirstTries()
	<-phase.Done()
	counts := s.takeFirstTries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := s.lateCrashingRuns(); late > maxLateCrashing {
		s.addViolation("a request ran %d times later than %s after it had ended the third of %d backend servers", late, stableWindow, len(s.crashes))
	}
	all := sum(counts, func(*vm) bool { return true })
	if float64(all.served) < minFinalSuccess*float64(all.sent) {
		s.addViolation("only %d of %d requests succeeded beside one that crashes backend servers", all.served, all.sent)
	}
}

// lateCrashingRuns returns the number of runs of crashing requests later than stableWindow after
// the third crash. The caller holds the lock.
func (s *Soak) lateCrashingRuns() int {
	late := 0
	for _, at := range s.crashingRuns {
		if len(s.crashes) >= 3 && at.Sub(s.crashes[2]) > stableWindow {
			late++
		}
	}
	return late
}

// sum returns the sum of the counts of the VMs for which include returns true.
func sum(counts map[*vm]*tries, include func(*vm) bool) tries {
	var total tries
	for v, c := range counts {
		if include(v) {
			total.sent += c.sent
			total.served += c.served
		}
	}
	return total
}

// runCutPhase cuts half of the VMs off from all backend servers, with no other fault. It checks with
// a client at each VM that their callers are served at least two thirds as often as others, unless few fail.
func (s *Soak) runCutPhase(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 81))
	manner := platformtest.Manner(random.IntN(int(platformtest.MannerCount)))
	cut := make(map[*vm]bool)
	for _, i := range random.Perm(len(s.vms))[:len(s.vms)/2] {
		cut[s.vms[i]] = true
		s.partition.Cut(s.vms[i].sourceIP, manner)
		s.recordEvent("%s loses its paths to all backend servers, manner %d", s.vms[i].name, manner)
	}
	phase, stop := context.WithTimeout(ctx, cutPhase)
	defer stop()
	for i, v := range s.vms {
		go s.sendRequests(phase, cutClientNumber+i, v, false)
	}
	clock.Sleep(phase, stableWindow)
	s.startFirstTries()
	<-phase.Done()
	counts := s.takeFirstTries()
	for v := range cut {
		s.partition.Heal(v.sourceIP)
	}
	without := sum(counts, func(v *vm) bool { return cut[v] })
	others := sum(counts, func(v *vm) bool { return !cut[v] })
	s.recordEvent("served without paths %d of %d, at the others %d of %d", without.served, without.sent, others.served, others.sent)
	fewFail := without.sent-without.served <= 10+(without.sent+others.sent)/50
	if !fewFail && 3*without.served*others.sent < 2*others.served*without.sent {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addViolation("VMs without paths served %d of %d first tries, the others %d of %d", without.served, without.sent, others.served, others.sent)
	}
}

// injectCuts cuts VMs off from all backend servers until ctx ends. It has a random source of its
// own, so that the other faults of a seed stay the same.
func (s *Soak) injectCuts(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 80))
	for clock.Sleep(ctx, minCutGap+time.Duration(random.Int64N(int64(cutGapRange)))) {
		v := s.vms[random.IntN(len(s.vms))]
		manner := platformtest.Manner(random.IntN(int(platformtest.MannerCount)))
		s.recordEvent("%s loses its paths to all backend servers, manner %d", v.name, manner)
		ended := v.disrupted.begin()
		s.partition.Cut(v.sourceIP, manner)
		clock.Sleep(ctx, minCutDuration+time.Duration(random.Int64N(int64(cutDurationRange))))
		s.resumedAt.Store(time.Now().UnixNano())
		s.partition.Heal(v.sourceIP)
		ended()
	}
}
