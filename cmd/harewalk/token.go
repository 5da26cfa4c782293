package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/access"
)

func tokenCmd() *cobra.Command {
	var teams []string
	var operator bool
	c := &cobra.Command{Use: "token", Short: "Make tokens for users and operators"}
	n := &cobra.Command{
		Use: "new NAME", Short: "Draw a token, and print it with its block for the users' file", Args: cobra.ExactArgs(1),
		Long: "Draw a token. It is printed on the first line of standard output and nowhere else: give it to its user, who keeps it\n" +
			"in a file for --token-file. The block that follows belongs into the users' file (users_file in the operators'\n" +
			"settings), which holds the token's SHA-256 sum only. Controllers take a changed file over within seconds.",
		Example: "  harewalk token new ada --team vision\n  harewalk token new night-shift --operator",
		RunE: func(c *cobra.Command, args []string) error {
			token, sum := access.NewToken()
			var b strings.Builder
			fmt.Fprintf(&b, "%s\n\nuser %q {\n  tokens_sha256 = [%q]\n", token, args[0], sum)
			if len(teams) > 0 {
				fmt.Fprintf(&b, "  teams         = [\"%s\"]\n", strings.Join(teams, `", "`))
			}
			if operator {
				fmt.Fprintf(&b, "  operator      = true\n")
			}
			fmt.Fprintf(c.OutOrStdout(), "%s}\n", b.String())
			return nil
		},
	}
	n.Flags().StringSliceVar(&teams, "team", nil, "teams for which the user may submit and cancel jobs")
	n.Flags().BoolVar(&operator, "operator", false, "may give operators' commands, and act for every team")
	c.AddCommand(n)
	return c
}
