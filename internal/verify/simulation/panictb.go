package simulation

import "fmt"

// failure is the value with which panicTB panics. It holds the message of the failed check.
type failure struct{ message string }

// panicTB is a TB for runs outside a test. It panics on the first failed check, which ends the run.
type panicTB struct{}

func (panicTB) Helper()                           {}
func (panicTB) Fatal(args ...any)                 { panic(failure{fmt.Sprint(args...)}) }
func (panicTB) Fatalf(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// CheckRandom runs RunRandom outside a test. It returns an error with the seed and the message of the check that
// failed, or nil if none failed.
func CheckRandom(mix Mix, seed uint64) (err error) {
	defer func() {
		if f, ok := recover().(failure); ok {
			err = fmt.Errorf("seed %d: %s", seed, f.message)
		}
	}()
	RunRandom(panicTB{}, mix, seed)
	return nil
}
