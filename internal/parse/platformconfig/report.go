package platformconfig

import (
	"math"

	"forkhead"
)

// EmptyReport returns a load report in which no value is reported: each value is NaN.
func EmptyReport() *forkhead.LoadReport {
	nan := math.NaN()
	return &forkhead.LoadReport{AvailableCores: nan, AvailableMemory: nan, Queue: nan, Utilization: nan}
}

// SetReported sets one value of a load report. The parameter field is the platform's name for the value, one of the
// names in loadInfo.fields. Values that the module does not use are ignored.
func SetReported(r *forkhead.LoadReport, field string, value float64) {
	switch field {
	case "x0":
		r.AvailableCores = value
	case "x1":
		r.AvailableMemory = value
	case "backlog":
		r.Queue = value
	case "utilization":
		r.Utilization = value
	}
}
