package sharer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/converter"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

// Client reads the state of the registry from another host. It implements
// wigeonspindle.RegistryReader and is not safe for concurrent use.
type Client struct {
	Peer  wigeonspindle.Peer
	Clock wigeonspindle.Clock

	conn  *drpcconn.Conn
	epoch uint64
}

// List implements wigeonspindle.RegistryReader.
func (c *Client) List(ctx context.Context) (wigeonspindle.RegistryBatch, error) {
	return c.call(ctx, &messenger.FollowRequest{Whole: true})
}

// Follow implements wigeonspindle.RegistryReader.
func (c *Client) Follow(ctx context.Context, after uint64, wait time.Duration) (wigeonspindle.RegistryBatch, error) {
	return c.call(ctx, &messenger.FollowRequest{Epoch: c.epoch, After: after, Wait: int64(wait)})
}

// Close closes the connection, if there is one.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close() // No request is in progress.
		c.conn = nil
	}
}

func (c *Client) call(ctx context.Context, request *messenger.FollowRequest) (wigeonspindle.RegistryBatch, error) {
	if c.conn == nil {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", c.Peer.LinkAddress)
		if err != nil {
			return wigeonspindle.RegistryBatch{}, errors.Wrapf(err, "dial host %s", c.Peer.Name)
		}
		c.conn = drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: messenger.Options()})
	}
	reply, err := messenger.NewDRPCRelayClient(c.conn).Follow(ctx, request)
	if err != nil {
		if known := decodeError(err); known != nil {
			return wigeonspindle.RegistryBatch{}, errors.Wrapf(known, "request updates from host %s", c.Peer.Name)
		}
		c.Close()
		return wigeonspindle.RegistryBatch{}, errors.Wrapf(err, "request updates from host %s", c.Peer.Name)
	}
	if reply.GetLost() {
		return wigeonspindle.RegistryBatch{}, wigeonspindle.ErrCompacted
	}
	updates, err := converter.DecodeUpdates(reply.GetChanges(), c.Clock.Now())
	if err != nil {
		return wigeonspindle.RegistryBatch{}, errors.Wrapf(err, "decode updates from host %s", c.Peer.Name)
	}
	c.epoch = reply.GetEpoch()
	return wigeonspindle.RegistryBatch{
		Updates: updates, Revision: reply.GetPosition(), Era: reply.GetEra(), Age: time.Duration(reply.GetAge()), Settled: true,
	}, nil
}
