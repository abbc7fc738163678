package store

import (
	"context"
	"strconv"
	"time"

	"eelgrassproxy.example/api/platform"
)

// LeaseGrant implements the lease grant operation.
func (h *handler) LeaseGrant(_ context.Context, req *platform.LeaseGrantRequest) (platform.LeaseGrantRes, error) {
	seconds, err := strconv.ParseInt(req.TTL, 10, 64)
	if err != nil || seconds <= 0 {
		return invalid("TTL must be a positive number of seconds"), nil
	}
	id, refusal := parseNumber(req.ID)
	if refusal != nil {
		return refusal, nil
	}
	h.faults.beforeWrite()
	res := h.grant(id, time.Duration(seconds)*time.Second)
	h.faults.afterWrite()
	return res, nil
}

func (h *handler) grant(id int64, ttl time.Duration) platform.LeaseGrantRes {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == 0 {
		h.state.nextLease++
		id = h.state.nextLease
	}
	if _, taken := h.state.leases[id]; taken {
		return invalid(messageLeaseExists)
	}
	l := &lease{id: id, ttl: ttl, deadline: time.Now().Add(ttl), keys: map[string]struct{}{}}
	l.timer = time.AfterFunc(ttl, func() { h.expireIfDue(l) })
	h.state.leases[id] = l
	return &platform.LeaseGrantResponse{Header: header(h.state.revision), ID: number(id), TTL: seconds(ttl)}
}

// LeaseKeepAlive implements the lease keepalive operation. A lease that is gone gives TTL 0, as in etcd.
func (h *handler) LeaseKeepAlive(_ context.Context, req *platform.LeaseRequest) (platform.LeaseKeepAliveRes, error) {
	id, refusal := parseNumber(platform.NewOptString(req.ID))
	if refusal != nil {
		return refusal, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	result := platform.LeaseKeepAliveResponseResult{Header: header(h.state.revision), ID: number(id)}
	l, ok := h.state.leases[id]
	if ok {
		l.deadline = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		result.TTL = seconds(l.ttl)
	}
	return &platform.LeaseKeepAliveResponse{Result: result}, nil
}

// LeaseRevoke implements the lease revoke operation.
func (h *handler) LeaseRevoke(_ context.Context, req *platform.LeaseRequest) (platform.LeaseRevokeRes, error) {
	id, refusal := parseNumber(platform.NewOptString(req.ID))
	if refusal != nil {
		return refusal, nil
	}
	h.faults.beforeWrite()
	ended := h.endLease(id)
	h.faults.afterWrite()
	if !ended {
		return leaseNotFound(), nil
	}
	return &platform.LeaseRevokeResponse{Header: header(h.currentRevision())}, nil
}

// expireIfDue ends the lease unless a renewal moved its deadline after the timer fired.
func (h *handler) expireIfDue(l *lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.leases[l.id] != l || time.Now().Before(l.deadline) {
		return
	}
	h.state.endLease(l.id)
	h.wakeWatches()
}

func (h *handler) endLease(id int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := h.state.endLease(id)
	if ended {
		h.wakeWatches()
	}
	return ended
}

func (h *handler) currentRevision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.revision
}

func seconds(d time.Duration) platform.OptString {
	return number(int64(d / time.Second))
}
