package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes bounds the bytes in flight in one direction of a connection, like a socket buffer.
const bufferBytes = 64 << 10

// chunk is one write on its way, or the end of the direction.
type chunk struct {
	data []byte
	at   time.Time // not readable before
	end  bool
}

// half is one direction of a connection.
type half struct {
	network  *Network
	from, to string

	mu       sync.Mutex
	cond     *sync.Cond
	chunks   []chunk
	buffered int       // bytes in chunks
	last     time.Time // delivery time of the last chunk; chunks never overtake each other

	reset       bool // both ends fail
	silent      bool // nothing is delivered for good
	held        bool // nothing is delivered during a partition
	writeClosed bool // the writer's end is closed
	readClosed  bool // the reader's end is closed

	readDeadline, writeDeadline deadline
}

// deadline is a point in time with the timer that wakes the waiting call.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newHalf(n *Network, from, to string) *half {
	h := &half{network: n, from: from, to: to}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *half) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.cond.Broadcast()
}

func (h *half) setDeadline(d *deadline, t time.Time) {
	h.update(func() {
		if d.timer != nil {
			d.timer.Stop()
		}
		*d = deadline{at: t}
		if wait := time.Until(t); !t.IsZero() && wait > 0 {
			d.timer = time.AfterFunc(wait, h.wake)
		}
	})
}

func (h *half) wake() { h.update(func() {}) }

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.readClosed:
			return 0, net.ErrClosed
		case h.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case h.reset:
			return 0, syscall.ECONNRESET
		case len(b) == 0:
			return 0, nil
		}
		if h.readable() {
			return h.take(b)
		}
		h.cond.Wait()
	}
}

// readable tells whether the first chunk has arrived, and arms a timer for a chunk that is still on its way.
func (h *half) readable() bool {
	if h.silent || h.held || len(h.chunks) == 0 {
		return false
	}
	wait := time.Until(h.chunks[0].at)
	if wait > 0 {
		time.AfterFunc(wait, h.wake)
	}
	return wait <= 0
}

func (h *half) take(b []byte) (int, error) {
	first := &h.chunks[0]
	if first.end {
		return 0, io.EOF
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	h.buffered -= n
	h.cond.Broadcast()
	return n, nil
}

func (h *half) write(b []byte) (int, error) {
	delay := h.network.delay(h.from, h.to)
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for {
		switch {
		case h.writeClosed:
			return written, net.ErrClosed
		case h.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		case h.reset:
			return written, syscall.ECONNRESET
		case h.readClosed && !h.silent:
			return written, syscall.EPIPE
		case len(b) == written:
			return written, nil
		}
		if room := bufferBytes - h.buffered; room > 0 {
			part := b[written:min(len(b), written+room)]
			h.push(chunk{data: append([]byte(nil), part...)}, delay)
			written += len(part)
			continue
		}
		h.cond.Wait()
	}
}

func (h *half) push(c chunk, delay time.Duration) {
	c.at = time.Now().Add(delay)
	if c.at.Before(h.last) {
		c.at = h.last
	}
	h.last = c.at
	h.buffered += len(c.data)
	h.chunks = append(h.chunks, c)
	h.cond.Broadcast()
}

func (h *half) closeWrite() {
	delay := h.network.delay(h.from, h.to)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.writeClosed {
		return
	}
	h.writeClosed = true
	h.push(chunk{end: true}, delay)
}

func (h *half) closeRead() { h.update(func() { h.readClosed = true }) }
