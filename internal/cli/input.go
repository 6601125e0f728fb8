package cli

import (
	"fmt"
	"os"

	"forkhead/internal/parse/settings"
	"forkhead/internal/verify/scenario"
)

// readFile reads a file of the user's. want says what should be in it; the error of a file that cannot be read repeats it.
func readFile(name, want string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, unreadable(err, want)
	}
	return text, nil
}

// unreadable is the error of a file that cannot be read.
func unreadable(err error, want string) error {
	return badInput(fmt.Errorf("%w; want a file that can be read, with %s", err, want))
}

// readSettings reads a file of settings; an empty name stands for the built-in ones.
func readSettings(name string) (*settings.Settings, error) {
	if name == "" {
		return settings.Parse("default settings", settings.Default)
	}
	text, err := readFile(name, "settings: (forkhead ...)")
	if err != nil {
		return nil, err
	}
	return settings.Parse(name, text)
}

// readScenario reads a file of a scenario; an empty name stands for the built-in one.
func readScenario(name string, builtIn []byte) (*scenario.Scenario, error) {
	if name == "" {
		return scenario.Read("built-in script", builtIn)
	}
	text, err := readFile(name, "a script: (badday ...)")
	if err != nil {
		return nil, err
	}
	return scenario.Read(name, text)
}
