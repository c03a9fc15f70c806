package capacity

// Metric identifies one result column of a benchmark and the parameter that it depends
// on.
type Metric struct {
	Benchmark string
	// Param is the size parameter; empty for a cost that doesn't depend on a size.
	Param string
	Unit  string
}

// String returns the metric in the form "Name/param=* unit".
func (m Metric) String() string {
	if m.Param == "" {
		return m.Benchmark + " " + m.Unit
	}
	return m.Benchmark + "/" + m.Param + "=* " + m.Unit
}

// Slope is a straight line fitted to the results of a Metric.
type Slope struct {
	// Fixed is the amount at size zero, PerUnit the increase per unit of size.
	Fixed, PerUnit float64
	// Lowest and Highest are the smallest and the largest size with results.
	Lowest, Highest float64
	// Points is the number of results.
	Points int
}

// AmountAt returns the amount at a size. It returns zero where the fitted line is
// negative.
func (s Slope) AmountAt(size float64) float64 { return max(0, s.Fixed+s.PerUnit*size) }

// FitSlope fits a line to the results of a metric by least squares. It returns false if
// there are no results, or if the metric has a parameter and there are results for fewer
// than two sizes. Without a parameter the line is the mean of the results.
func FitSlope(results []Measurement, metric Metric) (Slope, bool) {
	var sizes, amounts []float64
	for _, m := range results {
		amount, measured := m.value(metric.Unit)
		size, sized := m.param(metric.Param)
		if m.Benchmark != metric.Benchmark || !measured || metric.Param != "" && !sized {
			continue
		}
		sizes = append(sizes, size)
		amounts = append(amounts, amount)
	}
	if len(amounts) == 0 {
		return Slope{}, false
	}
	if metric.Param == "" {
		return Slope{Fixed: mean(amounts), Points: len(amounts)}, true
	}
	return fitLine(sizes, amounts)
}

// fitLine fits a line by least squares; it returns false if all sizes are equal.
func fitLine(sizes, amounts []float64) (Slope, bool) {
	s := Slope{Lowest: sizes[0], Highest: sizes[0], Points: len(sizes)}
	meanSize, meanAmount := mean(sizes), mean(amounts)
	var covariance, variance float64
	for i, size := range sizes {
		s.Lowest = min(s.Lowest, size)
		s.Highest = max(s.Highest, size)
		covariance += (size - meanSize) * (amounts[i] - meanAmount)
		variance += (size - meanSize) * (size - meanSize)
	}
	if variance == 0 {
		return Slope{}, false
	}
	s.PerUnit = covariance / variance
	s.Fixed = meanAmount - s.PerUnit*meanSize
	return s, true
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
