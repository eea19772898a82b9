package resource

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
)

// Guards against counting a local failure, such as a lack of descriptors, as a failure of the peer. Errors arrive wrapped.
func TestClassification(t *testing.T) {
	for _, tt := range []struct {
		err                      error
		local, exhausted, system bool
	}{
		{syscall.EMFILE, true, true, true},
		{&net.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", syscall.ENETUNREACH)}, true, false, true},
		{&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, false, false, true},
		{errors.New("no address"), false, false, false},
		{nil, false, false, false},
	} {
		if got := IsLocalFailure(tt.err); got != tt.local {
			t.Errorf("IsLocalFailure(%v) = %v", tt.err, got)
		}
		if got := IsExhausted(tt.err); got != tt.exhausted {
			t.Errorf("IsExhausted(%v) = %v", tt.err, got)
		}
		if got := IsSystemError(tt.err); got != tt.system {
			t.Errorf("IsSystemError(%v) = %v", tt.err, got)
		}
	}
}
