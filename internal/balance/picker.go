package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoServer is returned if no backend server accepts requests. The request has not
// run.
var ErrNoServer = errors.New("not run: no backend server accepts requests")

// Picker chooses backend servers. It is safe for concurrent use. No other lock is
// taken while its lock is held.
type Picker struct {
	config Config

	mu      sync.Mutex
	servers []*server
	median  medianCache
	// local and remote are the candidates of one Pick, in the VM's failure domain and
	// elsewhere. They are kept to avoid allocations.
	local, remote []*server
}

// New returns a Picker without servers, or an error if the configuration is invalid.
func New(config Config) (*Picker, error) {
	if err := config.normalize(); err != nil {
		return nil, err
	}
	return &Picker{config: config}, nil
}

// SetServers replaces the set of backend servers. The state of servers that stay
// unchanged is kept.
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

// SetState sets the state of a server as given by the decider or the configuration.
// It does nothing for an unknown name.
func (p *Picker) SetState(name string, state State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.find(name); s != nil {
		s.setState(state)
	}
}

// Report applies a load report of the named server. It does not change the state
// Leaving, because reports may be out of date; only SetState does.
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

// Options restrict one Pick.
type Options struct {
	// Exclude lists the names of servers that must not be picked, such as those that
	// this request has tried already.
	Exclude []string
	// NoProbe says that the request must not be used to probe a slow or failed server,
	// unless no other server is left. Set it for hedges and retries.
	NoProbe bool
}

// Pick chooses a backend server and counts a request in flight there, which must be
// ended with Choice.Done. It returns ErrNoServer if no server accepts requests.
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

// Choice is one request in flight at the chosen server.
type Choice struct {
	picker *Picker
	server *server
	probe  bool
}

// Server returns the chosen backend server.
func (c Choice) Server() Server { return c.server.Server }

// Probe reports whether the request is a probe of a slow or failed server. If it is
// idempotent, it should be hedged early.
func (c Choice) Probe() bool { return c.probe }

// Done ends the request with its result. It must be called exactly once.
func (c Choice) Done(r Result) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	c.server.endRequest(p.config.Now(), c.probe, r)
}
