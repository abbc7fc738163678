package store

import (
	"context"
	"net/http"

	"eelgrassproxy.example/api/platform"
)

// Range implements the range operation on the current revision.
func (h *handler) Range(_ context.Context, req *platform.RangeRequest) (platform.RangeRes, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	res, refusal := h.state.readRange(*req)
	if refusal != nil {
		return refusal, nil
	}
	return &res, nil
}

// Txn implements the txn operation: all comparisons first, then the operations of one branch in one revision.
func (h *handler) Txn(_ context.Context, req *platform.TxnRequest) (platform.TxnRes, error) {
	if refusal := checkTxn(req, h.maxValue); refusal != nil {
		return refusal, nil
	}
	writes := hasWrite(req.Success) || hasWrite(req.Failure)
	if writes {
		h.faults.beforeWrite()
	}
	res := h.applyTxn(req)
	if writes {
		h.faults.afterWrite()
	}
	return res, nil
}

func (h *handler) applyTxn(req *platform.TxnRequest) platform.TxnRes {
	h.mu.Lock()
	defer h.mu.Unlock()
	succeeded := true
	for _, c := range req.Compare {
		held, refusal := h.state.holds(c)
		if refusal != nil {
			return refusal
		}
		succeeded = succeeded && held
	}
	branch := req.Failure
	if succeeded {
		branch = req.Success
	}
	if refusal := h.state.checkBranch(branch); refusal != nil {
		return refusal
	}
	before := h.state.revision
	responses := h.state.applyBranch(branch)
	if h.state.revision != before {
		h.wakeWatches()
	}
	return &platform.TxnResponse{
		Header:    header(h.state.revision),
		Succeeded: platform.NewOptBool(succeeded),
		Responses: responses,
	}
}

// checkTxn refuses what the store refuses regardless of its contents.
func checkTxn(req *platform.TxnRequest, maxValue int) *platform.ErrorStatusCode {
	for _, branch := range [][]platform.RequestOp{req.Success, req.Failure} {
		if len(branch) > maxOps || len(req.Compare) > maxOps {
			return invalid(messageTooManyOps)
		}
		put := map[string]bool{}
		for _, op := range branch {
			if !op.RequestPut.Set {
				continue
			}
			p := op.RequestPut.Value
			if len(p.Value) > maxValue {
				return invalid(messageTooLarge)
			}
			if put[string(p.Key)] {
				return invalid(messageDuplicateKey)
			}
			put[string(p.Key)] = true
		}
	}
	return nil
}

// checkBranch refuses a branch that names a missing lease or a past revision, before anything is written.
func (s *state) checkBranch(branch []platform.RequestOp) *platform.ErrorStatusCode {
	for _, op := range branch {
		if op.RequestRange.Set {
			if _, refusal := s.readRange(op.RequestRange.Value); refusal != nil {
				return refusal
			}
		}
		if op.RequestPut.Set {
			id, refusal := parseNumber(op.RequestPut.Value.Lease)
			if refusal != nil {
				return refusal
			}
			if _, ok := s.leases[id]; id != 0 && !ok {
				return leaseNotFound()
			}
		}
	}
	return nil
}

// applyBranch runs operations that checkBranch has passed.
func (s *state) applyBranch(branch []platform.RequestOp) []platform.ResponseOp {
	responses := make([]platform.ResponseOp, 0, len(branch))
	next := s.revision + 1
	for _, op := range branch {
		responses = append(responses, s.applyOp(next, op))
	}
	return responses
}

func (s *state) applyOp(next int64, op platform.RequestOp) platform.ResponseOp {
	switch {
	case op.RequestPut.Set:
		p := op.RequestPut.Value
		leaseID, _ := parseNumber(p.Lease) // checked by checkBranch
		s.put(next, string(p.Key), p.Value, leaseID)
		s.revision = next
		return platform.ResponseOp{ResponsePut: platform.NewOptResponseOpResponsePut(platform.ResponseOpResponsePut{
			Header: header(s.revision),
		})}
	case op.RequestDeleteRange.Set:
		d := op.RequestDeleteRange.Value
		var deleted int64
		for _, r := range s.selectRange(d.Key, d.RangeEnd) {
			s.deleteKey(next, r.key)
			s.revision = next
			deleted++
		}
		return platform.ResponseOp{ResponseDeleteRange: platform.NewOptResponseOpResponseDeleteRange(
			platform.ResponseOpResponseDeleteRange{Header: header(s.revision), Deleted: number(deleted)},
		)}
	default:
		res, _ := s.readRange(op.RequestRange.Value) // checked by checkBranch
		return platform.ResponseOp{ResponseRange: platform.NewOptRangeResponse(res)}
	}
}

func (s *state) readRange(req platform.RangeRequest) (platform.RangeResponse, *platform.ErrorStatusCode) {
	revision, refusal := parseNumber(req.Revision)
	if refusal != nil {
		return platform.RangeResponse{}, refusal
	}
	if revision != 0 && revision < s.compacted {
		return platform.RangeResponse{}, refuse(http.StatusBadRequest, codeOutOfRange, messageCompacted)
	}
	if revision != 0 && revision != s.revision {
		return platform.RangeResponse{}, refuse(http.StatusNotImplemented, codeUnimplemented, "past revisions are not kept")
	}
	limit, refusal := parseNumber(req.Limit)
	if refusal != nil {
		return platform.RangeResponse{}, refusal
	}
	least, refusal := parseNumber(req.MinModRevision)
	if refusal != nil {
		return platform.RangeResponse{}, refusal
	}
	found := s.selectRange(req.Key, req.RangeEnd)
	res := platform.RangeResponse{Header: header(s.revision), Count: number(int64(len(found)))}
	for _, r := range found {
		if r.modRevision < least {
			continue
		}
		if limit > 0 && int64(len(res.Kvs)) == limit {
			res.More = platform.NewOptBool(true)
			break
		}
		res.Kvs = append(res.Kvs, r.wire(req.KeysOnly.Or(false)))
	}
	return res, nil
}

func (r record) wire(keyOnly bool) platform.KeyValue {
	kv := platform.KeyValue{
		Key:            []byte(r.key),
		Value:          r.value,
		CreateRevision: number(r.createRevision),
		ModRevision:    number(r.modRevision),
		Version:        number(r.version),
		Lease:          number(r.lease),
	}
	if keyOnly {
		kv.Value = nil
	}
	return kv
}

func hasWrite(branch []platform.RequestOp) bool {
	for _, op := range branch {
		if op.RequestPut.Set || op.RequestDeleteRange.Set {
			return true
		}
	}
	return false
}
