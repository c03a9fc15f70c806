package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoServer says that no backend server takes new work. The request has not run.
var ErrNoServer = errors.New("not run: no backend server takes new work")

// Picker chooses backend servers. It is safe for concurrent use; its lock is a leaf.
type Picker struct {
	config Config

	mu      sync.Mutex
	servers []*server
	median  medianCache
	// local and remote are scratch space of one Pick.
	local, remote []*server
}

// New returns a Picker without servers, or an error for a faulty config.
func New(config Config) (*Picker, error) {
	if err := config.normalize(); err != nil {
		return nil, err
	}
	return &Picker{config: config}, nil
}

// SetServers replaces the set of backend servers and keeps what is known of those
// that stay.
func (p *Picker) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make([]*server, 0, len(servers))
	for _, s := range servers {
		if known := p.find(s.Name); known != nil && known.Server == s {
			next = append(next, known)
			continue
		}
		next = append(next, &server{Server: s})
	}
	p.servers = next
}

// SetState sets the state that the decider or the configuration gives a server. A
// name that is not known has no effect.
func (p *Picker) SetState(name string, state State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(name); s != nil {
		s.setState(state)
	}
}

// Report takes in a load report. A server that is leaving stays so until SetState,
// since reports lag.
func (p *Picker) Report(name string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(name)
	if s == nil {
		return
	}
	s.reported = r.InFlight
	s.reportedAt = p.config.Now().Add(-r.Age)
	if s.state != Leaving {
		s.setState(r.State)
	}
}

func (p *Picker) find(name string) *server {
	i := slices.IndexFunc(p.servers, func(s *server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return p.servers[i]
}

// Options narrow one choice.
type Options struct {
	// Exclude names servers that this request has tried already.
	Exclude []string
	// NoProbe says that the request must not serve as a probe of a slow or failed
	// server; set it for hedges and retries.
	NoProbe bool
}

// Pick chooses a backend server and counts a request in flight there, which the
// caller must end with Choice.Done. It returns ErrNoServer if none takes new work.
func (p *Picker) Pick(o Options) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	s, probe := p.choose(now, o)
	if s == nil {
		return Choice{}, ErrNoServer
	}
	s.beginRequest(now)
	return Choice{picker: p, server: s, probe: probe}, nil
}

func (p *Picker) choose(now time.Time, o Options) (chosen *server, probe bool) {
	switch p.config.Policy {
	case Random:
		return p.random(o), false
	case LeastReported:
		return p.leastReported(o), false
	default:
		return p.twoChoices(now, o)
	}
}

// Choice is one request at the chosen server.
type Choice struct {
	picker *Picker
	server *server
	probe  bool
}

// Server returns the chosen backend server.
func (c Choice) Server() Server { return c.server.Server }

// Probe reports whether the request probes a slow or failed server. An idempotent
// probe should be hedged early.
func (c Choice) Probe() bool { return c.probe }

// Done ends the request. It must be called exactly once.
func (c Choice) Done(r Result) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	c.server.endRequest(p.config.Now(), c.probe, r)
}
