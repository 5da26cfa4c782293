// Command harewalk is the cluster scheduler's daemon and its command-line client.
//
// The package implements the commands, their flags, their output and their exit codes. It has no scheduling logic:
// `serve` runs a controller of package controller, the client's commands send requests to a controller over HTTP, and
// `dev` and `lab` run simulated clusters of packages simulator and lab.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/config"
)

// version is the program's version. The release build sets it.
var version = "0.1.0"

// settingsHook changes a controller's settings after they are loaded and before the controller starts.
type settingsHook func(*config.Settings)

func main() {
	os.Exit(execute(func(*config.Settings) {}))
}

// execute runs the command in the process's arguments, prints its error and returns the exit code.
func execute(adjust settingsHook) int {
	err := rootCmd(adjust).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "harewalk:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

func rootCmd(adjust settingsHook) *cobra.Command {
	root := &cobra.Command{
		Use:   "harewalk",
		Short: "A cluster scheduler: rents machines, accepts jobs and places their tasks on machines",
		Long: "A cluster has three, five or more controllers that share a small state service. Users submit " +
			"jobs\n" +
			"over HTTP or with this command. Workers on the rented machines report to the controllers.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 request refused.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCmd(adjust),
		checkConfigCmd(),
		jobCmd(),
		adminCmd(),
		rolloutCmd(),
		zoneCmd(),
		licenceCmd(),
		sessionCmd(),
		tokenCmd(),
		devCmd(),
		labCmd(),
		versionCmd(),
	)
	return root
}

func versionCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "harewalk", version)
		},
	}
}
