package connectplatform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/basilway/basilway/gen/basilway/platform/v1"
	"github.com/basilway/basilway/gen/basilway/platform/v1/platformv1connect"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// maxScanRows bounds the rows that one Scan returns.
const maxScanRows = 10_000

// NewHandler returns a handler that serves store as TableService, ObjectService and
// FaultService.
func NewHandler(store *memory.Store) http.Handler {
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTableServiceHandler(tableServer{store}, limit))
	mux.Handle(platformv1connect.NewObjectServiceHandler(objectServer{store.Objects()}, limit))
	mux.Handle(platformv1connect.NewFaultServiceHandler(faultServer{store}, limit))
	return mux
}

type tableServer struct{ store *memory.Store }

// Get implements TableServiceHandler.
func (s tableServer) Get(ctx context.Context, req *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	row, err := s.store.Get(ctx, req.Msg.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&platformv1.GetResponse{Row: toWireRow(row)}), nil
}

// Scan implements TableServiceHandler.
func (s tableServer) Scan(ctx context.Context, req *connect.Request[platformv1.ScanRequest]) (*connect.Response[platformv1.ScanResponse], error) {
	limit := int(min(req.Msg.GetLimit(), maxScanRows))
	rows, err := s.store.Scan(ctx, req.Msg.GetPrefix(), req.Msg.GetAfter(), limit)
	if err != nil {
		return nil, encodeError(err)
	}
	res := &platformv1.ScanResponse{}
	for _, row := range rows {
		res.Rows = append(res.Rows, toWireRow(row))
	}
	return connect.NewResponse(res), nil
}

// Commit implements TableServiceHandler. It drops the connection to simulate a lost
// response, so that the client sees the same as with a network failure.
func (s tableServer) Commit(ctx context.Context, req *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	var txn metastore.Txn
	for _, c := range req.Msg.GetConditions() {
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: c.GetKey(), Version: c.GetVersion()})
	}
	for _, w := range req.Msg.GetWrites() {
		txn.Writes = append(txn.Writes, metastore.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	err := s.store.Commit(ctx, txn)
	if errors.Is(err, metastore.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&platformv1.CommitResponse{}), nil
}

type objectServer struct{ objects memory.Objects }

// PutObject implements ObjectServiceHandler.
func (s objectServer) PutObject(ctx context.Context, req *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	if err := s.objects.Put(ctx, req.Msg.GetName(), req.Msg.GetData()); err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&platformv1.PutObjectResponse{}), nil
}

// GetObject implements ObjectServiceHandler.
func (s objectServer) GetObject(ctx context.Context, req *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	data, err := s.objects.Get(ctx, req.Msg.GetName())
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&platformv1.GetObjectResponse{Data: data}), nil
}

// ListObjects implements ObjectServiceHandler.
func (s objectServer) ListObjects(ctx context.Context, req *connect.Request[platformv1.ListObjectsRequest]) (*connect.Response[platformv1.ListObjectsResponse], error) {
	names, err := s.objects.List(ctx, req.Msg.GetPrefix())
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&platformv1.ListObjectsResponse{Names: names}), nil
}

type faultServer struct{ store *memory.Store }

// SetFaults implements FaultServiceHandler.
func (s faultServer) SetFaults(_ context.Context, req *connect.Request[platformv1.SetFaultsRequest]) (*connect.Response[platformv1.SetFaultsResponse], error) {
	s.store.SetFaults(memory.Faults{
		Down:          req.Msg.GetDown(),
		Delay:         time.Duration(req.Msg.GetDelayMs()) * time.Millisecond,
		LostResponses: req.Msg.GetLostAnswers(),
		Failures:      req.Msg.GetFailures(),
	})
	return connect.NewResponse(&platformv1.SetFaultsResponse{}), nil
}

// GetCounts implements FaultServiceHandler.
func (s faultServer) GetCounts(context.Context, *connect.Request[platformv1.GetCountsRequest]) (*connect.Response[platformv1.GetCountsResponse], error) {
	c := s.store.Counts()
	return connect.NewResponse(&platformv1.GetCountsResponse{
		Reads: c.Reads, Writes: c.Writes, Conflicts: c.Conflicts,
	}), nil
}

func toWireRow(row metastore.Row) *platformv1.Row {
	return &platformv1.Row{Key: row.Key, Value: row.Value, Version: row.Version}
}
