package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// sockets lets clients of one machine open connections whose chunked bodies come in very small chunks and stop just short of their end, as many as the machine has
// descriptors for. Ordinary clients go on. Without trouble, the same clients end their bodies and close.
func sockets(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 3, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134, maxFiles: 3900})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	online := f.ordinaryClients(ctx, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	f.note("before: %v", online)
	before := online.answered
	var group sync.WaitGroup
	var mu sync.Mutex
	open := 0
	until := time.Now().Add(60 * time.Second)
	for _, i := range f.instances {
		for range 40 {
			group.Go(func() {
				for range 110 {
					c, err := net.DialTimeout("tcp", net.JoinHostPort(i.host, frontPort), time.Second)
					if err != nil {
						continue
					}
					defer c.Close()
					fmt.Fprintf(c, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 450,180\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nq\r\n1\r\nq\r\n",
						hostName, newID())
					if !trouble {
						fmt.Fprint(c, "0\r\n\r\n")
						_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
						buffer := make([]byte, 4096)
						for {
							if _, err := c.Read(buffer); err != nil {
								break
							}
						}
						c.Close()
						continue
					}
					mu.Lock()
					open++
					mu.Unlock()
				}
				time.Sleep(time.Until(until))
			})
		}
	}
	for range 10 {
		time.Sleep(5 * time.Second)
		mu.Lock()
		f.note("connections opened %d; %v; memory %s", open, online, f.memory())
		for _, i := range f.instances {
			status, _, err := i.call(http.MethodPost, "/pufi791/2f", newID(), tokenHeader(), []byte("{}"), 5*time.Second)
			f.note("  a request to %s: %d %v", i.name, status, err)
		}
		mu.Unlock()
	}
	group.Wait()
	f.note("after: %v; before %d", online, before)
	return f.judge(), nil
}
