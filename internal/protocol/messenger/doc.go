// Package messenger contains the messages and DRPC services of the protocol between hosts.
// The code is generated from the .proto files by `buf generate` and committed.
package messenger
