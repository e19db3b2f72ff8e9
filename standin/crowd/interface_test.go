//go:build crowd

package crowd_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/examples"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// The crowds of this file press an entry node that serves the product's own interface
// (bronzewinchd -settings), with TLS for callers. The bound is the memory of the smallest
// entry VMs. The requests in progress of an account are
// limited, so the ordinary caller has another account than the crowd.
const (
	interfaceMemoryMB = 144
	interfaceLimits   = "[limits]\nvmMemory = \"144MiB\"\nclientMemory = \"8MiB\"\nanswerMemory = \"1MiB\"\njobMemory = \"8MiB\"\nconnections = "
	ordinaryToken     = "example-only-cooperative-account-schools"
	crowdToken        = "example-only-cooperative-account-members"
)

// entryNode is an entry node as a process, and the stand-ins that it needs.
type entryNode struct {
	t       *testing.T
	listen  settings.Listen
	process *exec.Cmd
	exited  chan struct{}
	http    *http.Client
}

// interfaceConnections is the number of connections that each listener allows.
const interfaceConnections = 50

func startEntryNode(t *testing.T) *entryNode {
	t.Helper()
	return startEntryNodeWith(t, interfaceConnections)
}

// startEntryNodeWith starts an entry node whose listeners allow a number of connections, and
// waits until it serves callers.
func startEntryNodeWith(t *testing.T, connections int) *entryNode {
	t.Helper()
	bootstrap, err := examples.Files.ReadFile("cooperative/bootstrap.token")
	if err != nil {
		t.Fatal(err)
	}
	secret := token.New(strings.TrimSpace(string(bootstrap)))
	d, err := deployment.Start(deployment.Config{Records: exampleRecords(t), BootstrapHash: secret.Hash(), Timer: timer.NewSystem(),
		ServiceTime: func() time.Duration { return time.Millisecond }, RunTime: func(worker.Ref) time.Duration { return time.Hour }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	text, listen, err := d.ProcessSettings("n1", "entoto")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certificate, key, roots := issueCertificate(t, dir)
	text += interfaceLimits + fmt.Sprintf("%d\n[tls.callers]\ncertificate = %q\nkey = %q\n", connections, certificate, key)
	path := filepath.Join(dir, "n1.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := &entryNode{t: t, listen: listen, process: exec.Command(binary, "-settings", path), exited: make(chan struct{}),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}}}
	log, err := os.Create(filepath.Join(dir, "n1.log"))
	if err != nil {
		t.Fatal(err)
	}
	n.process.Stderr = log
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		<-n.exited
	})
	n.await("the node to apply the records", func() bool {
		body, _ := json.Marshal(operator.ChangeRequest{ChangeID: "first", Files: d.Records})
		status, _ := n.send(http.MethodPost, "http://"+listen.Operators+"/v1/changes", secret.Reveal(), nil, body)
		return status == http.StatusOK
	})
	n.await("an ordinary request", func() bool {
		status, _ := n.ordinary()
		return status == http.StatusOK
	})
	return n
}

func exampleRecords(t *testing.T) (files []operator.File) {
	t.Helper()
	const dir = "cooperative/records"
	entries, err := examples.Files.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		text, err := examples.Files.ReadFile(dir + "/" + e.Name())
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, operator.File{Name: e.Name(), Text: string(text)})
	}
	return files
}

// issueCertificate writes a certificate for loopback and its key, and returns the authorities
// with which a client accepts it.
func issueCertificate(t *testing.T, dir string) (certificate, key string, roots *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	pair := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(certificate, pair, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600); err != nil {
		t.Fatal(err)
	}
	roots = x509.NewCertPool()
	roots.AppendCertsFromPEM(pair)
	return certificate, key, roots
}

func (n *entryNode) await(what string, ok func() bool) {
	n.t.Helper()
	for end := time.Now().Add(siteStartTimeout); !ok(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			n.t.Fatalf("%s: not within %v", what, siteStartTimeout)
		}
	}
}

// send sends a request and returns the status and the body of the response, or the status 0
// and the error.
func (n *entryNode) send(method, url, bearer string, header http.Header, body []byte) (int, string) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := n.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

const servicePath = "/v1/services/skymap/echo"

// ordinary makes a request as an ordinary caller does.
func (n *entryNode) ordinary() (status int, body string) {
	return n.send(http.MethodPost, "https://"+n.listen.Callers+servicePath, ordinaryToken, nil, []byte("tile"))
}

// check lets an ordinary caller make a request, and checks that the process lives within its
// limits.
func (n *entryNode) check() {
	n.t.Helper()
	pid := n.process.Process.Pid
	awaitRest(n.t, pid)
	n.http.CloseIdleConnections()
	status, body := 0, ""
	for attempt := 0; attempt < ordinaryAttempts && status != http.StatusOK; attempt++ {
		status, body = n.ordinary()
	}
	select {
	case <-n.exited:
		n.t.Fatal("the process has ended")
	default:
	}
	peak, fds := peakMB(n.t, pid), descriptors(n.t, pid)
	n.t.Logf("peak %d MB, %d descriptors, ordinary request: status %d", peak, fds, status)
	if status != http.StatusOK {
		n.t.Errorf("an ordinary request got status %d in the last of %d attempts: %s", status, ordinaryAttempts, body)
	}
	if peak > interfaceMemoryMB {
		n.t.Errorf("peak of %d MB, the limit is %d MB", peak, interfaceMemoryMB)
	}
	if fds > maxFDs {
		n.t.Errorf("%d descriptors are open, the limit is %d", fds, maxFDs)
	}
}

// encrypted returns a dialer that opens TLS connections to callers' listeners.
func (n *entryNode) encrypted() dialer {
	return &tls.Dialer{Config: n.http.Transport.(*http.Transport).TLSClientConfig.Clone()}
}

// TestHandshakesThatStopShort guards against clients that begin a TLS handshake and don't end
// it.
func TestHandshakesThatStopShort(t *testing.T) {
	record := func(announced, sent int) []byte { // of a handshake
		return append([]byte{22, 3, 1, byte(announced >> 8), byte(announced)}, bytes.Repeat([]byte{1}, sent)...)
	}
	for name, sent := range map[string][]byte{"silent": nil, "begun": record(512, 100), "large record": record(16<<10, 16<<10-1),
		"many records": bytes.Repeat(record(16<<10, 16<<10), 64)} {
		t.Run(name, func(t *testing.T) {
			n := startEntryNode(t)
			openClients(t, n.listen.Callers, 500, &net.Dialer{}, sendAll(sent))
			n.check()
		})
	}
}

// TestManyRequestsOnOneConnection guards against clients that send bodies in many HTTP/2
// streams of a connection, most of them stopping short.
func TestManyRequestsOnOneConnection(t *testing.T) {
	const clients, streams, bodySize = 200, 50, 128 << 10
	n := startEntryNodeWith(t, clients)
	d := &tls.Dialer{Config: n.http.Transport.(*http.Transport).TLSClientConfig.Clone()}
	d.Config.NextProtos = []string{"h2", "http/1.1"}
	openClients(t, n.listen.Callers, clients, d, func(c net.Conn) error {
		if c.(*tls.Conn).ConnectionState().NegotiatedProtocol != "h2" {
			return nil // the node offers one request at a time
		}
		f, err := beginPeerConnection(c)
		if err != nil {
			return err
		}
		go func() {
			for {
				if _, err := f.ReadFrame(); err != nil {
					return
				}
			}
		}()
		chunk := make([]byte, 16<<10)
		for s := range uint32(streams) {
			var block bytes.Buffer
			e := hpack.NewEncoder(&block)
			for _, h := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":path", servicePath}, {":authority", "a"},
				{"authorization", "Bearer " + crowdToken}} {
				if err := e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}); err != nil {
					return err
				}
			}
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*s + 1, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
				return err
			}
		}
		for range bodySize / len(chunk) {
			for s := range uint32(streams) {
				if err := f.WriteData(2*s+1, false, chunk); err != nil {
					return err
				}
			}
		}
		return nil
	})
	n.check()
}

// TestInterfaceListeners guards against crowds on each listener of the product's own
// interface.
func TestInterfaceListeners(t *testing.T) {
	head := func(target string) string {
		return "POST " + target + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + crowdToken + "\r\n"
	}
	lines := fill(head(servicePath), largeHead, func(int) string { return "a:\r\n" })
	body := func(target string) []byte {
		return fill(head(target)+fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody), largeBody, func(int) string { return "x" })
	}
	t.Run("callers, heads", func(t *testing.T) {
		n := startEntryNode(t)
		openClients(t, n.listen.Callers, 60, n.encrypted(), sendAll(lines))
		n.check()
	})
	t.Run("callers, bodies", func(t *testing.T) {
		n := startEntryNode(t)
		openClients(t, n.listen.Callers, 200, n.encrypted(), sendAll(body(servicePath)))
		n.check()
	})
	t.Run("callers, announced bodies", func(t *testing.T) { // of a size that the service allows
		n := startEntryNodeWith(t, 2*interfaceConnections)
		openClients(t, n.listen.Callers, 80, n.encrypted(), sendAll([]byte(head(servicePath)+"Content-Length: 4194304\r\n\r\nbegun")))
		n.check()
	})
	t.Run("operators, heads", func(t *testing.T) {
		n := startEntryNode(t)
		openClients(t, n.listen.Operators, 60, &net.Dialer{}, sendAll(lines))
		n.check()
	})
	t.Run("operators, bodies", func(t *testing.T) {
		n := startEntryNode(t)
		openClients(t, n.listen.Operators, 200, &net.Dialer{}, sendAll(body("/v1/jobs")))
		n.check()
	})
	t.Run("operators, unread", func(t *testing.T) {
		n := startEntryNode(t)
		read := sendAll([]byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 500)))
		openUnread(t, n.listen.Operators, maxFDs, read)
		n.check()
	})
	t.Run("peers, silent", func(t *testing.T) {
		n := startEntryNode(t)
		openClients(t, n.listen.Peers, 500, &net.Dialer{}, sendAll(nil))
		n.check()
	})
}

// TestAnswersAndRequestIDs guards against answers that are kept for callers, and ids of
// requests, that take memory after the reply.
func TestAnswersAndRequestIDs(t *testing.T) {
	for name, header := range map[string]http.Header{"idempotent": {"Bronzewinch-Idempotent": {"true"}}, "at most once": {"Bronzewinch-Idempotent": {"false"}}} {
		t.Run(name, func(t *testing.T) {
			n := startEntryNode(t)
			body := bytes.Repeat([]byte("x"), 64<<10)
			var clients sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for c := range 20 {
				clients.Go(func() {
					for r := range 10 {
						h := header.Clone()
						h.Set("Bronzewinch-Request-Id", fmt.Sprintf("%s-%d-%d", strings.Repeat("i", 100), c, r))
						status, _ := n.send(http.MethodPost, "https://"+n.listen.Callers+servicePath, crowdToken, h, body)
						mu.Lock()
						statuses[status]++
						mu.Unlock()
					}
				})
			}
			clients.Wait()
			t.Logf("requests by status: %v", statuses)
			n.check()
		})
	}
}

// pressJobs lets a crowd submit jobs that wait for workers, and calls then after each accepted
// one.
func (n *entryNode) pressJobs(then func(job string)) {
	n.t.Helper()
	const clients, rounds = 40, 300
	var crowd sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for c := range clients {
		crowd.Go(func() {
			for r := range rounds {
				job := fmt.Sprintf("crowd-%d-%d", c, r)
				status, _ := n.submit(job, "members", crowdToken)
				if status == http.StatusOK {
					then(job)
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	crowd.Wait()
	n.t.Logf("jobs by status: %v", statuses)
	if status, body := n.submit("ordinary", "schools", ordinaryToken); status != http.StatusOK {
		n.t.Errorf("an ordinary job got status %d: %s", status, body)
	}
	n.check()
}

// TestWaitingJobsOnInterface guards against accepted jobs of the product's own interface that
// take memory without a bound while they wait for workers.
func TestWaitingJobsOnInterface(t *testing.T) {
	startEntryNode(t).pressJobs(func(string) {})
}

// TestCancelledJobsOnInterface guards against jobs of the product's own interface that take
// memory after they have been cancelled: their decisions are kept until the history has
// stored them.
func TestCancelledJobsOnInterface(t *testing.T) {
	n := startEntryNode(t)
	n.pressJobs(func(job string) { n.cancel(job, crowdToken) })
}

func (n *entryNode) cancel(name, bearer string) {
	body, err := json.Marshal(operator.CancelRequest{Jobs: []id.Job{id.Job(name)}})
	if err != nil {
		n.t.Error(err)
	}
	if status, text := n.send(http.MethodPost, "http://"+n.listen.Operators+"/v1/jobs/cancel", bearer, nil, body); status != http.StatusOK {
		n.t.Logf("cancel: status %d: %s", status, text)
	}
}

// submit submits a job that needs a whole worker.
func (n *entryNode) submit(name, account, bearer string) (int, string) {
	text := fmt.Sprintf("[[record]]\nschema = \"v2\"\nkind = \"job\"\nname = %q\naccount = %q\ndeclaredRun = \"2h\"\nprogram = %q\n"+
		"shape = { workers = 1, locality = \"worker\", perWorker = { accelerators = 8, cores = 4, memory = \"16GiB\" } }\n", name, account, strings.Repeat("p", 250))
	body, err := json.Marshal(operator.SubmitRequest{Job: id.Job(name), File: operator.File{Name: "job.toml", Text: text}})
	if err != nil {
		return 0, err.Error()
	}
	return n.send(http.MethodPost, "http://"+n.listen.Operators+"/v1/jobs", bearer, nil, body)
}
