package simulation

import "fmt"

// failure is what a panicTB panics with: the message of the first check that failed.
type failure struct{ message string }

// panicTB is the TB of a run outside a test.
type panicTB struct{}

func (panicTB) Helper()                           {}
func (panicTB) Fatal(args ...any)                 { panic(failure{fmt.Sprint(args...)}) }
func (panicTB) Fatalf(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// CheckRandom is RunRandom outside a test. It returns the check that failed, with the seed, or nil.
func CheckRandom(mix Mix, seed uint64) (err error) {
	defer func() {
		if f, ok := recover().(failure); ok {
			err = fmt.Errorf("life %d: %s", seed, f.message)
		}
	}()
	RunRandom(panicTB{}, mix, seed)
	return nil
}
