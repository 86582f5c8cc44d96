package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/signals"
)

// agentSettings is a valid settings file of an agent. Its certificate files are relative to the working
// directory.
const agentSettings = `
role = "agent"
[node]
id = "agent-1"
domain = "demo-a"
region = "demo"
[listen]
peers = "127.0.0.1:7210"
operators = "127.0.0.1:7220"
local = "127.0.0.1:7230"
[transport]
entries = ["127.0.0.1:7110"]
[tls]
cert = "cert.pem"
key = "key.pem"
ca = "ca.pem"
`

// runCheck writes text to a settings file, runs "poplargwd check" on it and returns the output.
func runCheck(t *testing.T, text string) (string, error) {
	t.Helper()
	if err := os.WriteFile("agent.toml", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	c := command()
	c.Writer = &out
	err := c.Run(t.Context(), []string{"poplargwd", "check", "agent.toml"})
	return out.String(), err
}

// The check must reject settings with which the daemon would not start, and accept valid ones.
func TestCheck(t *testing.T) {
	t.Chdir(t.TempDir())
	var problems settings.Problems
	if _, err := runCheck(t, agentSettings); !errors.As(err, &problems) || problems[0].Code != settings.BadFile {
		t.Errorf("missing certificates: got error %v, want code BadFile", err)
	}
	set, err := pki.New(time.Now(), []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if err := set.Write("."); err != nil {
		t.Fatal(err)
	}
	if out, err := runCheck(t, agentSettings); err != nil || !strings.Contains(out, "agent agent-1 are valid") {
		t.Errorf("valid file: got output %q, error %v", out, err)
	}
	if _, err := runCheck(t, strings.Replace(agentSettings, `role = "agent"`, `role = "x"`, 1)); !errors.As(err, &problems) {
		t.Errorf("unknown role: got error %v, want settings problems", err)
	}
	if err := command().Run(t.Context(), []string{"poplargwd", "check"}); err == nil {
		t.Error("check without a file returned no error")
	}
}

// Guards against a daemon that ends at the signal that asks for its stacks, or logs none.
func TestStacksAreLogged(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	log, err := event.Open("info", event.FormatJSON, file)
	if err != nil {
		t.Fatal(err)
	}
	go logStacks(log, signals.NotifyStacks())
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	var text []byte
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !bytes.HasSuffix(text, []byte("\n")); time.Sleep(10 * time.Millisecond) {
		if text, err = os.ReadFile(file.Name()); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(string(text), `"event":108`) || !strings.Contains(string(text), "TestStacksAreLogged") {
		t.Errorf("the log is %q", text)
	}
}
