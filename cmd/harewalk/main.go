// Command harewalk is the cluster scheduler's daemon and its command-line client.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
)

// version is set by the release build.
var version = "0.1.0"

// Exit codes.
const (
	exitFailed  = 1 // the request or the service failed
	exitUsage   = 2 // wrong arguments or settings
	exitRefused = 3 // the service refused the job for good
)

// coded carries an exit code.
type coded struct {
	code int
	err  error
}

func (c coded) Error() string { return c.err.Error() }
func (c coded) Unwrap() error { return c.err }

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "harewalk:", err)
		code := exitUsage
		var c coded
		if errors.As(err, &c) {
			code = c.code
		}
		os.Exit(code)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "harewalk",
		Short: "A cluster scheduler: rents machines, takes jobs and decides what runs where",
		Long: "harewalk runs as three, five or more controllers that share a small state service. Users submit jobs\n" +
			"over HTTP or with this command; workers on rented machines report to the controllers.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 job refused.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCmd(), checkCmd(), jobCmd(), adminCmd(), rolloutCmd(), zoneCmd(), licenceCmd(), sessionCmd(), tokenCmd(), devCmd(), labCmd(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "harewalk", version) },
	})
	return cmd
}

func settingsFlags(c *cobra.Command, file, hcl *string) {
	c.Flags().StringVar(file, "config", "", "the platform's settings, a JSON file (required)")
	c.Flags().StringVar(hcl, "operator", os.Getenv("HAREWALK_OPERATOR"), "the operators' settings, an HCL file (or $HAREWALK_OPERATOR)")
	_ = c.MarkFlagRequired("config")
}

// settle is the last to see a controller's settings; tests make one of an earlier release by it.
var settle = func(*config.Settings) {}

func serveCmd() *cobra.Command {
	var file, hcl string
	c := &cobra.Command{
		Use: "serve --config FILE", Short: "Run one controller until it is ended", Args: cobra.NoArgs,
		Long: "Run one controller. It keeps nothing on disk and may be ended at any time.\n" +
			"SIGTERM drains it: it takes no new submissions, hands the lead over at once, answers what it was asked and\n" +
			"ends with exit code 0 within ten seconds. A second signal ends it at once, with exit code 1.\n" +
			"LOG_LEVEL sets what goes to standard error: error, info (default) or debug; LOG_FORMAT how: text or json.",
		Example: "  harewalk serve --config /etc/harewalk/settings.json --operator /etc/harewalk/operator.hcl",
		RunE: func(*cobra.Command, []string) error {
			if err := logTo(os.Stderr, os.Getenv("LOG_LEVEL")); err != nil {
				return coded{exitUsage, err}
			}
			settings, err := config.Load(file, hcl)
			if err != nil {
				return coded{exitUsage, err}
			}
			settle(settings)
			return serve(controller.New(settings))
		},
	}
	settingsFlags(c, &file, &hcl)
	return c
}

// serve runs a controller until it fails, or until a signal has drained it.
func serve(c *controller.Controller) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	fail := make(chan error, 1)
	go func() { fail <- c.Run() }()
	var drained <-chan struct{}
	for {
		select {
		case err := <-fail:
			return coded{exitFailed, err}
		case <-drained:
			return nil
		case s := <-signals:
			if drained != nil {
				return coded{exitFailed, fmt.Errorf("ended by a second signal (%s) while it drained", s)}
			}
			slog.Info("signal", "name", s.String())
			drained = c.Drain()
		}
	}
}

func logTo(w io.Writer, level string) error {
	var l slog.Level
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "", "info":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		return fmt.Errorf("LOG_LEVEL %q is none of error, info, debug", level)
	}
	o := &slog.HandlerOptions{Level: l}
	switch format := os.Getenv("LOG_FORMAT"); format {
	case "", "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(w, o)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, o)))
	default:
		return fmt.Errorf("LOG_FORMAT %q is neither text nor json", format)
	}
	return nil
}

func checkCmd() *cobra.Command {
	var file, hcl string
	c := &cobra.Command{
		Use: "check-config --config FILE", Short: "Check the settings and print what is derived from them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := config.Load(file, hcl)
			if err != nil {
				return coded{exitUsage, err}
			}
			fmt.Fprintf(c.OutOrStdout(), "settings of %s are good: %d others, %d teams, %d objectives\n",
				settings.Node, len(settings.Peers), len(settings.Params.Teams), len(settings.Params.Objectives))
			o := settings.Operator
			fmt.Fprintf(c.OutOrStdout(), "hold_ttl_ms = %d\nsilent_s = %g\nidle_s = %g\nheadroom = %g\nmax_machines = %d\nnetwork_factor = %g\n",
				o.ControllerLeaseTTLMS, o.MachineUnheardTimeoutS, o.MachineIdleTimeoutS, o.Headroom, o.MaxMachines, o.NetworkFactor)
			l := settings.Params.Limits
			fmt.Fprintf(c.OutOrStdout(), "connections taken = %d\nunfinished tasks = %d\nbytes of waiting submissions = %d\n",
				l.MaxConns(), l.MaxTasks(), l.MaxQueueBytes())
			return nil
		},
	}
	settingsFlags(c, &file, &hcl)
	return c
}

// jobView is a job as users are told of it.
type jobView struct {
	ID      string `json:"name_id"`
	Stance  string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

func jobCmd() *cobra.Command {
	var o operator
	job := &cobra.Command{Use: "job", Short: "Submit, query, follow and cancel jobs"}
	o.flags(job)
	one := func(c *cobra.Command, method, path string, body []byte) error {
		raw, err := o.call(method, "/v2/runs"+path, body)
		if err != nil {
			return err
		}
		var v jobView
		if err := json.Unmarshal(raw, &v); err != nil {
			return coded{exitFailed, fmt.Errorf("an answer that is none: %w", err)}
		}
		return o.show(c.OutOrStdout(), v, func(t *tabwriter.Writer) {
			counts := ""
			if v.Done != nil && v.Running != nil {
				counts = fmt.Sprintf("\t%d done, %d running", *v.Done, *v.Running)
			}
			fmt.Fprintf(t, "%s\t%s%s\n", v.ID, v.Stance, counts)
		})
	}
	job.AddCommand(
		&cobra.Command{
			Use: "submit FILE", Short: "Submit the job in a JSON file (- for standard input)", Args: cobra.ExactArgs(1),
			Long: "Submit a job. A job that can't be taken now is offered again for up to a minute,\nas the answer's Retry-After asks.",
			RunE: func(c *cobra.Command, args []string) error {
				body, err := readFile(args[0], c.InOrStdin())
				if err != nil {
					return coded{exitUsage, err}
				}
				return one(c, "POST", "", body)
			},
		},
		&cobra.Command{
			Use: "get ID", Short: "Show what has become of a job", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return one(c, "GET", "/"+url.PathEscape(args[0]), nil)
			},
		},
		listCmd(&o), watchCmd(&o), whyCmd(&o), eventsCmd(&o),
		&cobra.Command{
			Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return one(c, "POST", "/"+url.PathEscape(args[0])+"/abort", []byte("{}"))
			},
		},
	)
	return job
}

func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(in, 1<<20))
	}
	return os.ReadFile(name)
}
