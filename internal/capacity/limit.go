package capacity

// Parameters of the search for a limit.
const (
	// searchFactor is the upper end of the search as a multiple of the sizing.
	searchFactor = 1e6
	// searchSteps is the number of bisections, enough for six significant digits.
	searchSteps = 60
)

// Limit is the value of a dimension at which a role exhausts its budget.
type Limit struct {
	// Known is false for a role that doesn't count towards the control budget, and for
	// a role whose messages, CPU time or memory can't be computed.
	Known bool
	// Reached is false if the role stays within the budget at every size searched.
	Reached bool
	// Value is the largest value of the dimension that fits the budget.
	Value float64
	// LimitedBy is the budget that is exhausted first: CPU, memory or messages.
	LimitedBy string
}

func (l Limit) text(growsWith Dimension) string {
	switch {
	case !l.Known:
		return notMeasured
	case !l.Reached:
		return "does not grow with " + growsWith.Name
	default:
		return formatCount(l.Value) + " " + growsWith.Name + " (" + l.LimitedBy + ")"
	}
}

// bound is one budget of a role and the terms whose sum must not exceed it.
type bound struct {
	terms  []Term
	budget float64
	name   string
}

// limit returns the lowest limit of a role over the budgets. All other numbers of the
// sizing stay unchanged.
func (e *evaluator) limit(role Role, sizing Sizing, budget Budget) Limit {
	lowest := Limit{Known: role.Control}
	bounds := []bound{
		{role.CPU, budget.Cores * nanosecondsPerSecond, "CPU"},
		{role.Memory, budget.MemoryBytes, "memory"},
		{role.Messages, budget.BytesPerSecond, "messages"},
	}
	for _, b := range bounds {
		if len(b.terms) == 0 || !role.Control {
			continue
		}
		if len(e.cell(b.terms, sizing).Missing) > 0 {
			return Limit{}
		}
		value, reached := e.search(role.GrowsWith, b, sizing)
		if reached && (!lowest.Reached || value < lowest.Value) {
			lowest = Limit{Known: true, Reached: true, Value: value, LimitedBy: b.name}
		}
	}
	return lowest
}

// search finds by bisection the largest value of the dimension at which the terms fit
// the budget, and returns false if they fit at every value searched. It relies on no
// term decreasing as the dimension grows.
func (e *evaluator) search(dimension Dimension, b bound, sizing Sizing) (float64, bool) {
	amountAt := func(value float64) float64 {
		*dimension.field(&sizing) = value
		var sum float64
		for _, term := range b.terms {
			slope, _ := FitSlope(e.results, term.Metric)
			sum += slope.AmountAt(term.Size.Of(sizing)) * term.Rate.Of(sizing)
		}
		return sum
	}
	low, high := 0.0, *dimension.field(&sizing)*searchFactor
	if amountAt(high) <= b.budget {
		return 0, false
	}
	for range searchSteps {
		middle := (low + high) / 2
		if amountAt(middle) <= b.budget {
			low = middle
		} else {
			high = middle
		}
	}
	return low, true
}
