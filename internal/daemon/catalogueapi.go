package daemon

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/catalogue"
	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/verdict"
)

// catalogueAPI implements CatalogueService.
type catalogueAPI struct {
	replicas *replicas
	editor   *catalogueEditor
}

// GetEntries implements CatalogueService.
func (a *catalogueAPI) GetEntries(_ context.Context, req *connect.Request[basilwayv1.GetEntriesRequest]) (*connect.Response[basilwayv1.GetEntriesResponse], error) {
	current := a.replicas.catalogue()
	response := &basilwayv1.GetEntriesResponse{CatalogueVersion: current.Version()}
	if req.Msg.Service == "" {
		for _, e := range current.All() {
			response.Entries = append(response.Entries, entryToProto(e))
		}
		return connect.NewResponse(response), nil
	}
	entry, ok := current.Get(req.Msg.Service)
	if !ok {
		return nil, callError(verdict.New(verdict.NotRun, verdict.ReasonUnknownService,
			"the catalogue has no entry %q at version %d", req.Msg.Service, current.Version()))
	}
	response.Entries = []*basilwayv1.CatalogueEntry{entryToProto(entry)}
	return connect.NewResponse(response), nil
}

// ApplyEntry implements CatalogueService.
func (a *catalogueAPI) ApplyEntry(ctx context.Context, req *connect.Request[basilwayv1.ApplyEntryRequest]) (*connect.Response[basilwayv1.ApplyEntryResponse], error) {
	entry, err := entryFromProto(req.Msg.Entry, req.Msg.Delete)
	if err != nil {
		return nil, callError(verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err))
	}
	change := catalogue.Change{Entry: entry, Deleted: req.Msg.Delete}
	applied, version, err := a.editor.apply(ctx, change, req.Msg.ExpectedVersion)
	if err != nil {
		return nil, editError(withClassAsWritten(err, req.Msg.Entry.Class))
	}
	return connect.NewResponse(&basilwayv1.ApplyEntryResponse{Entry: entryToProto(applied), CatalogueVersion: version}), nil
}

// GetHistory implements CatalogueService.
func (a *catalogueAPI) GetHistory(_ context.Context, req *connect.Request[basilwayv1.GetHistoryRequest]) (*connect.Response[basilwayv1.GetHistoryResponse], error) {
	response := &basilwayv1.GetHistoryResponse{}
	for _, r := range a.replicas.catalogue().History(req.Msg.Service, int(req.Msg.Limit)) {
		response.Changes = append(response.Changes, &basilwayv1.CatalogueChange{
			Version: r.Version, Entry: entryToProto(r.Change.Entry), Deleted: r.Change.Deleted, TimeMs: r.Change.TimeMS,
		})
	}
	return connect.NewResponse(response), nil
}

// withClassAsWritten replaces the value in a problem of the class by the text that the
// operator wrote, because an unknown class is parsed as 0.
func withClassAsWritten(err error, text string) error {
	var invalid *catalogue.ValidationError
	if errors.As(err, &invalid) {
		for i := range invalid.Problems {
			if invalid.Problems[i].Field == "class" {
				invalid.Problems[i].Value = text
			}
		}
	}
	return err
}

// editError converts the error of an edit to a connect error that tells whether the edit
// may have been applied.
func editError(err error) error {
	var conflict *catalogue.ConflictError
	var invalid *catalogue.ValidationError
	switch {
	case errors.As(err, &conflict):
		out := connect.NewError(connect.CodeAborted, err)
		if detail, detailErr := connect.NewErrorDetail(&basilwayv1.CatalogueConflict{Current: entryToProto(conflict.Current)}); detailErr == nil {
			out.AddDetail(detail)
		}
		return out
	case errors.As(err, &invalid):
		return callError(verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err))
	case errors.Is(err, metastore.ErrUnknown):
		return callError(verdict.New(verdict.MayHaveRun, verdict.ReasonInternal,
			"the store did not confirm the edit; read the entry again before repeating it: %v", err))
	case errors.Is(err, metastore.ErrUnavailable), errors.Is(err, metastore.ErrConflict):
		return callError(verdict.New(verdict.NotRun, verdict.ReasonNoStore, "the edit was not made: %v", err).
			WithRetryAfter(storeRetryAfter))
	default:
		return callError(err)
	}
}

func entryToProto(e catalogue.Entry) *basilwayv1.CatalogueEntry {
	out := &basilwayv1.CatalogueEntry{
		Service: e.Service, Owner: e.Owner, Version: e.Version,
		Limits: &basilwayv1.Limits{
			MaxInFlight: e.Limits.MaxInFlight, MaxQueue: e.Limits.MaxQueue, RatePerSecond: e.Limits.RatePerSecond,
			Burst: e.Limits.Burst, MaxPayloadBytes: e.Limits.MaxPayloadBytes, DefaultTimeoutMs: e.Limits.DefaultTimeoutMS,
		},
	}
	if e.Class.Valid() {
		out.Class = e.Class.String()
	}
	return out
}

func entryFromProto(e *basilwayv1.CatalogueEntry, deletion bool) (catalogue.Entry, error) {
	if e == nil {
		return catalogue.Entry{}, errors.New("the request has no entry")
	}
	if deletion {
		return catalogue.Entry{Service: e.Service}, nil
	}
	class, _ := catalogue.ParseClass(e.Class) // validation reports 0 together with other problems
	limits := e.Limits
	if limits == nil {
		limits = &basilwayv1.Limits{}
	}
	return catalogue.Entry{
		Service: e.Service, Owner: e.Owner, Class: class,
		Limits: catalogue.Limits{
			MaxInFlight: limits.MaxInFlight, MaxQueue: limits.MaxQueue, RatePerSecond: limits.RatePerSecond,
			Burst: limits.Burst, MaxPayloadBytes: limits.MaxPayloadBytes, DefaultTimeoutMS: limits.DefaultTimeoutMs,
		},
	}, nil
}
