package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxFiles     = 4100 // descriptors of a process, as the settings say
	unfinished   = 4400 // connections that are opened to the machine
	routeTimeout = 5 * time.Second
)

// answerTimes counts how long requests went without an answer.
type answerTimes struct {
	mu                        sync.Mutex
	sent, atTimeout, halfLate int
}

// ask sends an ordinary stream on a new connection and counts whether it has an answer at its route's timeout, and half a second later. Any status is an
// answer, and so is a connection that the machine closes.
func (a *answerTimes) ask(i *instance) (time.Duration, string) {
	started := time.Now()
	status, _, err := i.call(http.MethodPost, "/pufi791/2f", newID(), tokenHeader(), []byte("{}"), routeTimeout+600*time.Millisecond)
	took := time.Since(started)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	if took >= routeTimeout {
		a.atTimeout++
	}
	if took >= routeTimeout+500*time.Millisecond && status == 0 {
		a.halfLate++
	}
	return took, fmt.Sprintf("status %d, error %v", status, err)
}

// isBroken is the rule CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a second later.
// Less than ten such requests are not judged.
func (a *answerTimes) isBroken() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.atTimeout >= 10 && 2*a.halfLate > a.atTimeout
}

func (a *answerTimes) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("%d ordinary requests to the machine, %d unanswered at the route's timeout, %d of them half a second later", a.sent, a.atTimeout, a.halfLate)
}

// sockets lets clients open connections to one machine whose small chunked bodies stop just short of their end, and stay. Ordinary clients go on. Without
// trouble, the same clients end their bodies and close when they have the answer.
func sockets(folder string, trouble bool) (int, error) {
	f, err := newFleet(folder, options{instances: 3, targets: 3, events: 20, pause: 20 * time.Millisecond, memoryMB: 134, maxFiles: maxFiles})
	defer f.stop()
	if err != nil {
		return cannotRun, err
	}
	i := f.instances[0]
	var before answerTimes
	for range 5 {
		took, text := before.ask(i)
		f.note("before: a request to %s: %s after %d ms", i.name, text, took.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var opened, ended int
	var mu sync.Mutex
	var group sync.WaitGroup
	const parallel = 44
	for range parallel {
		group.Go(func() {
			for range unfinished / parallel {
				if ctx.Err() != nil {
					return
				}
				c, err := i.openUnfinished()
				if err != nil {
					continue
				}
				mu.Lock()
				opened++
				mu.Unlock()
				if trouble {
					defer c.Close()
					continue
				}
				fmt.Fprint(c, "0\r\n\r\n")
				_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
				if n, _ := c.Read(make([]byte, 4096)); n > 0 {
					mu.Lock()
					ended++
					mu.Unlock()
				}
				c.Close()
			}
			<-ctx.Done()
		})
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	f.note("%d connections to %s were opened, with a body of two chunks of one byte and no end: %v; %d were answered", opened, i.name, trouble, ended)
	mu.Unlock()
	var times answerTimes
	for ctx.Err() == nil {
		group.Go(func() {
			took, text := times.ask(i)
			f.note("a request to %s: %s after %d ms", i.name, text, took.Milliseconds())
		})
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	mu.Lock()
	f.note("%d connections opened, %d answered; %v; memory%s", opened, ended, &times, f.memory())
	mu.Unlock()
	if times.isBroken() {
		f.note("CONFIG broken")
		return broken, nil
	}
	f.note("CONFIG held")
	return held, nil
}

// openUnfinished opens a connection and sends a request whose chunked body lacks its end.
func (i *instance) openUnfinished() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", net.JoinHostPort(i.host, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 450,180\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nq\r\n1\r\nq\r\n",
		hostName, newID())
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
