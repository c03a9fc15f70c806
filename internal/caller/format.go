package caller

import "strconv"

// formatBytes formats a number of bytes in the largest binary unit that divides it.
func formatBytes(n int64) string {
	units := []struct {
		size int64
		name string
	}{{1 << 30, " GiB"}, {1 << 20, " MiB"}, {1 << 10, " KiB"}}
	for _, unit := range units {
		if n%unit.size == 0 {
			return strconv.FormatInt(n/unit.size, 10) + unit.name
		}
	}
	return strconv.FormatInt(n, 10) + " bytes"
}
