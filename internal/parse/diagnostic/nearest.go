package diagnostic

import "strings"

const (
	maxEdits       = 2  // a name further off than that is no misspelling
	maxNameToMatch = 64 // bytes: longer names are never near to any
)

// Nearest returns the known name that is closest to the one given, or "" if none is close. known are in lower case; the first
// of those equally close is returned.
func Nearest(name string, known []string) string {
	nearest, minEdits := "", maxEdits+1
	for _, k := range known {
		if edits := editDistance(strings.ToLower(name), k); edits < minEdits {
			nearest, minEdits = k, edits
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance of two names of at most maxNameToMatch bytes, and maxNameToMatch for longer
// ones.
func editDistance(a, b string) int {
	if len(a) > maxNameToMatch || len(b) > maxNameToMatch {
		return maxNameToMatch
	}
	row := make([]int, len(b)+1) // distances of a[:i] to each prefix of b
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replacement := diagonal
			if a[i] != b[j] {
				replacement++
			}
			diagonal, row[j+1] = row[j+1], min(replacement, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
