package result

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Counts are numbers of answers by code.
type Counts map[Code]int

// String returns the counts in ascending order of the codes, as in "2003:12 3002:1".
func (c Counts) String() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%d:%d", code, c[code]))
	}
	return strings.Join(parts, " ")
}

// ParseCounts reads what String has written.
func ParseCounts(text string) (Counts, error) {
	counts := Counts{}
	for _, part := range strings.Fields(text) {
		code, n, ok := strings.Cut(part, ":")
		number, err := strconv.ParseUint(code, 10, 32)
		count, errCount := strconv.Atoi(n)
		if !ok || err != nil || errCount != nil {
			return nil, fmt.Errorf("counts by code %q cannot be read", text)
		}
		counts[Code(number)] += count
	}
	return counts, nil
}
