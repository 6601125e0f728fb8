package internal

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// pageLink matches a Markdown link; the group is its target.
	pageLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)

	// pageHeading matches a Markdown heading; the group is its text.
	pageHeading = regexp.MustCompile(`(?m)^#+ (.*)$`)

	// removedFromAnchor matches the characters of a heading that are not in its anchor.
	removedFromAnchor = regexp.MustCompile(`[^\p{L}\p{N}_ -]`)
)

// pageTexts returns the texts of the project's Markdown pages by path, relative to the root of the repository.
func pageTexts(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob("../*.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("../docs", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[strings.TrimPrefix(filepath.ToSlash(path), "../")] = string(text)
	}
	return texts
}

// headingAnchor returns the anchor of a heading, as code hosting sites generate it.
func headingAnchor(heading string) string {
	return strings.ReplaceAll(removedFromAnchor.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
}

// hasAnchor reports whether a page has a heading with an anchor.
func hasAnchor(text, wanted string) bool {
	for _, heading := range pageHeading.FindAllStringSubmatch(text, -1) {
		if headingAnchor(heading[1]) == wanted {
			return true
		}
	}
	return false
}

// Each relative link of a page must lead to an existing file, and its fragment to a heading of that file.
func TestPageLinksLeadToExistingFilesAndHeadings(t *testing.T) {
	texts := pageTexts(t)
	for name, text := range texts {
		for _, link := range pageLink.FindAllStringSubmatch(text, -1) {
			target, fragment, _ := strings.Cut(link[1], "#")
			if strings.Contains(target, "://") {
				continue
			}
			linked := name
			if target != "" {
				linked = filepath.ToSlash(filepath.Join(filepath.Dir(name), target))
			}
			if _, err := os.Stat(filepath.Join("..", linked)); err != nil {
				t.Errorf("%s: link %s: %v, want a link to an existing file", name, link[1], err)
			}
			if fragment != "" && !hasAnchor(texts[linked], fragment) {
				t.Errorf("%s: link %s: %s has no heading with the anchor %q, want one", name, link[1], linked, fragment)
			}
		}
	}
}

func TestDocsIndexListsAllPages(t *testing.T) {
	const index = "docs/README.md"
	texts := pageTexts(t)
	listed := map[string]bool{index: true}
	for _, link := range pageLink.FindAllStringSubmatch(texts[index], -1) {
		listed[filepath.ToSlash(filepath.Join("docs", link[1]))] = true
	}
	for name := range texts {
		if !listed[name] {
			t.Errorf("%s has no link to %s, want links to all pages", index, name)
		}
	}
}
