package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
)

// settingsFiles holds the paths of the two files of a controller's settings.
type settingsFiles struct {
	platform string // JSON
	operator string // HCL; empty: the defaults apply
}

func (f *settingsFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.platform, "config", "", "JSON file with the platform's settings (required)")
	cmd.Flags().StringVar(&f.operator, "operator", os.Getenv("HAREWALK_OPERATOR"),
		"HCL file with the operators' settings (or $HAREWALK_OPERATOR)")
	_ = cmd.MarkFlagRequired("config")
}

func (f *settingsFiles) load() (*config.Settings, error) {
	settings, err := config.Load(f.platform, f.operator)
	if err != nil {
		return nil, usageError(err)
	}
	return settings, nil
}

func serveCmd(adjust settingsHook) *cobra.Command {
	var files settingsFiles
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one controller until it is stopped",
		Args:  cobra.NoArgs,
		Long: "Run one controller. It stores nothing on disk and may be stopped at any time.\n" +
			"SIGTERM drains it: it refuses new submissions, hands leadership over at once, completes pending " +
			"requests and\n" +
			"exits with code 0 within ten seconds. A second signal ends it at once, with exit code 1.\n" +
			"Logs go to standard error. LOG_LEVEL is error, info (default) or debug; LOG_FORMAT is text (default) or " +
			"json.",
		Example: "  harewalk serve --config /etc/harewalk/settings.json --operator /etc/harewalk/operator.hcl",
		RunE: func(*cobra.Command, []string) error {
			if err := configureLogging(os.Stderr, os.Getenv("LOG_LEVEL")); err != nil {
				return usageError(err)
			}
			settings, err := files.load()
			if err != nil {
				return err
			}
			adjust(settings)
			return serve(controller.New(settings))
		},
	}
	files.addFlags(cmd)
	return cmd
}

// serve runs a controller until it fails or its drain is complete. The first signal drains it; a second signal is an
// error. The controller's goroutine runs until the process ends.
func serve(node *controller.Controller) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	failed := make(chan error, 1)
	go func() { failed <- node.Run() }()
	var drained <-chan struct{} // closed once the drain is complete; nil before the first signal
	for {
		select {
		case err := <-failed:
			return failure(err)
		case <-drained:
			return nil
		case received := <-signals:
			if drained != nil {
				return failure(&secondSignalError{received})
			}
			slog.Info("signal", "name", received.String())
			drained = node.Drain()
		}
	}
}

func checkConfigCmd() *cobra.Command {
	var files settingsFiles
	cmd := &cobra.Command{
		Use:   "check-config --config FILE",
		Short: "Check the settings and print the effective values and limits",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := files.load()
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "settings of %s are valid: %d other controllers, %d teams, %d objectives\n",
				settings.Node, len(settings.Peers), len(settings.Params.Teams), len(settings.Params.Objectives))
			operator := settings.Operator
			fmt.Fprintf(out, "hold_ttl_ms = %d\nsilent_s = %g\nidle_s = %g\n",
				operator.ControllerLeaseTTLMS, operator.MachineSilenceTimeoutS, operator.MachineIdleTimeoutS)
			fmt.Fprintf(out, "headroom = %g\nmax_machines = %d\nnetwork_factor = %g\n",
				operator.Headroom, operator.MaxMachines, operator.NetworkFactor)
			limits := settings.Params.Limits
			fmt.Fprintf(out, "max connections = %d\nmax unfinished tasks = %d\nmax bytes of queued submissions = %d\n",
				limits.MaxConns(), limits.MaxTasks(), limits.MaxQueueBytes())
			return nil
		},
	}
	files.addFlags(cmd)
	return cmd
}
