// Package messenger holds the messages and the drpc service that hosts exchange. The
// code is generated from frame.proto by `buf generate` and committed.
package messenger
