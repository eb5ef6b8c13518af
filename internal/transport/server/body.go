package server

import (
	"io"
	"net/http"
)

// maxDiscard bounds the bytes that are read after a body has exceeded its limit.
const maxDiscard = 16 << 20

// Body is a request body of limited size.
type Body struct {
	Source io.Reader
	Limit  int64

	read int64
	err  error
}

// Read returns an http.MaxBytesError once the body exceeds the limit. Before that it discards
// up to maxDiscard further bytes: a listener that closes the connection while the client
// still sends resets it, and the client cannot read that its request was not run.
func (b *Body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	left := b.Limit - b.read
	if int64(len(buffer)) > left+1 {
		buffer = buffer[:left+1]
	}
	n, err := b.Source.Read(buffer)
	if int64(n) > left {
		n, err = int(left), &http.MaxBytesError{Limit: b.Limit}
		_, _ = io.CopyN(io.Discard, b.Source, maxDiscard) // The refusal is the same if the rest is lost.
	}
	b.read, b.err = b.read+int64(n), err
	return n, err
}
