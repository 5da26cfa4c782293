// Command harewalk is the cluster scheduler's daemon and its command-line client.
//
// It owns the commands, their flags, their output and their exit codes. It holds no scheduling logic: `serve` runs a
// controller of package controller, the client's commands send requests to one over HTTP, and `dev` and `lab` run
// simulated clusters of packages simulator and lab.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/config"
)

// version is set by the release build.
var version = "0.1.0"

// settingsHook may change a controller's settings after they were loaded and before the controller starts.
type settingsHook func(*config.Settings)

func main() {
	os.Exit(execute(func(*config.Settings) {}))
}

// execute runs the command that the process's arguments name and returns its exit code.
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
		Short: "A cluster scheduler: rents machines, takes jobs and decides what runs where",
		Long: "harewalk runs as three, five or more controllers that share a small state service. Users submit " +
			"jobs\n" +
			"over HTTP or with this command; workers on rented machines report to the controllers.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 job refused.",
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
