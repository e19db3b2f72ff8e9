package backend

import (
	"bufio"
	"bytes"
)

// ReadResponse reads an answer from bytes.
func ReadResponse(raw []byte, r *Request) Result {
	c := &conn{}
	c.limited.R = bytes.NewReader(raw)
	c.reader = bufio.NewReaderSize(&c.limited, readBufferSize)
	result, _ := readResponse(c, r)
	return result
}
