package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

// Seed writes the first configuration directly to the key-value service at an address, before
// any host runs that could propose it.
func Seed(ctx context.Context, address string, config wigeonspindle.Config) error {
	store := &storer.Storer{Address: address}
	writer := &committer.Committer{Store: store, Codec: encoder.JSONCodec{}, Validator: validator.New()}
	now := time.Now()
	_, _, err := writer.Commit(ctx, committer.Proposal{
		Change: wigeonspindle.ConfigChange{Identity: "seed", Author: "loader", Reason: "first configuration", Config: config},
		Stamp:  wigeonspindle.Timestamp{Wall: now}, Now: now,
	})
	return errors.Wrap(err, "seed configuration")
}
