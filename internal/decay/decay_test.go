package decay

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeft guards against weights that do not fade at the stated pace.
func TestLeft(t *testing.T) {
	is := is.New(t)
	is.Equal(Factor(0, time.Second), 1.0)
	is.True(math.Abs(Factor(2*time.Second, 2*time.Second)-1/math.E) < 1e-12)
	is.True(math.Abs(Factor(3*time.Second, time.Second)-Factor(time.Second, time.Second)*Factor(2*time.Second, time.Second)) < 1e-12)
}
