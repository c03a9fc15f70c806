package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"fireflyfield/platform/platformtest"
)

// attemptsCase checks rule BUDGET for maxAttempts: one client attempt runs on at most so many
// workers. The VMs of a zone are partitioned from all workers, so that others send their requests
// on, and four of these are killed.
func attemptsCase(dir string, out io.Writer, trouble bool) (bool, error) {
	const (
		maxAttempts = 2
		rounds      = 2
	)
	w, err := newWorld(dir, out, config(1.5, 0.5, maxAttempts))
	if err != nil {
		return false, err
	}
	defer w.end()
	zones := []string{"vacaria", "lages", "bom-jesus"}
	for i := range 20 {
		if err := w.startWorker(fmt.Sprintf("i-trilha-%d", i+1), "trilha", zones[i%3], 6); err != nil {
			return false, err
		}
	}
	// Five VMs in the first zone and three in each of the others, as at tropa-central.
	for i, zone := range []int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2, 2} {
		if err := w.startVM(i+1, zones[zone]); err != nil {
			return false, err
		}
	}
	cutVMs, killed := w.vms[:5], w.vms[5:9]
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	const interval = 22 * time.Millisecond
	for _, v := range w.vms {
		c := w.newClient(fmt.Sprintf("c-%s", v.name), v)
		clients.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() { c.send("trilha.example", 3*time.Second, workTime()) })
			}
		})
	}
	for range rounds {
		time.Sleep(8 * time.Second)
		if trouble {
			if err := w.cutAndKill(cutVMs, killed); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return w.judgeAttempts(maxAttempts, cutVMs), nil
}

// cutAndKill partitions VMs from all workers, kills others meanwhile and starts them again.
func (w *world) cutAndKill(cutVMs, killed []*vm) error {
	for _, v := range cutVMs {
		w.partition.Cut(v.ip, platformtest.ResetAll)
		w.record.printf("TROUBLE  %s is partitioned from all workers: connections are reset, new ones refused", v.name)
	}
	time.Sleep(3 * time.Second)
	var kills sync.WaitGroup
	for _, v := range killed {
		w.record.printf("TROUBLE  %s is killed", v.name)
		kills.Go(v.kill)
	}
	kills.Wait()
	time.Sleep(time.Second)
	for _, v := range killed {
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	for _, v := range cutVMs {
		w.partition.Heal(v.ip)
		w.record.printf("TROUBLE  the partition of %s ends", v.name)
	}
	return nil
}

// workTime draws how long a request runs: 160 ms on average with a wide spread, at most 980 ms, as
// for the safe requests of a small deployment.
func workTime() time.Duration {
	const sigma = 0.8
	work := 160 * math.Exp(sigma*rand.NormFloat64()-sigma*sigma/2)
	return time.Duration(min(work, 980) * float64(time.Millisecond))
}

// judgeAttempts reports whether more than three requests ran on more workers than maxAttempts.
// Workers to which a VM sent the request that was partitioned from them do not count.
func (w *world) judgeAttempts(maxAttempts int, cutVMs []*vm) bool {
	cut := make(map[string]bool)
	for _, v := range cutVMs {
		cut[v.ip] = true
	}
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	byRequest := make(map[string]map[string]string) // workers by request, and the VM
	for _, r := range runs {
		if cut[r.source] {
			continue
		}
		if byRequest[r.request] == nil {
			byRequest[r.request] = make(map[string]string)
		}
		byRequest[r.request][r.worker] = r.source
	}
	count := 0
	for request, workers := range byRequest {
		if len(workers) > maxAttempts {
			count++
			w.record.printf("BROKEN   BUDGET: %s ran on %d workers, maxAttempts is %d: %v", request, len(workers), maxAttempts, workers)
		}
	}
	w.record.printf("judged   %d requests ran on more than %d workers; three are allowed", count, maxAttempts)
	return count > 3
}
