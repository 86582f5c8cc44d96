// Command poplargw is the command-line client of poplargw. Operators use it to inspect and change a
// deployment and to submit jobs.
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
		Description: "Exit codes: 0 success; 1 failure with a known outcome; 2 invalid arguments, flags or files; 3 conflict with another change;\n" +
			"4 the outcome is unknown, or a change is stored but not confirmed; 5 no response, nothing was changed.\n" +
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

// root shows the help if there are no arguments, and otherwise reports the unknown command.
func root(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.ShowRootCommandHelp(c)
	}
	return tool.RequireSubcommand(ctx, c)
}

// exitCode returns the exit code carried by an error, or 1 if it carries none or 0.
func exitCode(err error) int {
	if coded, ok := err.(cli.ExitCoder); ok && coded.ExitCode() != 0 {
		return coded.ExitCode()
	}
	return 1
}
