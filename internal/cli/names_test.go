package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	sitesFolder = "../../deploy/sites"

	// minNameLength is in bytes: shorter names are words of any text.
	minNameLength = 4

	// minNames is the number of names that the sites have at least: with fewer, they are not read as they are written.
	minNames = 12
)

// The program serves any deployment from its configuration: no source file outside tests holds a name of one in deploy/sites.
func TestNoDeploymentNames(t *testing.T) {
	names := deploymentNames(t)
	if len(names) < minNames {
		t.Fatalf("only %d names are found: %v", len(names), names)
	}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel("../..", path)
		if err != nil {
			return err
		}
		switch {
		case d.IsDir() && namesMayStand(rel):
			return filepath.SkipDir
		case d.IsDir() || !isSource(rel):
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for name, site := range names {
			if strings.Contains(string(text), name) {
				t.Errorf("%s holds %q of %s", rel, name, site)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// deploymentNames returns the names in the files of deploy/sites, with the file of each.
func deploymentNames(t *testing.T) map[string]string {
	t.Helper()
	sites, err := filepath.Glob(filepath.Join(sitesFolder, "*.toml"))
	if err != nil || len(sites) == 0 {
		t.Fatalf("no site files: %v", err)
	}
	setting := regexp.MustCompile(`(?m)^(?:name|zones) = (.*)$`)
	quoted := regexp.MustCompile(`"((?:[^"\\]|\\.)*)"`)
	names := map[string]string{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		// Troubles are the bench's, not the deployment's.
		body, _, _ := strings.Cut(string(text), "[[trouble]]")
		for _, line := range setting.FindAllStringSubmatch(body, -1) {
			for _, name := range quoted.FindAllStringSubmatch(line[1], -1) {
				if len(name[1]) >= minNameLength {
					names[strings.ReplaceAll(name[1], `\"`, `"`)] = site
				}
			}
		}
	}
	return names
}

// namesMayStand says whether a folder may hold names of deployments.
func namesMayStand(folder string) bool {
	return slices.Contains([]string{".git", "journal", "bin", "docs", filepath.Join("deploy", "sites")}, folder)
}

// isSource says whether a file is Go source outside tests, or one of the deployment's.
func isSource(file string) bool {
	return !strings.HasSuffix(file, "_test.go") && (strings.HasSuffix(file, ".go") || strings.HasPrefix(file, "deploy"))
}
