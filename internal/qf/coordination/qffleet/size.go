package qffleet

import (
	"math"

	"quetzalfront/internal/qf"
)

// spareShare is the part of the operator's number of endpoints that is ordered in addition, so
// that bursts find room and the loss of a zone leaves enough until others have started.
const spareShare = 0.3

// SizeWithSpare returns how many endpoints to order for an entry, given how many the operator
// started with. Spare endpoints are ordered only where cheaper, reclaimable ones are offered.
func SizeWithSpare(initial int, scaling *qf.ScalingSettings) int {
	if scaling.ReclaimablePrice <= 0 || scaling.ReclaimablePrice >= 1 {
		return initial
	}
	most := scaling.Max * len(scaling.Prices)
	return max(min(int(math.Ceil(float64(initial)*(1+spareShare))), most), initial)
}
