package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Size limits of a response, in bytes. A faulty replica may send without end.
const (
	// maxHeadBytes bounds the heads of a response and of the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 8 << 20
	// maxFramingBytes bounds the bytes by which a chunked body is longer than its content.
	maxFramingBytes = 1 << 20
	// smallBodyBytes is the size up to which a body needs no reservation. It fits most responses.
	smallBodyBytes = 32 << 10
)

var (
	errTooLong = errors.New("the response is too long")
	errMemory  = errors.New("the memory for large responses is used up")
)

// limitedReader returns errTooLong after a number of bytes.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// bodyMemory bounds the memory of the large bodies that all connections of a host are reading.
type bodyMemory struct {
	limit int64 // limit is in bytes; 0 means no limit.
	used  atomic.Int64
}

// reserve reserves bytes and reports whether they were available.
func (m *bodyMemory) reserve(size int64) bool {
	if m.used.Add(size) > m.limit && m.limit > 0 {
		m.used.Add(-size)
		return false
	}
	return true
}

func (m *bodyMemory) release(size int64) { m.used.Add(-size) }

// readBody reads the body of a response, up to maxBodyBytes.
func (m *bodyMemory) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxBodyBytes {
		return nil, errors.Wrapf(errTooLong, "body of %d bytes", response.ContentLength)
	}
	if response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength >= 0 {
		return m.readKnownLength(response.Body, response.ContentLength)
	}
	return m.readUnknownLength(response.Body)
}

func (m *bodyMemory) readKnownLength(reader io.Reader, length int64) ([]byte, error) {
	if length > smallBodyBytes {
		if !m.reserve(length) {
			return nil, errMemory
		}
		defer m.release(length)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readUnknownLength doubles the buffer as long as the body continues.
func (m *bodyMemory) readUnknownLength(reader io.Reader) ([]byte, error) {
	var body bytes.Buffer
	reserved := int64(0)
	defer func() { m.release(reserved) }()
	for limit := int64(smallBodyBytes); ; limit *= 2 {
		_, err := io.CopyN(&body, reader, limit-int64(body.Len()))
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		case limit >= maxBodyBytes:
			return nil, errTooLong
		case !m.reserve(limit):
			return nil, errMemory
		}
		reserved += limit
	}
}
