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
	command := &cli.Command{
		Name:        "poplargw",
		Usage:       "operate poplargw and submit jobs",
		HideVersion: true,
		Description: "Exit codes: 0 done; 1 failed, nothing in doubt; 2 wrong arguments, flags or files; 3 another change won;\n" +
			"4 the outcome is unknown, or a change is stored but not confirmed; 5 no answer, nothing was changed.\n" +
			"\"poplargw completion bash\" and \"poplargw completion zsh\" print completion scripts for the shell.",
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {},
		OnUsageError:                    tool.OnUsageError,
		Action:                          root,
		Commands:                        tool.Commands(),
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// root shows the help, or says which command does not exist.
func root(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.ShowRootCommandHelp(c)
	}
	return tool.Group(ctx, c)
}

// exitCode returns the code that a command chose for its error, and 1 for other errors.
func exitCode(err error) int {
	if coded, ok := err.(cli.ExitCoder); ok && coded.ExitCode() != 0 {
		return coded.ExitCode()
	}
	return 1
}
