package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"poplargw.example/lab/testbed"
)

// standInChild is the child process of stand-in agents and the lines that it prints.
type standInChild struct {
	p     *process
	lines chan string
}

// addStandIns starts a child process of stand-in agents with a number of start records each. It waits
// until every entry knows all their backend servers.
func (s *system) addStandIns(agents, records int) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var entries []string
	for e := range s.entries {
		entries = append(entries, s.net.Addr(testbed.FirstEntryHost+e, testbed.PortPeers))
	}
	output, out, err := os.Pipe()
	if err != nil {
		return err
	}
	defer out.Close()
	command := s.net.Process("stand-ins", hostStandIn, "", standInCommand, "-kind", s.kind,
		"-dir", s.net.Dir, "-ip", s.net.IP(hostStandIn), "-entries", strings.Join(entries, ","),
		"-agents", fmt.Sprint(agents), "-records", fmt.Sprint(records))
	command.Program, command.Stdout = self, out
	p, err := start(command)
	if err != nil {
		return err
	}
	s.standIns = &standInChild{p: p, lines: make(chan string, 64)}
	go s.standIns.readLines(output)
	if _, err := s.standIns.wait("ready"); err != nil {
		return err
	}
	return s.eventually("the entries know the stand-in agents", func() bool {
		for e := range s.entries {
			if s.knownServers(e) != agents*serversPerAgent {
				return false
			}
		}
		return true
	})
}

func (c *standInChild) readLines(output io.ReadCloser) {
	defer output.Close()
	for scan := bufio.NewScanner(output); scan.Scan(); {
		c.lines <- scan.Text()
	}
}

// wait waits until the child prints a line that begins with the text and returns the time at which it was
// read. It returns an error after readyTimeout.
func (c *standInChild) wait(text string) (time.Time, error) {
	limit := time.After(readyTimeout)
	for {
		select {
		case line := <-c.lines:
			if strings.HasPrefix(line, text) {
				return time.Now(), nil
			}
		case <-limit:
			return time.Time{}, fmt.Errorf("timed out after %v waiting for the stand-in agents to print %q", readyTimeout, text)
		}
	}
}

func (c *standInChild) stop() { c.p.Kill() }
