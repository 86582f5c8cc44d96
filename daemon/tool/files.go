package tool

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/urfave/cli/v3"
	"poplargw.example/dispatch/decl"
)

// tomlFiles returns the contents of the files of a directory whose names end in .toml, by name. A
// directory without such a file is an error.
func tomlFiles(dir fs.FS) (map[string][]byte, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, errors.New("no file with the extension .toml")
	}
	files := make(map[string][]byte, len(names))
	for _, n := range names {
		if files[n], err = fs.ReadFile(dir, n); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readDeclarations reads and parses the declaration files of the directory that is the only argument of a command.
// All its errors are usage errors.
func readDeclarations(c *cli.Command) (*decl.Declared, error) {
	dir, err := oneArgument(c, "DIR")
	if err != nil {
		return nil, err
	}
	files, err := tomlFiles(os.DirFS(dir))
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s: %w", dir, err))
	}
	d, err := decl.Parse(files)
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s: %w", dir, err))
	}
	return d, nil
}
