package tool

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
	"poplargw.example/dispatch/decl"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "print the configuration in force as a declaration file",
		Description: "Puts a configuration under version control: apply of a directory with only this file is no change.",
		Flags:       commonFlags(), OnUsageError: OnUsageError, Action: action(showConfig),
	}
}

func showConfig(ctx context.Context, c *cli.Command) error {
	record, err := newEntryPool(c).currentConfig(ctx)
	if err != nil {
		return err
	}
	text, err := decl.Format(record.GetConfig())
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	return showMessage(c, record, func(w io.Writer) { printRow(w, strings.TrimSpace(string(text))) })
}
