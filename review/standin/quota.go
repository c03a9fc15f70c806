package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Limits of the tenant, and how far they may be exceeded in a window.
const (
	quotaRate    = 20.0
	quotaBurst   = 20.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// quotaCase checks rule QUOTA for a small tenant, all of whose clients send many times their usual
// at once.
func quotaCase(dir string, out io.Writer, trouble bool) (bool, error) {
	const (
		vms       = 42
		spells    = 4
		spell     = 7 * time.Second
		pauseTime = 11 * time.Second
		usual     = quotaRate / 1.6 // requests a second of all clients
		times     = 8.0             // as many as at other times
	)
	w, err := newWorld(dir, out, configFor(1.2, 0.2, 2, quotaRate, quotaBurst))
	if err != nil {
		return false, err
	}
	defer w.end()
	zones := []string{"vacaria", "lages", "bom-jesus"}
	for i := range 12 {
		if err := w.startWorker(fmt.Sprintf("i-trilha-%d", i+1), "trilha", zones[i%3], 6); err != nil {
			return false, err
		}
	}
	for i := range vms {
		if err := w.startVM(i+1, zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	hot := false
	stop := make(chan struct{})
	var clients sync.WaitGroup
	const perVM = 1
	for _, v := range w.vms {
		for n := range perVM {
			c := w.newClient(fmt.Sprintf("c%d-%s", n+1, v.name), v)
			clients.Go(func() {
				for {
					mu.Lock()
					rate := usual / float64(perVM*len(w.vms))
					if hot {
						rate *= times
					}
					mu.Unlock()
					// Short steps, so that a client notices the start of a spell.
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					if rand.Float64() < rate*0.02 {
						clients.Go(func() {
							c.send("trilha.example", 1200*time.Millisecond, 40*time.Millisecond+rand.N(50*time.Millisecond))
						})
					}
				}
			})
		}
	}
	for range spells {
		time.Sleep(pauseTime)
		if trouble {
			mu.Lock()
			hot = true
			mu.Unlock()
			w.record.printf("TROUBLE  the tenant sends %.0f times its usual %.1f requests a second", times, usual)
		}
		time.Sleep(spell)
		mu.Lock()
		hot = false
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	return w.judgeQuota(), nil
}

// judgeQuota reports whether more requests were sent and arrived in a window than the rule allows.
func (w *world) judgeQuota() bool {
	w.mu.Lock()
	runs := slices.Clone(w.runs)
	w.mu.Unlock()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	first := make(map[string]run) // the first run of each request
	for _, r := range runs {
		if known, ok := first[r.request]; !ok || r.at.Before(known.at) {
			first[r.request] = r
		}
	}
	most := 0
	for _, from := range first {
		count := 0
		for _, r := range first {
			if !r.sentAt.Before(from.sentAt) && r.at.Sub(from.sentAt) < quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	broken := float64(most) > allowed
	if broken {
		w.record.printf("BROKEN   QUOTA: %d requests of the tenant in %v, %.1f are allowed", most, quotaWindow, allowed)
	}
	w.record.printf("judged   at most %d requests of the tenant in %v; %.1f are allowed", most, quotaWindow, allowed)
	return broken
}
