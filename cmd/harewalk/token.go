package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/access"
)

func tokenCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "token", Short: "Generate tokens for users and operators"}
	cmd.AddCommand(newTokenCmd())
	return cmd
}

func newTokenCmd() *cobra.Command {
	var teams []string
	var operator bool
	cmd := &cobra.Command{
		Use:   "new NAME",
		Short: "Generate a token and print it with its block for the users' file",
		Args:  cobra.ExactArgs(1),
		Long: "Generate a token. It is printed on the first line of standard output and stored nowhere: give it to " +
			"its user, who\n" +
			"stores it in a file for --token-file. Add the block that follows to the users' file (users_file in the " +
			"operators'\n" +
			"settings). The block contains only the token's SHA-256 sum. Controllers apply a changed file within " +
			"seconds.",
		Example: "  harewalk token new ada --team vision\n" +
			"  harewalk token new night-shift --operator",
		RunE: func(cmd *cobra.Command, args []string) error {
			token, sum := access.NewToken()
			fmt.Fprintf(cmd.OutOrStdout(), "%s\n\n%s", token, userBlock(args[0], sum, teams, operator))
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&teams, "team", nil, "teams for which the user may submit and cancel jobs")
	cmd.Flags().BoolVar(&operator, "operator", false, "allow operators' commands, and actions for every team")
	return cmd
}

// userBlock returns a user's block for the users' file.
func userBlock(name, tokenSum string, teams []string, operator bool) string {
	var block strings.Builder
	fmt.Fprintf(&block, "user %q {\n  tokens_sha256 = [%q]\n", name, tokenSum)
	if len(teams) > 0 {
		fmt.Fprintf(&block, "  teams         = [\"%s\"]\n", strings.Join(teams, `", "`))
	}
	if operator {
		block.WriteString("  operator      = true\n")
	}
	block.WriteString("}\n")
	return block.String()
}
