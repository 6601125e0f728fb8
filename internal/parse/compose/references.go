package compose

import "strings"

// References returns the names of the other files that a file refers to in extends, env_file and label_file, as they
// are written there. A client needs them to add these files to the submission. Names that contain a variable are left
// out. The result is empty if the file cannot be parsed.
func References(f File) []string {
	budget := maxNodes
	docs, err := parseYAML(f.Name, []byte(f.Text), &budget)
	if err != nil {
		return nil
	}
	var names []string
	for _, doc := range docs {
		services := doc.get("services")
		if services == nil || services.kind != mapping {
			continue
		}
		for _, name := range services.keys {
			names = appendServiceReferences(names, services.fields[name])
		}
	}
	return names
}

// appendServiceReferences appends the names of the files that a service refers to.
func appendServiceReferences(names []string, service *value) []string {
	names = appendReference(names, service.get("extends").get("file"))
	for _, key := range []string{"env_file", "label_file"} {
		v := service.get(key)
		if v == nil {
			continue
		}
		names = appendReference(names, v)
		for _, item := range v.items {
			names = appendReference(names, item)
			names = appendReference(names, item.get("path"))
		}
	}
	return names
}

// appendReference appends the text of v if it is a name without variables.
func appendReference(names []string, v *value) []string {
	if v == nil || v.kind != scalar || v.text == "" || strings.Contains(v.text, "$") {
		return names
	}
	return append(names, v.text)
}
