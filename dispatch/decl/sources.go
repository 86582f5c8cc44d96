package decl

import (
	"errors"
	"fmt"
	"strings"
)

// elementSources records the file and the index of each element of the lists services, teams,
// domains and servers.
type elementSources map[string][]elementSource

// elementSource is the place of one declared element.
type elementSource struct {
	file  string
	index int // index of the element within the file
}

// add records the elements of the file, which has the given name.
func (s elementSources) add(name string, f *file) {
	for list, n := range map[string]int{
		"services": len(f.Services), "teams": len(f.Teams), "domains": len(f.Domains), "servers": len(f.Servers),
	} {
		for i := range n {
			s[list] = append(s[list], elementSource{name, i})
		}
	}
}

// locate sets the file of a *FieldError and changes its path to count within that file. It returns
// other errors unchanged.
func (s elementSources) locate(err error) error {
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) {
		return err
	}
	list, rest, _ := strings.Cut(fieldErr.Path, "[")
	var i int
	if _, scanErr := fmt.Sscanf(rest, "%d]", &i); scanErr != nil || i >= len(s[list]) {
		return err
	}
	_, rest, _ = strings.Cut(rest, "]")
	source := s[list][i]
	fieldErr.File, fieldErr.Path = source.file, fmt.Sprintf("%s[%d]%s", list, source.index, rest)
	return fieldErr
}
