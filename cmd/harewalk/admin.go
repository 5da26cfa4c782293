package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/drain"
)

const adminPath = "/v2/admin"

// drainCommand is the body of a request that drains or undrains a controller or a machine.
type drainCommand struct {
	By       string     `json:"by"`
	Kind     drain.Kind `json:"kind"`
	Name     string     `json:"name"`
	Op       drain.Op   `json:"op"`
	Revision *int64     `json:"revision,omitempty"` // the one that the command depends on; nil: any
	Stop     bool       `json:"stop"`
}

// optionalNumber returns a flag's value, or nil for the negative one that stands for an absent flag.
func optionalNumber(flag int64) *int64 {
	if flag < 0 {
		return nil
	}
	return &flag
}

func adminCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Look at a cluster and drain its controllers and machines",
		Long: "Commands change one durable document, which every controller follows. With --revision (from " +
			"`admin status`) a\n" +
			"command is refused (exit 3) if somebody changed it since; the answer says who, and what.",
	}
	client.addFlags(cmd)
	drainOp := drainCmd(&client, drain.OpDrain, "Drain a controller, or a machine, which is then given back")
	drainOp.Long = "A drained controller hands its lead over, takes no users and stays until it is undrained; the " +
		"last one that could\n" +
		"serve can't be drained. On a drained machine nothing new starts; when it is empty it is given back " +
		"to the cloud."
	drainOp.Example = "  harewalk admin drain node burrow-2\n" +
		"  harewalk admin drain machine i-000231 --stop"
	undrainOp := drainCmd(&client, drain.OpUndrain, "Let a controller or a machine take part again")
	undrainOp.Example = "  harewalk admin undrain node burrow-2"
	cmd.AddCommand(adminStatusCmd(&client), drainOp, undrainOp)
	return cmd
}

func adminStatusCmd(client *apiClient) *cobra.Command {
	var since string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show controllers, machines that are being drained, and the revision",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			req := request{method: http.MethodGet, path: adminPath + "?since=" + url.QueryEscape(since)}
			return callAndShow(client, cmd, req, writeStatus)
		},
	}
	cmd.Flags().StringVar(&since, "since", "", "show machines that are being drained after this one, by name")
	return cmd
}

// drainCmd returns the command of one operation.
func drainCmd(client *apiClient, op drain.Op, short string) *cobra.Command {
	var stop bool
	var revision int64
	cmd := &cobra.Command{
		Use:       string(op) + " node|machine NAME",
		Short:     short,
		Args:      cobra.ExactArgs(2),
		ValidArgs: []string{string(drain.KindNode), string(drain.KindMachine)},
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, name := drain.Kind(args[0]), args[1]
			if kind != drain.KindNode && kind != drain.KindMachine {
				return usageError(&valueError{value: args[0], problem: "is neither node nor machine"})
			}
			body := drainCommand{
				By:       currentUser(),
				Kind:     kind,
				Name:     name,
				Op:       op,
				Revision: optionalNumber(revision),
				Stop:     stop,
			}
			return callAndShow(client, cmd, request{method: http.MethodPost, path: adminPath, body: body}, writeStatus)
		},
	}
	cmd.Flags().Int64Var(&revision, "revision", -1, "refuse the command unless this is still the revision")
	if op == drain.OpDrain {
		cmd.Flags().BoolVar(&stop, "stop", false,
			"stop a machine's tasks, with time to save, instead of waiting for their end")
	}
	return cmd
}

func writeStatus(table *tabwriter.Writer, status controller.Status) {
	last := ""
	if status.Last != "" {
		last = " (" + status.Last + ")"
	}
	fmt.Fprintf(table, "revision\t%d%s\nterm\t%d\njobs\t%d\n", status.Revision, last, status.Term, status.Jobs)
	writeArchive(table, status.Archive)
	for _, node := range status.Nodes {
		condition := "alive"
		switch {
		case node.Drained && node.By != "":
			condition = "drained by " + node.By
		case node.Drained:
			condition = "drained"
		case node.Leads:
			condition = "leads"
		case !node.Alive:
			condition = "not heard, or without the state service"
		}
		fmt.Fprintf(table, "controller %s\t%s\n", node.Node, condition)
	}
	writeMachines(table, status)
}

func writeMachines(table *tabwriter.Writer, status controller.Status) {
	for _, condition := range []string{"known", "acting", "noticed", "deaf", "lost"} {
		if count := status.Machines[condition]; count > 0 {
			fmt.Fprintf(table, "machines %s\t%d\n", condition, count)
		}
	}
	if status.Full {
		fmt.Fprintf(table, "machines at most\t%d, nothing more is rented; bound by %s\n",
			status.MaxMachines, status.MachinesBound)
	}
	if status.DrainingTotal > len(status.Draining) {
		fmt.Fprintf(table, "draining\t%d machines, %d of them shown: --since NAME shows those after one\n",
			status.DrainingTotal, len(status.Draining))
	}
	for _, draining := range status.Draining {
		fmt.Fprintf(table, "draining %s\t%s, %d tasks left, for %s\n",
			draining.Machine, draining.State, draining.Tasks, orSomebody(draining.By))
	}
}

func writeArchive(table *tabwriter.Writer, archive controller.ArchiveStatus) {
	if archive.Problem != "" {
		fmt.Fprintf(table, "archive\tnothing is moved: %s\n", archive.Problem)
		return
	}
	fmt.Fprintf(table, "archive\t%s, %d moved in this term, %d ended jobs in memory, each for %g s at least\n",
		archive.State, archive.Moved, archive.Waiting, archive.RetainS)
}
