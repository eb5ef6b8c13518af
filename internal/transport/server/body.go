package server

import (
	"io"
	"net/http"
)

// maxDiscardBytes bounds the bytes that are discarded after a body has exceeded its limit.
const maxDiscardBytes = 16 << 20

// Body is a request body of limited size.
type Body struct {
	Source io.Reader
	Limit  int64

	read int64
	err  error
}

// Read returns an http.MaxBytesError once the body exceeds the limit. Before it returns the error,
// it discards up to maxDiscardBytes: closing the connection while the client still sends resets
// it, and the client cannot read the response that says that its request was not run.
func (b *Body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	remaining := b.Limit - b.read
	if int64(len(buffer)) > remaining+1 {
		buffer = buffer[:remaining+1]
	}
	n, err := b.Source.Read(buffer)
	if int64(n) > remaining {
		n, err = int(remaining), &http.MaxBytesError{Limit: b.Limit}
		_, _ = io.CopyN(io.Discard, b.Source, maxDiscardBytes) // A read error does not change the refusal.
	}
	b.read, b.err = b.read+int64(n), err
	return n, err
}
