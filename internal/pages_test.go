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
	// pageLink matches a link of a page, with its target.
	pageLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)

	// pageHeading matches a heading of a page.
	pageHeading = regexp.MustCompile(`(?m)^#+ (.*)$`)

	// notInAnchor matches what a heading's anchor leaves out.
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N}_ -]`)
)

// pages returns the text of each page of the project, by its path from the repository's root.
func pages(t *testing.T) map[string]string {
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

// anchor is the anchor of a heading, as code hosts make it.
func anchor(heading string) string {
	return strings.ReplaceAll(notInAnchor.ReplaceAllString(strings.ToLower(heading), ""), " ", "-")
}

func hasAnchor(text, wanted string) bool {
	for _, heading := range pageHeading.FindAllStringSubmatch(text, -1) {
		if anchor(heading[1]) == wanted {
			return true
		}
	}
	return false
}

// Every link from a page to a file of the repository leads to one, and to a heading that it has.
func TestPageLinksLeadSomewhere(t *testing.T) {
	texts := pages(t)
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
				t.Errorf("%s links to %s: %v", name, link[1], err)
			}
			if fragment != "" && !hasAnchor(texts[linked], fragment) {
				t.Errorf("%s links to %s: no such heading", name, link[1])
			}
		}
	}
}

// The index has every page.
func TestPagesAreInTheIndex(t *testing.T) {
	const index = "docs/README.md"
	texts := pages(t)
	listed := map[string]bool{index: true}
	for _, link := range pageLink.FindAllStringSubmatch(texts[index], -1) {
		listed[filepath.ToSlash(filepath.Join("docs", link[1]))] = true
	}
	for name := range texts {
		if !listed[name] {
			t.Errorf("%s is not in %s", name, index)
		}
	}
}
