package main

import (
	"fmt"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func adminCmd() *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use: "admin", Short: "Look at a cluster and drain its controllers and machines",
		Long: "Commands change one durable document, which every controller follows. With --revision (from `admin status`) a\n" +
			"command is refused (exit 3) if somebody changed it since; the answer says who, and what.",
	}
	o.flags(c)
	c.AddCommand(
		adminStatus(&o),
		adminAct(&o, "drain", "Drain a controller, or a machine, which is then given back",
			"A drained controller hands its lead over, takes no users and stays until it is undrained; the last one that could\n"+
				"serve can't be drained. On a drained machine nothing new starts; when it is empty it is given back to the cloud.",
			"  harewalk admin drain node burrow-2\n  harewalk admin drain machine i-000231 --stop"),
		adminAct(&o, "undrain", "Let a controller or a machine take part again", "", "  harewalk admin undrain node burrow-2"))
	return c
}

func adminStatus(o *operator) *cobra.Command {
	var since string
	c := &cobra.Command{
		Use: "status", Short: "Show controllers, machines that are being drained, and the revision", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return tell(o, c, "GET", "/v2/admin?since="+url.QueryEscape(since), nil, showStatus)
		},
	}
	c.Flags().StringVar(&since, "since", "", "show machines that are being drained after this one, by name")
	return c
}

func adminAct(o *operator, op, short, long, example string) *cobra.Command {
	var stop bool
	var revision int64
	c := &cobra.Command{
		Use: op + " node|machine NAME", Short: short, Long: long, Example: example, Args: cobra.ExactArgs(2),
		ValidArgs: []string{"node", "machine"},
		RunE: func(c *cobra.Command, args []string) error {
			if args[0] != "node" && args[0] != "machine" {
				return coded{exitUsage, fmt.Errorf("%q is neither node nor machine", args[0])}
			}
			body := map[string]any{"op": op, "kind": args[0], "name": args[1], "by": whoami(), "stop": stop}
			if revision >= 0 {
				body["revision"] = revision
			}
			return tell(o, c, "POST", "/v2/admin", body, showStatus)
		},
	}
	c.Flags().Int64Var(&revision, "revision", -1, "refuse the command unless this is still the revision")
	if op == "drain" {
		c.Flags().BoolVar(&stop, "stop", false, "stop a machine's tasks, with time to save, instead of waiting for their end")
	}
	return c
}

func showStatus(t *tabwriter.Writer, s controller.Status) {
	last := ""
	if s.Last != "" {
		last = " (" + s.Last + ")"
	}
	fmt.Fprintf(t, "revision\t%d%s\nterm\t%d\njobs\t%d\n", s.Revision, last, s.Term, s.Jobs)
	showArchive(t, s.Archive)
	for _, n := range s.Nodes {
		what := "alive"
		switch {
		case n.Drained && n.By != "":
			what = "drained by " + n.By
		case n.Drained:
			what = "drained"
		case n.Leads:
			what = "leads"
		case !n.Alive:
			what = "not heard, or without the state service"
		}
		fmt.Fprintf(t, "controller %s\t%s\n", n.Node, what)
	}
	for _, k := range []string{"known", "acting", "noticed", "lost"} {
		if s.Machines[k] > 0 {
			fmt.Fprintf(t, "machines %s\t%d\n", k, s.Machines[k])
		}
	}
	if s.Full {
		fmt.Fprintf(t, "machines at most\t%d, nothing more is rented; bound by %s\n", s.MaxMachines, s.MachinesBound)
	}
	if s.DrainingTotal > len(s.Draining) {
		fmt.Fprintf(t, "draining\t%d machines, %d of them shown: --since NAME shows those after one\n",
			s.DrainingTotal, len(s.Draining))
	}
	for _, m := range s.Draining {
		fmt.Fprintf(t, "draining %s\t%s, %d tasks left, for %s\n", m.Machine, m.State, m.Tasks, orSomebody(m.By))
	}
}

func showArchive(t *tabwriter.Writer, a controller.ArchiveStatus) {
	if a.Problem != "" {
		fmt.Fprintf(t, "archive\tnothing is moved: %s\n", a.Problem)
		return
	}
	fmt.Fprintf(t, "archive\t%s, %d moved in this term, %d ended jobs in memory, each for %g s at least\n", a.State, a.Moved, a.Waiting, a.RetainS)
}
