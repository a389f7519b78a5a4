package benchrollout

import "slices"

// median returns the median, or 0 of no values. It sorts the values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
