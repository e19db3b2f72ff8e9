package backend

import (
	"bufio"
	"bytes"
)

// ReadResponse reads an answer from bytes.
func ReadResponse(raw []byte, r *Request) Result {
	c := &conn{}
	c.limit.R = bytes.NewReader(raw)
	c.read = bufio.NewReaderSize(&c.limit, readBuffer)
	result, _ := read(c, r)
	return result
}
