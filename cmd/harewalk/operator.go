package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/harewalk/harewalk/internal/licences"
)

// show prints a value as JSON, as YAML with the same names, or as a table.
func (o *operator) show(out io.Writer, v any, table func(*tabwriter.Writer)) error {
	switch o.output {
	case "json":
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "yaml":
		raw, err := json.Marshal(v)
		if err != nil {
			return err
		}
		var names any // by the names of the JSON
		if err := yaml.Unmarshal(raw, &names); err != nil {
			return err
		}
		raw, err = yaml.Marshal(names)
		if err == nil {
			_, err = out.Write(raw)
		}
		return err
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(t)
	return t.Flush()
}

// tell asks whoever leads and shows the answer.
func tell[T any](o *operator, c *cobra.Command, method, path string, body any, table func(*tabwriter.Writer, T)) error {
	var v T
	if err := o.ask(method, path, body, &v); err != nil {
		return err
	}
	return o.show(c.OutOrStdout(), v, func(t *tabwriter.Writer) { table(t, v) })
}

func licenceCmd() *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use: "licence", Short: "Look at the pools of counted licences and change their counts",
		Long: "Licences are declared in the operators' settings (docs/licences.md). Counts that are set here are kept by\n" +
			"the state service: they survive every controller, and go before what is declared until they are reset.",
	}
	o.flags(c)
	c.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the pools: how many seats each has, who holds them, how many are free", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return tell(&o, c, "GET", "/v2/licences", nil, func(t *tabwriter.Writer, vs []licences.View) {
					fmt.Fprintln(t, "POOL\tCOUNT\tHELD\tLINGERING\tOTHERS\tRESERVE\tFREE\tSERVER")
					for _, v := range vs {
						fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", v.Pool, v.Count, v.Held+v.Booked, v.AwaitingRelease, v.OutsideUnits, v.Reserve, v.Free, line(v))
					}
				})
			},
		},
		&cobra.Command{
			Use: "show POOL", Short: "Show one pool, with its teams", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return tell(&o, c, "GET", "/v2/licences/"+args[0], nil, showPool)
			},
		},
		setCountCmd(&o))
	return c
}

// line says in a word how far a pool's server can be believed.
func line(v licences.View) string {
	if v.Server == "" {
		return "none"
	}
	if v.AgeS > 0 {
		return fmt.Sprintf("%s, heard %.1f s ago", v.ServerState, v.AgeS)
	}
	return v.ServerState
}

func showPool(t *tabwriter.Writer, v licences.View) {
	fmt.Fprintf(t, "pool\t%s\n", v.Pool)
	set := ""
	if v.Version > 0 {
		set = fmt.Sprintf(" (set by %s, version %d; declared: %d)", orSomebody(v.SetBy), v.Version, v.Declared)
	}
	fmt.Fprintf(t, "count\t%d%s\n", v.Count, set)
	fmt.Fprintf(t, "held\t%d, and %d booked for gangs that are starting\n", v.Held, v.Booked)
	fmt.Fprintf(t, "lingering\t%d of tasks that are gone\n", v.AwaitingRelease)
	fmt.Fprintf(t, "others\t%d, %d kept for them\n", v.OutsideUnits, v.Reserve)
	fmt.Fprintf(t, "free\t%d\n", v.Free)
	fmt.Fprintf(t, "server\t%s %s\n", v.Server, line(v))
	fmt.Fprintf(t, "when lowered\t%s\n", v.Lowering)
	for _, m := range v.Teams {
		fmt.Fprintf(t, "team %s\t%d, guaranteed %d, at most %s\n", m.Team, m.Units, m.Guarantee, orAny(m.Limit))
	}
}

func orAny(n int) string {
	if n == 0 {
		return "any number"
	}
	return fmt.Sprint(n)
}

func orSomebody(s string) string {
	if s == "" {
		return "somebody"
	}
	return s
}

func setCountCmd(o *operator) *cobra.Command {
	var lower string
	var reset bool
	var version int64
	c := &cobra.Command{
		Use: "set-count POOL [N]", Short: "Set how many seats a pool has, while the service runs", Args: cobra.RangeArgs(1, 2),
		Long: "Set how many seats a pool has. If that is below what is in use, nothing new starts until it fits again;\n" +
			"with --on-lower stop the least costly holders are stopped, with time to save. --version makes the command\n" +
			"depend on the version that `licence show` gave: if somebody changed the count since, it is refused (exit 3).",
		Example: "  harewalk licence set-count transcribe 30\n  harewalk licence set-count transcribe 12 --on-lower stop --version 812\n" +
			"  harewalk licence set-count transcribe --reset",
		RunE: func(c *cobra.Command, args []string) error {
			body := map[string]any{"by": whoami()}
			switch {
			case reset && len(args) == 1:
				body["reset"] = true
			case reset || len(args) == 1:
				return coded{exitUsage, fmt.Errorf("give either a count or --reset")}
			default:
				var n int
				if _, err := fmt.Sscanf(args[1], "%d", &n); err != nil || n < 0 || fmt.Sprint(n) != args[1] {
					return coded{exitUsage, fmt.Errorf("count %q is not a whole number", args[1])}
				}
				body["count"] = n
			}
			if lower != "" {
				body["on_lower"] = lower
			}
			if version >= 0 {
				body["version"] = version
			}
			return tell(o, c, "POST", "/v2/licences/"+args[0], body, showPool)
		},
	}
	c.Flags().StringVar(&lower, "on-lower", "", "wait or stop, what happens to holders beyond the new count (default: as declared)")
	c.Flags().BoolVar(&reset, "reset", false, "go back to the count that is declared in the operators' settings")
	c.Flags().Int64Var(&version, "version", -1, "refuse the command unless the count's version is still this one")
	return c
}

func whoami() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
