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
	Revision *int64     `json:"revision,omitempty"` // required revision of the drain document; nil: any
	Stop     bool       `json:"stop"`
}

// optionalNumber returns a flag's value, or nil if it is negative: a negative default marks a flag that was not given.
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
		Short: "Show a cluster's status and drain its controllers and machines",
		Long: "Drain commands change one durable document, which every controller applies. With --revision (from " +
			"`admin status`) a\n" +
			"command is refused (exit 3) if the document has changed since. The error names the last command and its user.",
	}
	client.addFlags(cmd)
	drainOp := drainCmd(&client, drain.OpDrain, "Drain a controller, or drain a machine and return it to the cloud")
	drainOp.Long = "A drained controller hands leadership over and refuses users' requests until it is undrained. The " +
		"last controller in\n" +
		"service can't be drained. No new task starts on a drained machine. Once the machine is empty, it is returned " +
		"to the cloud."
	drainOp.Example = "  harewalk admin drain node burrow-2\n" +
		"  harewalk admin drain machine i-000231 --stop"
	undrainOp := drainCmd(&client, drain.OpUndrain, "Put a drained controller or machine back into service")
	undrainOp.Example = "  harewalk admin undrain node burrow-2"
	cmd.AddCommand(adminStatusCmd(&client), drainOp, undrainOp)
	return cmd
}

func adminStatusCmd(client *apiClient) *cobra.Command {
	var since string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the controllers, the draining machines and the revision of the drain document",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			req := request{method: http.MethodGet, path: adminPath + "?since=" + url.QueryEscape(since)}
			return callAndShow(client, cmd, req, writeStatus)
		},
	}
	cmd.Flags().StringVar(&since, "since", "", "show only draining machines whose names sort after this one")
	return cmd
}

// drainCmd returns the command for a drain operation.
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
	cmd.Flags().Int64Var(&revision, "revision", -1, "refuse the command if the document no longer has this revision")
	if op == drain.OpDrain {
		cmd.Flags().BoolVar(&stop, "stop", false,
			"stop the machine's tasks, with time to save a checkpoint, instead of waiting until they end")
	}
	return cmd
}

func writeStatus(table *tabwriter.Writer, status controller.Status) {
	lastCommand := ""
	if status.Last != "" {
		lastCommand = " (" + status.Last + ")"
	}
	fmt.Fprintf(table, "revision\t%d%s\nterm\t%d\njobs\t%d\n", status.Revision, lastCommand, status.Term, status.Jobs)
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
			condition = "no heartbeat, or no connection to the state service"
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
		fmt.Fprintf(table, "machine limit\t%d reached, no more machines are rented; set by %s\n",
			status.MaxMachines, status.MachinesBound)
	}
	if status.DrainingTotal > len(status.Draining) {
		fmt.Fprintf(table, "draining\t%d machines, %d of them shown; use --since NAME for the machines after NAME\n",
			status.DrainingTotal, len(status.Draining))
	}
	for _, draining := range status.Draining {
		fmt.Fprintf(table, "draining %s\t%s, %d tasks left, drained by %s\n",
			draining.Machine, draining.State, draining.Tasks, orUnnamedOperator(draining.By))
	}
}

func writeArchive(table *tabwriter.Writer, archive controller.ArchiveStatus) {
	if archive.Problem != "" {
		fmt.Fprintf(table, "archive\tnothing is archived: %s\n", archive.Problem)
		return
	}
	fmt.Fprintf(table, "archive\t%s, %d jobs archived in this term, %d ended ones in memory, each for at least %g s\n",
		archive.State, archive.Moved, archive.Waiting, archive.RetainS)
}
