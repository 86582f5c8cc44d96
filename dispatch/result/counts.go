package result

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Counts holds the number of answers by code.
type Counts map[Code]int

// String returns the counts in ascending order of the codes, for example "2003:12 3002:1".
func (c Counts) String() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%d:%d", code, c[code]))
	}
	return strings.Join(parts, " ")
}

// ParseCounts parses the format of String. It adds up repeated codes.
func ParseCounts(text string) (Counts, error) {
	counts := Counts{}
	for _, part := range strings.Fields(text) {
		code, n, ok := strings.Cut(part, ":")
		number, err := strconv.ParseUint(code, 10, 32)
		count, errCount := strconv.Atoi(n)
		if !ok || err != nil || errCount != nil {
			return nil, fmt.Errorf("malformed counts %q: want code:count pairs separated by spaces", text)
		}
		counts[Code(number)] += count
	}
	return counts, nil
}
