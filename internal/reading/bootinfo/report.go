package bootinfo

import (
	"math"

	"forkhead"
)

// NoReport is a load report in which nothing is told.
func NoReport() *forkhead.Report {
	nan := math.NaN()
	return &forkhead.Report{Cores: nan, Memory: nan, Queue: nan, Util: nan}
}

// Tell puts a value into a load report under the name that loadInfo.fields has for it. Values that the module does not
// use are passed over.
func Tell(r *forkhead.Report, field string, value float64) {
	switch field {
	case "x0":
		r.Cores = value
	case "x1":
		r.Memory = value
	case "backlog":
		r.Queue = value
	case "utilization":
		r.Util = value
	}
}
