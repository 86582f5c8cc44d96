package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	bigConfigRoutes = 1400 + 1092 // two big_config
	refusedFor      = 9 * time.Second
	contactTime     = 4 * time.Second // contactMs and configMs of the site
	configTime      = 3 * time.Second
	// A config_storm makes stormChanges changes, stormGap apart.
	storms       = 2
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
)

// configs returns the routes of a configuration: a few, many idle ones, and those given.
func bigConfig(version int, extra ...string) []byte {
	routes := append([]string{route("r-a", hostName, "/jobs/", serviceName)}, extra...)
	for i := range bigConfigRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle%04d", i), fmt.Sprintf("idle%d.example", i%40), fmt.Sprintf("/idle%04d/", i), serviceName))
	}
	return config(version, routes...)
}

// configCase changes a large configuration in quick succession while the store turns one entry away and serves all others.
func configCase(root string, rec *recorder, trouble bool) (int, error) {
	oldRoute, newRoute := route("r-old", hostName, "/old/", serviceName), route("r-new", hostName, "/new/", serviceName)
	d, err := newDeployment(root, rec, 3, 3, 32000, config(2, route("r-a", hostName, "/jobs/", serviceName), oldRoute))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return 2, err
	}
	if !d.awaitReady(8 * time.Second) {
		return 2, errors.New("the entries are not ready")
	}
	version := 3
	publish := func(extra ...string) {
		version += 1 + rand.IntN(3)
		value := bigConfig(version, extra...)
		d.store.put("op/config", value)
		rec.printf("the store acknowledges configuration %d of %d bytes", version, len(value))
	}
	publish(oldRoute)
	time.Sleep(3 * time.Second)
	refused := d.entries[0]
	if trouble {
		d.store.refuse(refused.name, true)
		rec.printf("the store answers %s with 503 from now on", refused.name)
	}
	until := time.Now().Add(refusedFor)
	time.Sleep(500 * time.Millisecond)
	for range storms * stormChanges {
		publish(oldRoute)
		time.Sleep(stormGap)
	}
	publish(newRoute)
	acked := time.Now()
	rec.printf("configuration %d drops /old/ and has /new/", version)
	time.Sleep(time.Until(until))
	if trouble {
		d.store.refuse(refused.name, false)
		rec.printf("the store serves %s again", refused.name)
	}
	inTouch := time.Now().Add(contactTime)
	broken := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, n := range d.entries {
		group.Go(func() {
			for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				sent := time.Now()
				judged := sent.After(inTouch) && sent.Sub(acked) > configTime
				for _, prefix := range []string{"/new/", "/old/"} {
					status := d.job(n, prefix)
					wrong := prefix == "/new/" && status == 404 || prefix == "/old/" && status == 200
					if wrong || status == 0 {
						rec.printf("a job for %s, sent to %s %.2f s after the acknowledgement, is answered with %d; breaks the rule: %t", prefix, n.name, sent.Sub(acked).Seconds(), status, wrong && judged)
					}
					mu.Lock()
					if wrong && judged {
						broken++
					}
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	text := fmt.Sprintf("requests that were handled as only an older version allows, by an entry in touch: %d", broken)
	rec.printf("%s", text)
	fmt.Println(text)
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}

// job sends a job to an entry and returns the status of the answer, or 0.
func (d *deployment) job(n *node, prefix string) int {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	body := `{"spec":"20 job","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":20}]}`
	fmt.Fprintf(c, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", prefix, rand.Uint64(), hostName, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	status, err := readAnswer(c)
	if err != nil {
		return 0
	}
	return status
}
