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
	"github.com/basilway/basilway/internal/routebook"
)

// newRoutesCommand returns the command that shows and edits the routes of HTTP requests.
func newRoutesCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "routes",
		Short: "Show and edit the routes of HTTP requests in the catalogue",
		Long: `routes shows and edits which HTTP requests go to which services: routes by host and path
prefix, services, and limits on what clients may send. It speaks with the platform's table
(--platform-url); routers put a change into force within a second.`,
	}
	cmd.AddCommand(&cobra.Command{
		Use: "get", Short: "Print the routes in force as a document for apply", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withRoutes(func(book *routebook.Book) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				document, err := book.Get(ctx)
				if err != nil {
					return err
				}
				return writeDocument(cmd.OutOrStdout(), document)
			})
		},
	}, &cobra.Command{
		Use: "apply FILE", Short: "Put a document with all routes into force",
		Long: `Put a document with all routes, services and limits into force. FILE ("-" for standard
input) is as "routes get" prints it. With a version the edit is refused if the routes were
changed since; without one it replaces what is in force.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readDocument(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return o.withRoutes(func(book *routebook.Book) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				version, err := book.Apply(ctx, wanted)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "applied %d routes as version %d\n", len(wanted.Routes), version)
				return err
			})
		},
	}, &cobra.Command{
		Use: "diff FILE", Short: "Compare a document with the routes in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readDocument(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			if _, err := wanted.Snapshot(); err != nil {
				return err
			}
			return o.withRoutes(func(book *routebook.Book) error {
				ctx, cancel := o.context(cmd)
				defer cancel()
				current, err := book.Get(ctx)
				if err != nil {
					return err
				}
				return writeRoutesDiff(cmd.OutOrStdout(), current, wanted)
			})
		},
	})
	return cmd
}

func (o *options) withRoutes(do func(*routebook.Book) error) error {
	client := connectplatform.NewClient(connectplatform.Config{URL: o.settings.GetString("platform-url"), Timeout: o.settings.GetDuration("timeout")})
	defer client.Close()
	return do(routebook.New(client))
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

// writeRoutesDiff prints what apply would change, with - for what is in force.
func writeRoutesDiff(w io.Writer, current, wanted httproute.Document) error {
	if err := diffByName(w, "service", current.Services, wanted.Services, func(s httproute.ServiceDocument) string { return s.Name }); err != nil {
		return err
	}
	if err := diffByName(w, "route", current.Routes, wanted.Routes, func(r httproute.RouteDocument) string { return r.Name }); err != nil {
		return err
	}
	none := func(httproute.LimitsDocument) string { return "" }
	return diffByName(w, "limits", []httproute.LimitsDocument{current.Limits}, []httproute.LimitsDocument{wanted.Limits}, none)
}

// diffByName prints the items that are not the same in both lists.
func diffByName[T any](w io.Writer, kind string, current, wanted []T, name func(T) string) error {
	line := func(sign string, item T) error {
		data, err := json.Marshal(item)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%s %s %s\n", sign, kind, data)
		return err
	}
	find := func(list []T, n string) (T, bool) {
		for _, item := range list {
			if name(item) == n {
				return item, true
			}
		}
		var none T
		return none, false
	}
	for _, old := range current {
		if now, kept := find(wanted, name(old)); !kept || !reflect.DeepEqual(old, now) {
			if err := line("-", old); err != nil {
				return err
			}
		}
	}
	for _, now := range wanted {
		if old, known := find(current, name(now)); !known || !reflect.DeepEqual(old, now) {
			if err := line("+", now); err != nil {
				return err
			}
		}
	}
	return nil
}
