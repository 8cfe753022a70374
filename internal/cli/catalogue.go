package cli

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

func newCatalogueCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "catalogue", Short: "Show and edit the catalogue"}
	cmd.AddCommand(newGetCommand(o), newApplyCommand(o), newDiffCommand(o), newHistoryCommand(o))
	return cmd
}

func newGetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get [SERVICE]",
		Short: "Show one entry or all entries",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			request := &basilwayv1.GetEntriesRequest{Service: firstArg(args)}
			response, err := o.catalogue().GetEntries(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			return writeEntries(cmd.OutOrStdout(), response.Msg.Entries)
		},
	}
}

func newApplyCommand(o *options) *cobra.Command {
	var remove bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Create, replace or delete entries",
		Long: `Create, replace or delete entries. FILE ("-" for standard input) holds one entry or
a document {"entries": [...]} in JSON, as "catalogue get --output json" prints it. The
version of each entry is the one that the edit is based on: the edit is refused if the
entry has changed since. Version 0 creates an entry.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			entries, err := readEntries(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			for _, entry := range entries {
				request := &basilwayv1.ApplyEntryRequest{Entry: entry, ExpectedVersion: entry.Version, Delete: remove}
				response, err := o.catalogue().ApplyEntry(ctx, connect.NewRequest(request))
				if err != nil {
					return fmt.Errorf("entry %q: %w", entry.Service, err)
				}
				if err := writeApplied(cmd.OutOrStdout(), o, response.Msg, remove); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&remove, "delete", false, "delete the entries instead of creating or replacing them")
	return cmd
}

func writeApplied(w io.Writer, o *options, response *basilwayv1.ApplyEntryResponse, removed bool) error {
	if o.json() {
		return writeJSON(w, response)
	}
	action := "applied"
	if removed {
		action = "deleted"
	}
	_, err := fmt.Fprintf(w, "%s %s at version %d\n", action, response.Entry.Service, response.CatalogueVersion)
	return err
}

func newDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a file with the current entries",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			entries, err := readEntries(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			response, err := o.catalogue().GetEntries(ctx, connect.NewRequest(&basilwayv1.GetEntriesRequest{}))
			if err != nil {
				return err
			}
			return writeDiff(cmd.OutOrStdout(), o, response.Msg.Entries, entries)
		},
	}
}

func newHistoryCommand(o *options) *cobra.Command {
	var limit uint32
	cmd := &cobra.Command{
		Use:   "history [SERVICE]",
		Short: "Show the most recent edits",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			request := &basilwayv1.GetHistoryRequest{Service: firstArg(args), Limit: limit}
			response, err := o.catalogue().GetHistory(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			return writeHistory(cmd.OutOrStdout(), response.Msg.Changes)
		},
	}
	cmd.Flags().Uint32Var(&limit, "limit", 20, "maximum number of edits")
	return cmd
}

func readEntries(stdin io.Reader, name string) ([]*basilwayv1.CatalogueEntry, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, err
	}
	var document basilwayv1.GetEntriesResponse
	documentErr := protojson.Unmarshal(data, &document)
	if documentErr == nil && len(document.Entries) > 0 {
		return document.Entries, nil
	}
	var entry basilwayv1.CatalogueEntry
	if err := protojson.Unmarshal(data, &entry); err != nil {
		return nil, &usageError{fmt.Sprintf("%s holds neither an entry (%v) nor a list of entries (%v)", name, err, documentErr)}
	}
	return []*basilwayv1.CatalogueEntry{&entry}, nil
}

func writeEntries(w io.Writer, entries []*basilwayv1.CatalogueEntry) error {
	rows := [][]string{{"SERVICE", "OWNER", "CLASS", "VERSION", "LIMITS"}}
	for _, e := range entries {
		rows = append(rows, []string{e.Service, e.Owner, e.Class, strconv.FormatUint(e.Version, 10), limitsText(e)})
	}
	return writeTable(w, rows)
}

func writeHistory(w io.Writer, changes []*basilwayv1.CatalogueChange) error {
	rows := [][]string{{"VERSION", "TIME", "SERVICE", "OWNER", "CLASS", "LIMITS"}}
	for _, c := range changes {
		when := time.UnixMilli(c.TimeMs).UTC().Format(time.RFC3339)
		row := []string{strconv.FormatUint(c.Version, 10), when, c.Entry.Service, c.Entry.Owner, c.Entry.Class, limitsText(c.Entry)}
		if c.Deleted {
			row = []string{row[0], row[1], row[2], "", "", "deleted"}
		}
		rows = append(rows, row)
	}
	return writeTable(w, rows)
}

func limitsText(e *basilwayv1.CatalogueEntry) string {
	if e.Limits == nil {
		return "defaults"
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(e.Limits)
	if err != nil || string(data) == "{}" {
		return "defaults"
	}
	return string(data)
}

func firstArg(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}
