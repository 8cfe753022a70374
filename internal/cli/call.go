package cli

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

func newCallCommand(o *options) *cobra.Command {
	request := &basilwayv1.CallRequest{}
	var payload string
	cmd := &cobra.Command{
		Use:   "call SERVICE KEY METHOD",
		Short: "Send a request to the owner of a key",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			request.Service, request.Key, request.Method = args[0], args[1], args[2]
			request.Payload = []byte(payload)
			if request.RequestId == "" {
				request.FirstCall = true
				id, err := uuid.NewV7()
				if err != nil {
					return err
				}
				request.RequestId = id.String()
			}
			response, err := o.router().Call(ctx, connect.NewRequest(request))
			if err != nil {
				return fmt.Errorf("request %s: %w", request.RequestId, err)
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\nserved by %s (forwarded: %t, repeated: %t, request %s)\n",
				response.Msg.Payload, response.Msg.ServedBy, response.Msg.Forwarded, response.Msg.Repeated, request.RequestId)
			return err
		},
	}
	cmd.Flags().StringVar(&payload, "payload", "", "payload of the request")
	cmd.Flags().StringVar(&request.Team, "team", "", "team on whose behalf the request is made")
	cmd.Flags().StringVar(&request.RequestId, "request-id", "", "UUIDv7 of an earlier request to repeat; a new one is generated if empty")
	cmd.Flags().BoolVar(&request.Idempotent, "idempotent", false, "the request may run more than once")
	return cmd
}
