package pki

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a key file that other users of the machine can read, and against replacing the
// certificates of running processes.
func TestWriteKeepsKeyPrivateAndExistingFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tls")
	set, err := New(time.Now(), []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if err := set.Write(dir); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(dir, KeyFile))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file: %v, %v", info, err)
	}
	if err := set.Write(dir); err == nil {
		t.Error("second Write replaced the files")
	}
}

// Guards against a certificate without an address, which no peer could verify.
func TestNewRequiresAnAddress(t *testing.T) {
	if _, err := New(time.Now(), nil); err == nil {
		t.Error("no error")
	}
}
