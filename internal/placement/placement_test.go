package placement

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"fireflyfield/internal/keyspace"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the generated cases the same in every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func makeServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("b-%02d", i), Capacity: 1, MaxNewUnits: math.MaxInt}
	}
	return servers
}

func makeUnits(n int) []keyspace.Unit {
	units := make([]keyspace.Unit, n)
	for i := range units {
		units[i] = keyspace.Unit(i)
	}
	return units
}

func applyMoves(current map[keyspace.Unit]string, moves []Move) {
	for _, move := range moves {
		current[move.Unit] = move.To
	}
}

// Guards against a second move of a moving unit, moves to draining backend servers,
// moves beyond a server's limit of new units, and units left without an owner.
func TestPlanPlacesEveryUnitWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := generateInput(t)
		allowed := make(map[string]int)
		usable := make(map[string]bool)
		for _, s := range input.Servers {
			allowed[s.Name] = s.MaxNewUnits
			usable[s.Name] = !s.Draining
		}
		balancing := 0
		seen := make(map[keyspace.Unit]bool)
		for _, move := range Plan(input) {
			if input.Moving[move.Unit] || seen[move.Unit] {
				t.Fatalf("unit %d is moved twice at a time", move.Unit)
			}
			seen[move.Unit] = true
			if !usable[move.To] || move.From != input.Current[move.Unit] || move.From == move.To {
				t.Fatalf("move %+v has an unusable target or a wrong source", move)
			}
			allowed[move.To]--
			if usable[move.From] {
				balancing++
				if allowed[move.To] < 0 {
					t.Fatalf("server %s gets more units than allowed", move.To)
				}
			}
		}
		if balancing > input.MaxMoves {
			t.Fatalf("%d moves to balance the load, limit %d", balancing, input.MaxMoves)
		}
		for _, unit := range input.Units {
			if !usable[input.Current[unit]] && !input.Moving[unit] && !seen[unit] && anyUsable(input) {
				t.Fatalf("unit %d is left without an owner", unit)
			}
		}
	})
}

// generateInput generates an input with owners that may be missing or draining.
func generateInput(t *rapid.T) Input {
	input := Input{
		Units:    makeUnits(rapid.IntRange(1, 60).Draw(t, "units")),
		Current:  make(map[keyspace.Unit]string),
		Moving:   make(map[keyspace.Unit]bool),
		Load:     make(map[keyspace.Unit]float64),
		Servers:  makeServers(rapid.IntRange(1, 6).Draw(t, "servers")),
		MaxMoves: rapid.IntRange(0, 20).Draw(t, "max"),
	}
	for i := range input.Servers {
		input.Servers[i].Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
		input.Servers[i].MaxNewUnits = rapid.IntRange(0, 10).Draw(t, "room")
	}
	for _, unit := range input.Units {
		input.Current[unit] = fmt.Sprintf("b-%02d", rapid.IntRange(0, 7).Draw(t, "owner"))
		input.Moving[unit] = rapid.IntRange(0, 9).Draw(t, "moving") == 0
		input.Load[unit] = rapid.Float64().Draw(t, "load")
	}
	return input
}

// anyUsable reports whether some backend server is not draining.
func anyUsable(input Input) bool {
	for _, s := range input.Servers {
		if !s.Draining {
			return true
		}
	}
	return false
}

// Guards against moves back and forth when load reports vary at random.
func TestNoisyReportsCauseNoMoves(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	input := Input{Units: makeUnits(256), Current: map[keyspace.Unit]string{}, Servers: makeServers(10), MaxMoves: 64}
	applyMoves(input.Current, Plan(input))
	for range 100 {
		input.Load = make(map[keyspace.Unit]float64)
		for _, unit := range input.Units {
			input.Load[unit] = 1 + 0.2*random.Float64()
		}
		is.Equal(len(Plan(input)), 0)
	}
}

// Guards against a backend server that has returned to service and gets more than 1/20
// of its target per second.
func TestRefillIsLimited(t *testing.T) {
	is := is.New(t)
	refill := NewRefill(time.Minute, 200)
	total := 0
	for tick := range 200 {
		now := time.Minute + time.Duration(tick)*100*time.Millisecond
		allowed := refill.AllowedUnits(now)
		refill.CountUnits(allowed)
		total += allowed
		is.True(total <= 1+tick)
	}
	is.Equal(total, 200)
	is.True(refill.Done(time.Minute + 20*time.Second))
}

// policy places all units on the named servers and updates current, which maps each
// unit to its server.
type policy func(units []keyspace.Unit, load map[keyspace.Unit]float64, current map[keyspace.Unit]string, names []string)

func planPolicy(units []keyspace.Unit, load map[keyspace.Unit]float64, current map[keyspace.Unit]string, names []string) {
	servers := make([]Server, len(names))
	for i, name := range names {
		servers[i] = Server{Name: name, Capacity: 1, MaxNewUnits: math.MaxInt}
	}
	applyMoves(current, Plan(Input{Units: units, Current: current, Load: load, Servers: servers, MaxMoves: len(units)}))
}

func rendezvousPolicy(units []keyspace.Unit, _ map[keyspace.Unit]float64, current map[keyspace.Unit]string, names []string) {
	for _, unit := range units {
		current[unit] = Rendezvous(unit, names)
	}
}

func equalRangesPolicy(units []keyspace.Unit, _ map[keyspace.Unit]float64, current map[keyspace.Unit]string, names []string) {
	for i, unit := range units {
		current[unit] = EqualRanges(i, len(units), names)
	}
}

// policyCost is the result of a run: the number of units moved, the least number that
// equal parts need, and the largest ratio of the highest load to the mean load.
type policyCost struct {
	moves, minMoves int
	imbalance       float64
}

// measurePolicy places units of random load on the servers, then replaces servers
// several times and sums the cost of each change.
func measurePolicy(place policy, seed uint64, unitCount, serverCount, changes int) policyCost {
	random := rand.New(rand.NewPCG(seed, 1))
	units := makeUnits(unitCount)
	load := make(map[keyspace.Unit]float64, unitCount)
	for _, unit := range units {
		load[unit] = random.ExpFloat64()
	}
	current := make(map[keyspace.Unit]string, unitCount)
	names := make([]string, serverCount)
	for i := range names {
		names[i] = fmt.Sprintf("b-%03d", i)
	}
	place(units, load, current, names)
	total := policyCost{}
	for change := range changes {
		names = changeServers(names, change, serverCount, random)
		before := maps.Clone(current)
		place(units, load, current, names)
		total.add(before, current, names, load)
	}
	return total
}

// changeServers removes a random backend server and adds a new one, alternately.
func changeServers(names []string, change, serverCount int, random *rand.Rand) []string {
	if change%2 == 1 {
		return append(names, fmt.Sprintf("b-%03d", serverCount+change))
	}
	removed := random.IntN(len(names))
	return append(names[:removed:removed], names[removed+1:]...)
}

// add adds the cost of one change of the servers.
func (c *policyCost) add(before, after map[keyspace.Unit]string, names []string, load map[keyspace.Unit]float64) {
	kept := make(map[string]bool)
	for _, name := range names {
		kept[name] = true
	}
	unplaced := 0
	perServer := make(map[string]float64)
	total := 0.0
	for unit, name := range after {
		if before[unit] != name {
			c.moves++
		}
		if !kept[before[unit]] {
			unplaced++
		}
		perServer[name] += load[unit]
		total += load[unit]
	}
	// All units of a removed server must move; an added server must get an equal part.
	c.minMoves += unplaced
	if unplaced == 0 {
		c.minMoves += len(after) / len(names)
	}
	largest := 0.0
	for _, sum := range perServer {
		largest = max(largest, sum)
	}
	c.imbalance = max(c.imbalance, largest/(total/float64(len(names))))
}

// Compares Plan with both baselines. Guards against a Plan that is no better than they
// are: its load must be the most even, with less than 1.5 times the fewest moves.
func TestPlanComparedWithBaselines(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ units, servers int }{{256, 15}, {2048, 50}} {
		run := func(name string, place policy) policyCost {
			sum := policyCost{}
			for seed := range uint64(3) {
				one := measurePolicy(place, seed, size.units, size.servers, 10)
				sum.moves += one.moves
				sum.minMoves += one.minMoves
				sum.imbalance = max(sum.imbalance, one.imbalance)
			}
			t.Logf("%d units, %d servers, %s: moves %d, least for equal parts %d (%.2fx), largest load over mean %.2f",
				size.units, size.servers, name, sum.moves, sum.minMoves, float64(sum.moves)/float64(sum.minMoves), sum.imbalance)
			return sum
		}
		plan, rendezvous, equalRanges := run("plan", planPolicy), run("rendezvous", rendezvousPolicy), run("equal ranges", equalRangesPolicy)
		is.True(plan.imbalance < rendezvous.imbalance)
		is.True(plan.imbalance < equalRanges.imbalance)
		is.True(float64(plan.moves) < 1.5*float64(plan.minMoves))
		is.True(plan.moves < equalRanges.moves)
	}
}

// BenchmarkPlan measures planning after the loss of one of 100 backend servers, for
// several numbers of units.
func BenchmarkPlan(b *testing.B) {
	for _, units := range []int{4096, 16384, 65536} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			input := Input{Units: makeUnits(units), Current: map[keyspace.Unit]string{}, Servers: makeServers(100), MaxMoves: 64}
			applyMoves(input.Current, Plan(input))
			input.Servers = input.Servers[1:]
			b.ReportAllocs()
			for b.Loop() {
				Plan(input)
			}
		})
	}
}
