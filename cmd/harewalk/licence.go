package main

import (
	"fmt"
	"net/http"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/licences"
)

const licencesPath = "/v2/licences"

func poolPath(pool string) string { return licencesPath + "/" + pool }

// setCountCommand is the body of a request that changes a pool's count.
type setCountCommand struct {
	By      string `json:"by"`
	Count   *int   `json:"count,omitempty"`
	OnLower string `json:"on_lower,omitempty"`
	Reset   bool   `json:"reset,omitempty"`
	Version *int64 `json:"version,omitempty"` // the count's version that the command requires; nil: any
}

func licenceCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "licence",
		Short: "Show the pools of counted licences and change their counts",
		Long: "Licence pools are declared in the operators' settings (docs/licences.md). Counts that are set here " +
			"are stored in\n" +
			"the state service: they survive restarts and override the declared counts until they are reset.",
	}
	client.addFlags(cmd)
	cmd.AddCommand(
		viewCommand[[]licences.View]{
			use:   "list",
			short: "List the pools with their licence units: how many there are, in use and free",
			path:  licencesPath,
			write: writePools,
		}.command(&client),
		namedViewCommand[licences.View]{
			use:   "show POOL",
			short: "Show one pool and the units of each team",
			path:  poolPath,
			write: writePool,
		}.command(&client),
		setCountCmd(&client),
	)
	return cmd
}

func writePools(table *tabwriter.Writer, pools []licences.View) {
	fmt.Fprintln(table, "POOL\tCOUNT\tHELD\tLINGERING\tOTHERS\tRESERVE\tFREE\tSERVER")
	for _, pool := range pools {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t", pool.Pool, pool.Count, pool.CheckedOut+pool.Reserved, pool.AwaitingRelease)
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\n", pool.OutsideUnits, pool.Reserve, pool.Free, serverState(pool))
	}
}

// serverState returns the state of a pool's licence server and the age of its last valid response.
func serverState(pool licences.View) string {
	if pool.Server == "" {
		return "none"
	}
	if pool.AnswerAgeS > 0 {
		return fmt.Sprintf("%s, last response %.1f s ago", pool.ServerState, pool.AnswerAgeS)
	}
	return pool.ServerState
}

func writePool(table *tabwriter.Writer, pool licences.View) {
	fmt.Fprintf(table, "pool\t%s\n", pool.Pool)
	origin := ""
	if pool.Version > 0 {
		origin = fmt.Sprintf(" (set by %s, version %d; declared count: %d)",
			orUnnamedOperator(pool.SetBy), pool.Version, pool.Declared)
	}
	fmt.Fprintf(table, "count\t%d%s\n", pool.Count, origin)
	fmt.Fprintf(table, "held\t%d, and %d booked for gangs that are starting\n", pool.CheckedOut, pool.Reserved)
	fmt.Fprintf(table, "lingering\t%d of ended tasks, not yet released\n", pool.AwaitingRelease)
	fmt.Fprintf(table, "others\t%d in use outside the cluster, reserve %d\n", pool.OutsideUnits, pool.Reserve)
	fmt.Fprintf(table, "free\t%d\n", pool.Free)
	fmt.Fprintf(table, "server\t%s %s\n", pool.Server, serverState(pool))
	fmt.Fprintf(table, "when lowered\t%s\n", pool.Lowering)
	for _, team := range pool.Teams {
		fmt.Fprintf(table, "team %s\t%d, guaranteed %d, at most %s\n",
			team.Team, team.Units, team.Guarantee, formatLimit(team.Limit))
	}
}

// formatLimit returns the text of a limit; 0 means that there is no limit.
func formatLimit(limit int) string {
	if limit == 0 {
		return "any number"
	}
	return strconv.Itoa(limit)
}

func setCountCmd(client *apiClient) *cobra.Command {
	var onLower string
	var reset bool
	var version int64
	cmd := &cobra.Command{
		Use:   "set-count POOL [N]",
		Short: "Set a pool's count of licence units while the service runs",
		Args:  cobra.RangeArgs(1, 2),
		Long: "Set a pool's count of licence units. If more units than that are in use, no new task gets one until " +
			"enough are\n" +
			"released. With --on-lower stop the holders that cost least are stopped, with time to save. With " +
			"--version\n" +
			"(from `licence show`) the command is refused (exit 3) if the count has changed since that " +
			"version.",
		Example: "  harewalk licence set-count transcribe 30\n" +
			"  harewalk licence set-count transcribe 12 --on-lower stop --version 812\n" +
			"  harewalk licence set-count transcribe --reset",
		RunE: func(cmd *cobra.Command, args []string) error {
			count, err := countArgument(args[1:], reset)
			if err != nil {
				return err
			}
			body := setCountCommand{
				By:      currentUser(),
				Count:   count,
				OnLower: onLower,
				Reset:   reset,
				Version: optionalNumber(version),
			}
			req := request{method: http.MethodPost, path: poolPath(args[0]), body: body}
			return callAndShow(client, cmd, req, writePool)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&onLower, "on-lower", "",
		"what happens to holders above the new count: wait or stop (default: as declared)")
	flags.BoolVar(&reset, "reset", false, "return to the count that the operators' settings declare")
	flags.Int64Var(&version, "version", -1, "refuse the command if the count no longer has this version")
	return cmd
}

// countArgument returns the count in the arguments, or nil if --reset is set. Exactly one of both must be given.
func countArgument(args []string, reset bool) (*int, error) {
	if reset != (len(args) == 0) {
		return nil, usageError(errCountOrReset)
	}
	if reset {
		return nil, nil
	}
	count, err := strconv.Atoi(args[0])
	if err != nil || count < 0 || strconv.Itoa(count) != args[0] {
		return nil, usageError(&valueError{source: "count", value: args[0], problem: "is not a whole number"})
	}
	return &count, nil
}
