package settings

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/hostport"
	"forkhead/internal/parse/sexp"
)

// addressField returns a field that stores an address of the form HOST:PORT.
func addressField(to *string) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		address, err := v.Text()
		if err != nil {
			return err
		}
		if _, _, err := hostport.Split(address); err != nil {
			return diagnostic.Wantf(v.Pos, "ADDRESS:PORT", "%q", address)
		}
		*to = address
		return nil
	})
}

// memoryUnits maps the units of memory to their sizes in GiB.
var memoryUnits = map[string]float64{"MiB": 1. / 1024, "GiB": 1, "TiB": 1024}

// memoryField returns a field that stores an amount of memory in GiB. In the file, the amount is a number from 0.001 to
// 10^6 followed by a unit.
func memoryField(to *float64) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		text, err := v.Text()
		if err != nil {
			return err
		}
		for unit, factor := range memoryUnits {
			digits, ok := strings.CutSuffix(text, unit)
			if !ok {
				continue
			}
			amount := &sexp.Node{Pos: v.Pos, Atom: digits}
			n, err := amount.Number(1e-3, 1e6)
			if err != nil {
				break
			}
			*to = n * factor
			return nil
		}
		return diagnostic.Wantf(v.Pos, "an amount as 512MiB or 64GiB", "%q", text)
	})
}
