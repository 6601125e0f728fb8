package compose

import (
	"slices"
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// maxExtends bounds how many services may extend each other in a row.
const maxExtends = 32

// serviceID names a service of a file.
type serviceID struct{ file, name string }

// extender resolves the element extends of services.
type extender struct {
	files    map[string]*value    // tree of each file that was loaded
	resolved map[serviceID]*value // services with all that they extend
	// load adds a file that the file from names at pos to files, and returns its name.
	load func(from, name string, pos diagnostic.Pos) (file string, err error)
}

// service returns a service with all that it extends merged in. It is named at pos, by the last of chain, the services that
// are being resolved; none for a service that the submission itself holds.
func (e *extender) service(id serviceID, pos diagnostic.Pos, chain []serviceID) (*value, error) {
	if v, ok := e.resolved[id]; ok {
		return v, nil
	}
	if err := checkChain(chain, id, pos); err != nil {
		return nil, err
	}
	v := e.files[id.file].get("services").get(id.name)
	if v == nil {
		return nil, diagnostic.Errorf(pos, "extends names service %q, which %s does not hold", id.name, id.file)
	}
	extends := v.get("extends")
	if extends == nil {
		e.resolved[id] = v
		return v, nil
	}
	baseID, err := e.baseOf(id.file, extends)
	if err != nil {
		return nil, err
	}
	base, err := e.service(baseID, extends.pos, append(slices.Clip(chain), id))
	if err != nil {
		return nil, err
	}
	if base.kind != mapping {
		return nil, diagnostic.Wantf(base.pos, "a mapping", "service %q is %s", baseID.name, base.kind)
	}
	merged := merge(base, withoutKey(v, "extends"), "services.*")
	merged.pos = v.pos
	e.resolved[id] = merged
	return merged, nil
}

// checkChain returns an error if a service extends itself, or too many extend each other.
func checkChain(chain []serviceID, id serviceID, pos diagnostic.Pos) error {
	if slices.Contains(chain, id) {
		var names []string
		for _, link := range chain {
			names = append(names, link.name)
		}
		return diagnostic.Errorf(pos, "extends goes round: %s", strings.Join(append(names, id.name), " -> "))
	}
	if len(chain) >= maxExtends {
		return diagnostic.Wantf(pos, "at most 32 steps", "extends goes on too long")
	}
	return nil
}

// baseOf returns the service that an element extends names: NAME, or {service: NAME, file: PATH}. The file is loaded; without
// one, the service is in the same file as the element.
func (e *extender) baseOf(file string, extends *value) (serviceID, error) {
	base := serviceID{file: file}
	switch extends.kind {
	case scalar:
		base.name = extends.text
	case mapping:
		for _, key := range extends.keys {
			if key != "service" && key != "file" {
				return serviceID{}, diagnostic.Wantf(extends.keyPos[key], "service or file", "unknown key %q in extends", key)
			}
		}
		if service := extends.get("service"); service != nil {
			base.name = service.text
		}
		if name := extends.get("file"); name != nil {
			found, err := e.load(file, name.text, name.pos)
			if err != nil {
				return serviceID{}, err
			}
			base.file = found
		}
	}
	if base.name == "" {
		return serviceID{}, diagnostic.Wantf(extends.pos, "the name of a service", "extends names none")
	}
	return base, nil
}

// withoutKey returns a copy of a mapping without one key and without its tag.
func withoutKey(v *value, key string) *value {
	rest := newMap(v.pos)
	for _, k := range v.keys {
		if k != key {
			rest.set(k, v.keyPos[k], v.fields[k])
		}
	}
	return rest
}
