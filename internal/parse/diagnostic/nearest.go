package diagnostic

import "strings"

const (
	maxEdits       = 2  // a name with more edits is not a misspelling
	maxNameToMatch = 64 // bytes; longer names are close to no name
)

// Nearest returns the entry of known that is closest to name, or "" if none is close; of equally close entries the first.
// Letter case of name is ignored. The entries of known must be in lower case.
func Nearest(name string, known []string) string {
	nearest, minEdits := "", maxEdits+1
	for _, k := range known {
		if edits := editDistance(strings.ToLower(name), k); edits < minEdits {
			nearest, minEdits = k, edits
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance of two names, or maxNameToMatch if one is longer than maxNameToMatch bytes.
func editDistance(a, b string) int {
	if len(a) > maxNameToMatch || len(b) > maxNameToMatch {
		return maxNameToMatch
	}
	row := make([]int, len(b)+1) // row[j] is the distance of a[:i] and b[:j]
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
