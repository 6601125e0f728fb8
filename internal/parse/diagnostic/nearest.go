package diagnostic

import "strings"

const (
	maxEdits       = 2  // maximum edit distance between a misspelled name and the right one
	maxNameToMatch = 64 // maximum length in bytes of a name that is compared
)

// Nearest returns the entry of the parameter known that is closest to name, or "" if no entry is within maxEdits edits
// of name. If several entries are equally close, it returns the first of them. It ignores the letter case of name. The
// entries of known must be in lower case.
func Nearest(name string, known []string) string {
	nearest, minEdits := "", maxEdits+1
	for _, k := range known {
		if edits := editDistance(strings.ToLower(name), k); edits < minEdits {
			nearest, minEdits = k, edits
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance of two names. If one of them is longer than maxNameToMatch bytes, it
// returns maxNameToMatch, which is more than maxEdits.
func editDistance(a, b string) int {
	if len(a) > maxNameToMatch || len(b) > maxNameToMatch {
		return maxNameToMatch
	}
	row := make([]int, len(b)+1) // row[j] is the distance between a[:i] and b[:j]
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
