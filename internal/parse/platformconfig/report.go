package platformconfig

import (
	"math"

	"forkhead"
)

// NoReport is a load report in which nothing is told.
func NoReport() *forkhead.LoadReport {
	nan := math.NaN()
	return &forkhead.LoadReport{AvailableCores: nan, AvailableMemory: nan, Queue: nan, Utilization: nan}
}

// Tell puts a value into a load report under the name that loadInfo.fields has for it. Values that the module does not
// use are passed over.
func Tell(r *forkhead.LoadReport, field string, value float64) {
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
