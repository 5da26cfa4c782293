package main

import (
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// view is a command that requests one document from the leader and prints it.
type view[T any] struct {
	use   string
	short string
	path  string
	write func(*tabwriter.Writer, T)
}

// command returns the view's command, which takes no arguments.
func (v view[T]) command(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return callAndShow(client, cmd, request{method: http.MethodGet, path: v.path}, v.write)
		},
	}
}

// namedView is a command that requests a document about what its one argument names, and prints it.
type namedView[T any] struct {
	use   string
	short string
	path  func(name string) string
	write func(*tabwriter.Writer, T)
}

// command returns the view's command.
func (v namedView[T]) command(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return callAndShow(client, cmd, request{method: http.MethodGet, path: v.path(args[0])}, v.write)
		},
	}
}
