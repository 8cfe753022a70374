package connectplatform

import (
	"context"

	"connectrpc.com/connect"

	platformv1 "github.com/basilway/basilway/gen/basilway/platform/v1"
	"github.com/basilway/basilway/metastore"
)

// Objects implements metastore.ObjectStore.
type Objects struct{ client *Client }

var _ metastore.ObjectStore = Objects{}

// Objects returns the object store of the platform.
func (c *Client) Objects() Objects { return Objects{client: c} }

// Put implements metastore.ObjectStore.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.client.timeout)
	defer cancel()
	var sent sentTracker
	_, err := o.client.objects.PutObject(sent.attach(ctx),
		connect.NewRequest(&platformv1.PutObjectRequest{Name: name, Data: data}))
	return decodeWriteError(err, &sent)
}

// Get implements metastore.ObjectStore.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.client.timeout)
	defer cancel()
	res, err := o.client.objects.GetObject(ctx, connect.NewRequest(&platformv1.GetObjectRequest{Name: name}))
	if err != nil {
		return nil, decodeReadError(err)
	}
	return res.Msg.GetData(), nil
}

// List implements metastore.ObjectStore.
func (o Objects) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, o.client.timeout)
	defer cancel()
	res, err := o.client.objects.ListObjects(ctx, connect.NewRequest(&platformv1.ListObjectsRequest{Prefix: prefix}))
	if err != nil {
		return nil, decodeReadError(err)
	}
	return res.Msg.GetNames(), nil
}
