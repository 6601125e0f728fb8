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

	// minNameLength is the minimum length of a name that is searched for, in bytes. Shorter names also occur as ordinary
	// words.
	minNameLength = 4

	// minNames is the minimum number of names in the site files. If fewer are found, the files are not read correctly.
	minNames = 12
)

// The program must serve any deployment from its configuration alone. No source file outside tests may therefore contain a
// name from deploy/sites.
func TestSourceContainsNoDeploymentNames(t *testing.T) {
	names := deploymentNames(t)
	if len(names) < minNames {
		t.Fatalf("deploymentNames() = %v, which are %d names, want at least %d", names, len(names), minNames)
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
		case d.IsDir() && mayHoldNames(rel):
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
				t.Errorf("%s contains the name %q from %s, want no name of a deployment", rel, name, site)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// deploymentNames returns the names of deployments in the files of deploy/sites, each with the file that has the name.
func deploymentNames(t *testing.T) map[string]string {
	t.Helper()
	sites, err := filepath.Glob(filepath.Join(sitesFolder, "*.toml"))
	if err != nil || len(sites) == 0 {
		t.Fatalf("files *.toml in %s: got %v, error %v; want at least one file", sitesFolder, sites, err)
	}
	setting := regexp.MustCompile(`(?m)^(?:name|zones) = (.*)$`)
	quoted := regexp.MustCompile(`"((?:[^"\\]|\\.)*)"`)
	names := map[string]string{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		// The part of a site file from its first section [[trouble]] on configures the bench, not the deployment.
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

// mayHoldNames reports whether the files in a folder are allowed to contain names of deployments.
func mayHoldNames(folder string) bool {
	return slices.Contains([]string{".git", "journal", "bin", "docs", filepath.Join("deploy", "sites")}, folder)
}

// isSource reports whether a file is Go source outside tests, or a file of the deploy folder.
func isSource(file string) bool {
	return !strings.HasSuffix(file, "_test.go") && (strings.HasSuffix(file, ".go") || strings.HasPrefix(file, "deploy"))
}
