package backend

import (
	"bufio"
	"bytes"
)

// ReadResponse reads a response from raw bytes.
func ReadResponse(raw []byte, r *Request) Result {
	c := &conn{}
	c.limited.R = bytes.NewReader(raw)
	c.reader = bufio.NewReaderSize(&c.limited, readBufferSize)
	result, _ := readResponse(c, r)
	return result
}
