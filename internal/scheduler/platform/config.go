package platform

import (
	"forkhead"
	"forkhead/internal/parse/platformconfig"
)

// NewConfig returns a configuration with the fields that the platform's settings determine: Settings, Names and
// IdleTimeout. The caller sets the seed, the initial events and the bounds of connections.
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
