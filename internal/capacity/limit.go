package capacity

// Bounds of the search for a limit.
const (
	// searchFactor is how far beyond the sizing a limit is looked for.
	searchFactor = 1e6
	// searchSteps halve the interval often enough for six digits.
	searchSteps = 60
)

// Limit is the value of a dimension at which a role uses up the budget.
type Limit struct {
	// Known is false when a cell of the role is not measured.
	Known bool
	// Reached is false when the role stays in the budget for all sizes searched.
	Reached bool
	// Value is the largest value of the dimension that fits the budget.
	Value float64
	// By names the budget that ends the mechanism: CPU, memory or messages.
	By string
}

func (l Limit) text(grows Dimension) string {
	switch {
	case !l.Known:
		return notMeasured
	case !l.Reached:
		return "does not grow with " + grows.Name
	default:
		return count(l.Value) + " " + grows.Name + " (" + l.By + ")"
	}
}

// bound is one budget of a role.
type bound struct {
	terms  []Term
	budget float64
	name   string
}

// limit returns the lowest limit over the budgets. It is taken with the other
// numbers of the sizing unchanged.
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
		value, reached := e.search(role.Grows, b, sizing)
		if reached && (!lowest.Reached || value < lowest.Value) {
			lowest = Limit{Known: true, Reached: true, Value: value, By: b.name}
		}
	}
	return lowest
}

// search finds by bisection where the terms reach the budget; every term grows or
// stays equal with its dimension.
func (e *evaluator) search(dimension Dimension, b bound, sizing Sizing) (float64, bool) {
	amountAt := func(value float64) float64 {
		*dimension.at(&sizing) = value
		var sum float64
		for _, term := range b.terms {
			slope, _ := FitSlope(e.results, term.Metric)
			sum += slope.At(term.Size.Of(sizing)) * term.Rate.Of(sizing)
		}
		return sum
	}
	low, high := 0.0, *dimension.at(&sizing)*searchFactor
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
