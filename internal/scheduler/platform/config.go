package platform

import (
	"forkhead"
	"forkhead/internal/parse/platformconfig"
)

// NewConfig returns what the platform's settings determine of a configuration: the settings as the module takes them, the
// names and IdleTimeout. The seed, the initial events and the bounds of connections are the shell's.
func NewConfig(info *platformconfig.Info, settings forkhead.Settings) Config {
	config := Config{
		Settings:    settings,
		Names:       WireNames{Zones: info.Zones, MachineTypes: info.MachineTypeNames},
		IdleTimeout: platformconfig.Duration(info.Caps.ConnectionIdleTimeout),
	}
	for i := range info.Classes {
		config.Names.Classes = append(config.Names.Classes, info.Classes[i].Name)
	}
	for i := range info.Tenants {
		config.Names.Tenants = append(config.Names.Tenants, info.Tenants[i].Name)
	}
	return config
}
