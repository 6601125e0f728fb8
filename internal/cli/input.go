package cli

import (
	"fmt"
	"os"

	"forkhead/internal/parse/settings"
	"forkhead/internal/verify/scenario"
)

// readFile reads an input file. The parameter want says what the file should contain. It appears in the error if the file
// cannot be read.
func readFile(name, want string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, unreadableFileError(err, want)
	}
	return text, nil
}

// unreadableFileError returns the input error for a file that cannot be read. The parameter want says what the file
// should contain.
func unreadableFileError(err error, want string) error {
	return asInputError(fmt.Errorf("%w; want a file that can be read, with %s", err, want))
}

// readSettings reads a settings file, or returns the built-in settings if name is "".
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

// readScenario reads a scenario file. If name is "", it parses the built-in scenario with the text builtIn instead.
func readScenario(name string, builtIn []byte) (*scenario.Scenario, error) {
	if name == "" {
		return scenario.Read("built-in script", builtIn) // recordings contain this name, so it must not change
	}
	text, err := readFile(name, "a scenario: (badday ...)")
	if err != nil {
		return nil, err
	}
	return scenario.Read(name, text)
}
