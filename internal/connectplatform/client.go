package connectplatform

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/basilway/basilway/gen/basilway/platform/v1"
	"github.com/basilway/basilway/gen/basilway/platform/v1/platformv1connect"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/metastore"
)

const (
	// DefaultTimeout is the default of Config.Timeout.
	DefaultTimeout = time.Second
	// maxMessageBytes bounds a request or a response; the largest are snapshots.
	maxMessageBytes = 64 << 20
	// maxIdleConns is the number of idle connections to the platform that are kept open.
	maxIdleConns    = 16
	idleConnTimeout = 90 * time.Second
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform, such as http://127.0.0.1:7100.
	URL string
	// Timeout bounds each call; DefaultTimeout if 0. A shorter timeout detects an outage
	// sooner, but turns slow commits into ErrUnknown, which takes another read to resolve.
	Timeout time.Duration
}

// Client implements metastore.Table; Objects returns its metastore.ObjectStore. It is
// safe for concurrent use.
type Client struct {
	timeout   time.Duration
	transport *http.Transport
	table     platformv1connect.TableServiceClient
	objects   platformv1connect.ObjectServiceClient
	faults    platformv1connect.FaultServiceClient
}

var _ metastore.Table = (*Client)(nil)

// NewClient returns a client. It connects on the first call.
func NewClient(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	httpClient := &http.Client{Transport: httpclient.Transport{Base: transport}}
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	return &Client{
		timeout:   cfg.Timeout,
		transport: transport,
		table:     platformv1connect.NewTableServiceClient(httpClient, cfg.URL, limit),
		objects:   platformv1connect.NewObjectServiceClient(httpClient, cfg.URL, limit),
		faults:    platformv1connect.NewFaultServiceClient(httpClient, cfg.URL, limit),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements metastore.Table.
func (c *Client) Get(ctx context.Context, key string) (metastore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.table.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Key: key}))
	if err != nil {
		return metastore.Row{}, decodeReadError(err)
	}
	row := fromWireRow(res.Msg.GetRow())
	row.Key = key
	return row, nil
}

// Scan implements metastore.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]metastore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.table.Scan(ctx, connect.NewRequest(&platformv1.ScanRequest{
		Prefix: prefix, After: after, Limit: uint32(min(max(limit, 0), maxScanRows)),
	}))
	if err != nil {
		return nil, decodeReadError(err)
	}
	rows := make([]metastore.Row, 0, len(res.Msg.GetRows()))
	for _, row := range res.Msg.GetRows() {
		rows = append(rows, fromWireRow(row))
	}
	return rows, nil
}

// Commit implements metastore.Table.
func (c *Client) Commit(ctx context.Context, txn metastore.Txn) error {
	req := &platformv1.CommitRequest{}
	for _, cond := range txn.Conditions {
		req.Conditions = append(req.Conditions, &platformv1.Condition{Key: cond.Key, Version: cond.Version})
	}
	for _, w := range txn.Writes {
		req.Writes = append(req.Writes, &platformv1.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent sentTracker
	_, err := c.table.Commit(sent.attach(ctx), connect.NewRequest(req))
	return decodeWriteError(err, &sent)
}

func fromWireRow(row *platformv1.Row) metastore.Row {
	return metastore.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()}
}
