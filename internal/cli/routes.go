package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"

	"github.com/spf13/cobra"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/internal/routestore"
)

// newRoutesCommand returns the command that shows and edits the HTTP routes.
func newRoutesCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "routes",
		Short: "Show and edit the HTTP routes in the catalogue",
		Long: `routes shows and edits which HTTP requests go to which services: routes by host and path
prefix, services, and limits on client requests. It reads and writes the platform's table
(--platform-url); a change takes effect on the routers within a second.`,
	}
	cmd.AddCommand(&cobra.Command{
		Use: "get", Short: "Print the current routes as a document for apply", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withRoutes(func(store *routestore.Store) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				document, err := store.Get(ctx)
				if err != nil {
					return err
				}
				return writeDocument(cmd.OutOrStdout(), document)
			})
		},
	}, &cobra.Command{
		Use: "apply FILE", Short: "Replace the routes by those of a document",
		Long: `Replace all routes, services and limits by those of a document. FILE ("-" for standard
input) has the format that "routes get" prints. If the document has a version, the edit is
refused when the routes have changed since; without one the current routes are replaced.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			desired, err := readDocument(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return o.withRoutes(func(store *routestore.Store) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				version, err := store.Apply(ctx, desired)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "applied %d routes as version %d\n", len(desired.Routes), version)
				return err
			})
		},
	}, &cobra.Command{
		Use: "diff FILE", Short: "Compare a document with the current routes", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			desired, err := readDocument(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			if _, err := desired.Snapshot(); err != nil {
				return err
			}
			return o.withRoutes(func(store *routestore.Store) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				current, err := store.Get(ctx)
				if err != nil {
					return err
				}
				return writeRoutesDiff(cmd.OutOrStdout(), current, desired)
			})
		},
	})
	return cmd
}

func (o *options) withRoutes(do func(*routestore.Store) error) error {
	client := connectplatform.NewClient(connectplatform.Config{URL: o.settings.GetString("platform-url"), Timeout: o.settings.GetDuration("timeout")})
	defer client.Close()
	return do(routestore.New(client))
}

func readDocument(stdin io.Reader, name string) (httproute.Document, error) {
	data, err := os.ReadFile(name)
	if name == "-" {
		data, err = io.ReadAll(stdin)
	}
	if err != nil {
		return httproute.Document{}, err
	}
	document, err := httproute.ParseDocument(data)
	if err != nil {
		return httproute.Document{}, &usageError{fmt.Sprintf("%s: %v", name, err)}
	}
	return document, nil
}

func writeDocument(w io.Writer, document httproute.Document) error {
	data, err := document.Encode()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

// writeRoutesDiff prints what apply would change: removed items with -, added items with +.
func writeRoutesDiff(w io.Writer, current, desired httproute.Document) error {
	if err := diffByName(w, "service", current.Services, desired.Services, func(s httproute.ServiceDocument) string { return s.Name }); err != nil {
		return err
	}
	if err := diffByName(w, "route", current.Routes, desired.Routes, func(r httproute.RouteDocument) string { return r.Name }); err != nil {
		return err
	}
	unnamed := func(httproute.LimitsDocument) string { return "" }
	return diffByName(w, "limits", []httproute.LimitsDocument{current.Limits}, []httproute.LimitsDocument{desired.Limits}, unnamed)
}

// diffByName prints the items that differ between the lists, matched by name.
func diffByName[T any](w io.Writer, kind string, current, desired []T, name func(T) string) error {
	printLine := func(sign string, item T) error {
		data, err := json.Marshal(item)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%s %s %s\n", sign, kind, data)
		return err
	}
	findByName := func(list []T, n string) (T, bool) {
		for _, item := range list {
			if name(item) == n {
				return item, true
			}
		}
		var zero T
		return zero, false
	}
	for _, old := range current {
		if now, kept := findByName(desired, name(old)); !kept || !reflect.DeepEqual(old, now) {
			if err := printLine("-", old); err != nil {
				return err
			}
		}
	}
	for _, now := range desired {
		if old, known := findByName(current, name(now)); !known || !reflect.DeepEqual(old, now) {
			if err := printLine("+", now); err != nil {
				return err
			}
		}
	}
	return nil
}
