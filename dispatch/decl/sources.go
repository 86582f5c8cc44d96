package decl

import (
	"errors"
	"fmt"
	"strings"
)

// places names the file of each element of the lists services, teams, domains and servers.
type places map[string][]place

type place struct {
	file  string
	index int // within the file
}

func (p places) add(name string, f *file) {
	for list, n := range map[string]int{
		"services": len(f.Services), "teams": len(f.Teams), "domains": len(f.Domains), "servers": len(f.Servers),
	} {
		for i := range n {
			p[list] = append(p[list], place{name, i})
		}
	}
}

// locate gives a *FieldError the file of its value. The path then counts within that file.
func (p places) locate(err error) error {
	var fe *FieldError
	if !errors.As(err, &fe) {
		return err
	}
	list, rest, _ := strings.Cut(fe.Path, "[")
	var i int
	if _, scanErr := fmt.Sscanf(rest, "%d]", &i); scanErr != nil || i >= len(p[list]) {
		return err
	}
	_, rest, _ = strings.Cut(rest, "]")
	at := p[list][i]
	fe.File, fe.Path = at.file, fmt.Sprintf("%s[%d]%s", list, at.index, rest)
	return fe
}
