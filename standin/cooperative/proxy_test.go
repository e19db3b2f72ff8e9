package cooperative

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlockRepliesDeliversRequests guards against a one-way partition in the wrong direction.
func TestBlockRepliesDeliversRequests(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	p, err := NewProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer p.Close()
	p.SetMode(BlockReplies)
	client := http.Client{Timeout: 200 * time.Millisecond}
	_, err = client.Get("http://" + p.Address())
	is.True(err != nil)
	is.Equal(requests.Load(), int32(1))
}
