package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxBody is max_body_bytes of the configuration.
const maxBody = 4194304

// ends returns the number of machines on which processes ended by themselves three times or more; memory over the limit counts.
func (f *fleet) ends() int {
	machines := 0
	for _, i := range f.instances {
		i.mu.Lock()
		if i.over+i.exits >= 3 {
			machines++
		}
		i.mu.Unlock()
	}
	return machines
}

// isBroken tells whether the rule Fault is broken: on a tenth of the machines in use, two at least, processes ended by themselves three times.
func (f *fleet) isBroken() bool { return f.ends() >= 2 }

// judge writes what the memory and the processes of the fleet did, and returns the outcome by the rule Fault.
func (f *fleet) judge() int {
	for _, i := range f.instances {
		i.mu.Lock()
		f.note("%s: largest resident memory %d MB of %d MB, %d processes over the limit, %d ended otherwise", i.name, i.peakKB>>10, f.memoryMB, i.over, i.exits)
		i.mu.Unlock()
	}
	if f.isBroken() {
		f.note("Fault broken: on %d of %d machines, processes ended three times or more", f.ends(), len(f.instances))
		return broken
	}
	f.note("Fault held: processes ended three times on %d machines", f.ends())
	return held
}

// untilBroken returns a context that ends after a time, or soon after the rule Fault was broken.
func (f *fleet) untilBroken(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		for ctx.Err() == nil && !f.isBroken() {
			time.Sleep(200 * time.Millisecond)
		}
		cancel()
	}()
	return ctx, cancel
}

// bodies lets clients send many bodies of legal size at once that stop just short of their end and stay open, while ordinary clients go on. Without
// trouble, a client sends such bodies whole, one after the other.
func bodies(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 3, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	ordinary, stopOrdinary := context.WithCancel(context.Background())
	defer stopOrdinary()
	online := f.ordinaryClients(ordinary, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	f.note("before: %v", online)
	const clients = 60 // for each machine
	body := bytes.Repeat([]byte("q"), maxBody)
	ctx, cancel := f.untilBroken(40 * time.Second)
	defer cancel()
	f.note("clients send bodies of %d bytes, which is max_body_bytes; they stop short of the end: %v", maxBody, trouble)
	var group sync.WaitGroup
	for _, i := range f.instances {
		if !trouble {
			group.Go(func() {
				for ctx.Err() == nil {
					id := newID()
					status, _, err := i.call(http.MethodPost, "/pufi791/2f", id, tokenHeader(), body, 5*time.Second)
					f.note("request %s with the whole body sent to %s: status %d, error %v", id, i.name, status, err)
					time.Sleep(time.Second)
				}
			})
			continue
		}
		for range clients {
			group.Go(func() {
				for ctx.Err() == nil {
					i.stopShort(ctx, body)
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		f.note("%d clients at %s", clients, i.name)
	}
	group.Wait()
	f.note("after: %v", online)
	return f.judge(), nil
}

// stopShort sends a request whose body stops just short of its end, and keeps the connection open until the other side closes it, or until ctx ends.
func (i *instance) stopShort(ctx context.Context, body []byte) {
	c, err := net.DialTimeout("tcp", net.JoinHostPort(i.host, frontPort), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := fmt.Fprintf(c, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 450,180\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
		hostName, newID(), len(body)); err != nil {
		return
	}
	if _, err := c.Write(body[:len(body)-100]); err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 1))
}
