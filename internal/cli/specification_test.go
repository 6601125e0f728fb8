package cli

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"forkhead/internal/parse/compose"
)

// writeFiles writes files into a new temporary folder and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestProjectName(t *testing.T) {
	for folder, want := range map[string]string{
		"shop": "shop", "Web Shop": "webshop", "_-shop-2": "shop-2", "9lives": "9lives", "Ünder": "nder", "...": "",
	} {
		if got := projectName(folder); got != want {
			t.Errorf("projectName(%q) = %q, want %q", folder, got, want)
		}
	}
}

// The envelope must have the variables from .env in the folder of the first file. Environment variables must override
// them. An environment variable whose name does not occur in any file must not be sent.
func TestEnvelopeSendsOnlyReferencedVariables(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"compose.yaml": "services: {a: {image: '${FORKHEAD_TEST_TAG}', labels: ['${FORKHEAD_TEST_HOME}']}}",
		".env":         "# comment\n\nFORKHEAD_TEST_TAG=file\nFORKHEAD_TEST_HOME = \"quoted\"\n",
	})
	t.Setenv("FORKHEAD_TEST_TAG", "environment")
	t.Setenv("FORKHEAD_TEST_SECRET", "stays here")
	var flags specificationFlags
	envelope, err := flags.envelope([]string{filepath.Join(dir, "compose.yaml")})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"FORKHEAD_TEST_TAG": "environment", "FORKHEAD_TEST_HOME": "quoted"}
	maps.DeleteFunc(envelope.Variables, func(key, _ string) bool { return !strings.HasPrefix(key, "FORKHEAD_TEST_") })
	if !maps.Equal(envelope.Variables, want) {
		t.Errorf("envelope(compose.yaml): variables FORKHEAD_TEST_* are %v, want %v", envelope.Variables, want)
	}
}

func TestEnvelopeUnreadableFileIsInputError(t *testing.T) {
	dir := writeFiles(t, map[string]string{"compose.yaml": "services: {}", "bad.env": "A=1\nno value\n"})
	file := filepath.Join(dir, "compose.yaml")
	for name, c := range map[string]struct {
		flags specificationFlags
		file  string
		want  string
	}{
		"no such file":          {specificationFlags{}, filepath.Join(dir, "none.yaml"), "want a file that can be read, with a Compose file"},
		"no such env file":      {specificationFlags{envFile: filepath.Join(dir, "none.env")}, file, "no such file"},
		"env line has no value": {specificationFlags{envFile: filepath.Join(dir, "bad.env")}, file, `bad.env:2:1: "no value"; want NAME=VALUE`},
	} {
		_, err := c.flags.envelope([]string{c.file})
		if err == nil || !isInputError(err) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: envelope(%q) = error %v, want an input error that contains %q", name, c.file, err, c.want)
		}
	}
}

// The envelope must contain the files that the named files refer to, each file only once. A missing file must be skipped,
// because the parser reports it.
func TestEnvelopeContainsReferencedFilesOnce(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"a.yaml": "services:\n  x: {extends: {file: b.yaml, service: y}}\n  z: {extends: {file: none.yaml, service: y}}\n",
		"b.yaml": "services: {y: {extends: {file: a.yaml, service: x}}}\n",
	})
	var flags specificationFlags
	envelope, err := flags.envelope([]string{filepath.Join(dir, "a.yaml")})
	if err != nil {
		t.Fatal(err)
	}
	names := func(files []compose.File) []string {
		var names []string
		for _, f := range files {
			names = append(names, filepath.Base(f.Name))
		}
		return names
	}
	if got, want := names(envelope.Files), []string{"a.yaml"}; !slices.Equal(got, want) {
		t.Errorf("envelope(a.yaml): Files are %v, want %v", got, want)
	}
	if got, want := names(envelope.Others), []string{"b.yaml"}; !slices.Equal(got, want) {
		t.Errorf("envelope(a.yaml): Others are %v, want %v", got, want)
	}
}
