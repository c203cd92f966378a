package pimsocket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

const (
	// ListenTimeout is several times what the system takes to end a killed process.
	ListenTimeout  = 3 * time.Second
	listenInterval = 20 * time.Millisecond
)

// Listen listens on a TCP address. While the address is in use it tries again, for up to ListenTimeout: a process that was
// killed holds its addresses until the system has ended it.
func Listen(network, address string, logger *log.Logger) (net.Listener, error) {
	for waited := time.Duration(0); ; waited += listenInterval {
		listener, err := net.Listen(network, address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || waited >= ListenTimeout {
			return listener, err
		}
		if waited == 0 {
			logger.Warn().Err(err).Str("address", address).Dur("timeout", ListenTimeout).Msg("address is in use, trying again")
		}
		time.Sleep(listenInterval)
	}
}
