// Command poplargw is the operators' tool of poplargw.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/tool"
)

func main() {
	root := &cli.Command{
		Name:           "poplargw",
		Usage:          "operate poplargw and submit jobs",
		HideVersion:    true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       append(tool.Commands(), certCommand()),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the code that a command chose for its error, and 1 for other errors.
func exitCode(err error) int {
	if coded, ok := err.(cli.ExitCoder); ok && coded.ExitCode() != 0 {
		return coded.ExitCode()
	}
	return 1
}
