package main

import (
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// viewCommand is a command that requests one document from the leader and prints it.
type viewCommand[T any] struct {
	use   string
	short string
	path  string
	write func(*tabwriter.Writer, T)
}

// command returns the cobra command, which takes no arguments.
func (v viewCommand[T]) command(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return callAndShow(client, cmd, request{method: http.MethodGet, path: v.path}, v.write)
		},
	}
}

// namedViewCommand is a command whose one argument is the name of an object, such as a job. It requests a document
// about the object from the leader and prints it.
type namedViewCommand[T any] struct {
	use   string
	short string
	path  func(name string) string
	write func(*tabwriter.Writer, T)
}

// command returns the cobra command.
func (v namedViewCommand[T]) command(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   v.use,
		Short: v.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return callAndShow(client, cmd, request{method: http.MethodGet, path: v.path(args[0])}, v.write)
		},
	}
}
