package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"sync"

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
	// segmentBytes is the size of the parts in which a body of unknown length is read.
	segmentBytes = 32 << 10
	// firstShare is the divisor of the memory for large bodies that gives the first reservation for a body of unknown length.
	firstShare = 8
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

// bodyMemory bounds the memory of the large bodies that all connections of a host are reading or have read for a job whose
// result has not been processed.
type bodyMemory struct {
	limit int64 // limit is in bytes; 0 means no limit.

	mutex sync.Mutex
	used  int64
	// exceeding reports that one body may exceed the limit to be read to its end. Otherwise bodies that hold a part each
	// could wait for one another.
	exceeding bool
	freed     chan struct{} // freed is closed when memory is given back; nil if nobody waits.
}

// reservation is the memory of one body.
type reservation struct {
	memory    *bodyMemory
	bytes     int64
	exceeding bool
}

// grow adds bytes. It waits until they are available, and returns false if the body exceeds the limit, or if stop is closed
// first.
func (r *reservation) grow(bytes int64, stop <-chan struct{}) bool {
	for {
		granted, freed := r.tryGrow(bytes)
		if granted || freed == nil {
			return granted
		}
		select {
		case <-freed:
		case <-stop:
			return false
		}
	}
}

// tryGrow adds bytes, or returns a channel that is closed when to try again, or nil if the body exceeds the limit.
func (r *reservation) tryGrow(bytes int64) (granted bool, freed <-chan struct{}) {
	m := r.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.limit > 0 && m.used+bytes > m.limit {
		if r.bytes+bytes > m.limit {
			return false, nil
		}
		if !r.exceeding && (r.bytes == 0 || m.exceeding) {
			if m.freed == nil {
				m.freed = make(chan struct{})
			}
			return false, m.freed
		}
		r.exceeding, m.exceeding = true, true
	}
	r.bytes += bytes
	m.used += bytes
	return true, nil
}

// finish ends the reading of the body. The memory of size bytes stays reserved until release.
func (r *reservation) finish(size int64) (reserved int64) {
	size = min(size, r.bytes)
	r.memory.giveBack(r.bytes-size, r.exceeding)
	return size
}

func (m *bodyMemory) release(bytes int64) { m.giveBack(bytes, false) }

// giveBack gives back bytes, and with exceeding the permission to exceed the limit.
func (m *bodyMemory) giveBack(bytes int64, exceeding bool) {
	if bytes == 0 && !exceeding {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= bytes
	if exceeding {
		m.exceeding = false
	}
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// readBody reads the body of a response, up to maxBodyBytes. It returns the bytes that stay reserved for the body. It waits for
// memory until stop is closed.
func (m *bodyMemory) readBody(response *http.Response, stop <-chan struct{}) (body []byte, reserved int64, err error) {
	if response.ContentLength > maxBodyBytes {
		return nil, 0, errors.Wrapf(errTooLong, "body of %d bytes", response.ContentLength)
	}
	if response.Body == http.NoBody {
		return nil, 0, nil
	}
	hold := reservation{memory: m}
	if response.ContentLength >= 0 {
		body, err = hold.readKnownLength(response.Body, response.ContentLength, stop)
	} else {
		body, err = hold.readUnknownLength(response.Body, stop)
	}
	if err != nil {
		hold.finish(0)
		return nil, 0, err
	}
	return body, hold.finish(int64(len(body))), nil
}

func (r *reservation) readKnownLength(reader io.Reader, length int64, stop <-chan struct{}) ([]byte, error) {
	if length > smallBodyBytes && !r.grow(length, stop) {
		return nil, errMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readUnknownLength reads a body in segments and joins them at its end. It reserves half as much again as the segments take,
// for the moment in which both exist.
func (r *reservation) readUnknownLength(reader io.Reader, stop <-chan struct{}) ([]byte, error) {
	var segments [][]byte
	for size := smallBodyBytes; ; size += segmentBytes {
		segment := make([]byte, 0, min(size, segmentBytes))
		for len(segment) < cap(segment) {
			n, err := reader.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			if errors.Is(err, io.EOF) {
				return joinSegments(append(segments, segment)), nil
			}
			if err != nil {
				return nil, err
			}
		}
		segments = append(segments, segment)
		switch {
		case size > maxBodyBytes:
			return nil, errTooLong
		case !r.growTo(int64(size+segmentBytes)*3/2, stop):
			return nil, errMemory
		}
	}
}

// growTo reserves memory for a body of which the length is not known. The first time it reserves a larger share, because many
// bodies that hold a small part of the memory each would have to be read one after the other.
func (r *reservation) growTo(bytes int64, stop <-chan struct{}) bool {
	if bytes <= r.bytes {
		return true
	}
	if r.bytes == 0 {
		bytes = max(bytes, r.memory.limit/firstShare)
	}
	return r.grow(bytes-r.bytes, stop)
}

func joinSegments(segments [][]byte) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	return bytes.Join(segments, nil)
}
