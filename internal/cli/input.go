package cli

import (
	"forkhead/internal/parse/settings"
	"forkhead/internal/verify/scenario"
)

// readSettings reads a file of settings; "" stands for the default ones.
func readSettings(name string) (*settings.Settings, error) {
	if name == "" {
		return settings.Read("default settings", settings.Default)
	}
	text, err := file(name, "settings: (forkhead ...)")
	if err != nil {
		return nil, err
	}
	return settings.Read(name, text)
}

func readScript(name string, preset []byte) (*scenario.Scenario, error) {
	if name == "" {
		return scenario.Read("built-in script", preset)
	}
	text, err := file(name, "a script: (badday ...)")
	if err != nil {
		return nil, err
	}
	return scenario.Read(name, text)
}
