package node

import (
	"crypto/tls"
	"net"

	"bronzewinch.dev/lib/settings"

	"github.com/cockroachdb/errors"
)

// frontListener is the listener of an HTTP frontend. Its tls is nil for plain TCP.
type frontListener struct {
	net.Listener
	tls *tls.Config
}

// listeners holds the open listeners of a node.
type listeners struct {
	peers              net.Listener
	callers, operators frontListener
}

// listen opens all listeners of a node. If one fails, it closes the others.
func listen(c Config) (listeners, error) {
	var l listeners
	s, listenPeers := c.Settings, c.ListenPeers
	if listenPeers == nil {
		listenPeers = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	var err error
	if l.peers, err = listenPeers(s.Listen.Peers); err != nil {
		return l, errors.Wrap(err, "listen for peers")
	}
	if l.callers, err = listenFront(s.Listen.Callers, s.TLS.Callers); err != nil {
		l.close()
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.operators, err = listenFront(s.Listen.Operators, s.TLS.Operators); err != nil {
		l.close()
		return l, errors.Wrap(err, "listen for operators")
	}
	return l, nil
}

func listenFront(address string, pair settings.KeyPair) (frontListener, error) {
	tls, err := serverTLS(pair)
	if err != nil {
		return frontListener{}, err
	}
	l, err := net.Listen("tcp", address)
	return frontListener{l, tls}, err
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.peers, l.callers.Listener, l.operators.Listener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
