package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.yaml.in/yaml/v3"

	"github.com/harewalk/harewalk/internal/jobs"
	"github.com/harewalk/harewalk/internal/rollout"
)

// Values of the --output flag.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

var outputFormats = []string{outputTable, outputJSON, outputYAML}

func addOutputFlag(flags *pflag.FlagSet, format *string) {
	flags.StringVarP(format, "output", "o", outputTable, "table, json or yaml")
}

func checkOutputFormat(format string) error {
	if slices.Contains(outputFormats, format) {
		return nil
	}
	problem := "is none of " + strings.Join(outputFormats, ", ")
	return usageError(&valueError{source: "--output", value: format, problem: problem})
}

// printAs prints a value as JSON, as YAML with the same field names, or as a table.
func printAs(format string, out io.Writer, value any, writeTable func(*tabwriter.Writer)) error {
	switch format {
	case outputJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		return printYAML(out, value)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeTable(table)
	return table.Flush()
}

// printYAML prints a value as YAML. It converts the value to JSON first, so that both formats have the same field
// names.
func printYAML(out io.Writer, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var document any
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return err
	}
	raw, err = yaml.Marshal(document)
	if err != nil {
		return err
	}
	_, err = out.Write(raw)
	return err
}

// outputFile is a file that a command writes because a flag is set.
type outputFile struct {
	flag  string // name of the flag, for errors
	name  string // short name of the file, for errors
	path  string
	write func(io.Writer) error
}

// create writes the file and replaces an existing one. Its errors name the flag.
func (f outputFile) create() error {
	file, err := os.Create(f.path)
	if err != nil {
		return fmt.Errorf("%s: %w", f.flag, err)
	}
	writeErr := f.write(file)
	closeErr := file.Close()
	if err := cmp.Or(writeErr, closeErr); err != nil {
		return fmt.Errorf("%s %s: %w", f.flag, f.name, err)
	}
	return nil
}

// show prints a value in the format of the client's --output flag.
func (c *apiClient) show(out io.Writer, value any, writeTable func(*tabwriter.Writer)) error {
	return printAs(c.output, out, value, writeTable)
}

// request is a request to the leader.
type request struct {
	method string
	path   string
	body   any // encoded as JSON; nil: the request has no body
}

// callAndShow sends a request to the leader and prints the decoded response.
func callAndShow[T any](c *apiClient, cmd *cobra.Command, req request, writeTable func(*tabwriter.Writer, T)) error {
	var value T
	if err := c.callLeader(req, &value); err != nil {
		return err
	}
	return c.show(cmd.OutOrStdout(), value, func(table *tabwriter.Writer) { writeTable(table, value) })
}

// formatSeconds returns seconds as a duration, rounded to whole seconds, such as "1m30s".
func formatSeconds(seconds float64) string {
	return jobs.Seconds(seconds).Round(time.Second).String()
}

// orDash returns the text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// orUnnamedOperator returns an operator's name, or rollout.UnnamedOperator if the name is empty.
func orUnnamedOperator(name string) string { return cmp.Or(name, rollout.UnnamedOperator) }
