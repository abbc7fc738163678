package kv

import (
	"strconv"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/api/platform"
)

// prefixRange returns the range of keys [from, end) that start with the prefix, in the store's notation: the end "\x00" means no
// upper bound.
func prefixRange(prefix string) (from, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}

// parseNumber reads a 64-bit integer in its JSON form, a decimal string. An absent one is 0.
func parseNumber(wire platform.OptString) (int64, error) {
	if !wire.Set || wire.Value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(wire.Value, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "number %q", wire.Value)
	}
	return n, nil
}

func formatNumber(n int64) platform.OptString {
	if n == 0 {
		return platform.OptString{}
	}
	return platform.NewOptString(strconv.FormatInt(n, 10))
}

func formatLease(id LeaseID) string {
	return strconv.FormatInt(int64(id), 10)
}

// headerRevision reads the revision that each answer carries. It is required: otherwise any empty JSON object would pass for the
// statement that a key does not exist.
func headerRevision(wire platform.OptHeader) (Revision, error) {
	n, err := parseNumber(wire.Value.Revision)
	if err == nil && n <= 0 {
		err = eris.New("answer without a revision")
	}
	return Revision(n), err
}

func keyValue(wire platform.KeyValue) (KeyValue, error) {
	created, err := parseNumber(wire.CreateRevision)
	if err != nil {
		return KeyValue{}, err
	}
	modified, err := parseNumber(wire.ModRevision)
	if err != nil {
		return KeyValue{}, err
	}
	lease, err := parseNumber(wire.Lease)
	if err != nil {
		return KeyValue{}, err
	}
	return KeyValue{
		Key:            string(wire.Key),
		Value:          wire.Value,
		CreateRevision: Revision(created),
		ModRevision:    Revision(modified),
		Lease:          LeaseID(lease),
	}, nil
}

func keyValues(wire []platform.KeyValue) ([]KeyValue, error) {
	items := make([]KeyValue, 0, len(wire))
	for _, w := range wire {
		item, err := keyValue(w)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func listing(res *platform.RangeResponse) (Listing, error) {
	revision, err := headerRevision(res.Header)
	if err != nil {
		return Listing{}, err
	}
	if res.More.Or(false) {
		return Listing{}, eris.New("listing is incomplete")
	}
	items, err := keyValues(res.Kvs)
	if err != nil {
		return Listing{}, err
	}
	return Listing{Revision: revision, Items: items}, nil
}

// grantedLease checks that the lease lives at least as long as asked for: its holder counts on that.
func grantedLease(res *platform.LeaseGrantResponse, seconds int64) (LeaseID, error) {
	granted, err := parseNumber(res.TTL)
	if err != nil {
		return 0, err
	}
	if granted < seconds {
		return 0, eris.Errorf("lease of %d s granted instead of %d s", granted, seconds)
	}
	id, err := parseNumber(res.ID)
	if err != nil {
		return 0, err
	}
	if id == 0 {
		return 0, eris.New("lease has no id")
	}
	return LeaseID(id), nil
}

func txnRequest(txn Txn) (*platform.TxnRequest, error) {
	success, err := requestOps(txn.Then)
	if err != nil {
		return nil, err
	}
	failure, err := requestOps(txn.Else)
	if err != nil {
		return nil, err
	}
	req := &platform.TxnRequest{Success: success, Failure: failure}
	for _, c := range txn.Compares {
		req.Compare = append(req.Compare, requestCompare(c))
	}
	return req, nil
}

func requestCompare(c Compare) platform.Compare {
	wire := platform.Compare{Key: []byte(c.Key), Result: platform.NewOptCompareResult(platform.CompareResultEQUAL)}
	revision := platform.NewOptString(strconv.FormatInt(int64(c.Revision), 10))
	switch c.Target {
	case CompareModRevision:
		wire.Target = platform.CompareTargetMOD
		wire.ModRevision = revision
	case CompareValue:
		wire.Target = platform.CompareTargetVALUE
		wire.Value = c.Value
	default:
		wire.Target = platform.CompareTargetCREATE
		wire.CreateRevision = revision
	}
	return wire
}

func requestOps(ops []Op) ([]platform.RequestOp, error) {
	wire := make([]platform.RequestOp, 0, len(ops))
	for _, op := range ops {
		if len(op.Value) > MaxValueBytes {
			return nil, eris.Wrapf(ErrValueTooLarge, "key %q: %d bytes", op.Key, len(op.Value))
		}
		wire = append(wire, requestOp(op))
	}
	return wire, nil
}

func requestOp(op Op) platform.RequestOp {
	key := []byte(op.Key)
	switch op.Kind {
	case OpPut:
		put := platform.PutRequest{Key: key, Value: op.Value, Lease: formatNumber(int64(op.Lease))}
		return platform.RequestOp{RequestPut: platform.NewOptPutRequest(put)}
	case OpDelete:
		del := platform.DeleteRangeRequest{Key: key}
		return platform.RequestOp{RequestDeleteRange: platform.NewOptDeleteRangeRequest(del)}
	default:
		get := platform.RangeRequest{Key: key}
		return platform.RequestOp{RequestRange: platform.NewOptRangeRequest(get)}
	}
}

func txnResult(txn Txn, res *platform.TxnResponse) (TxnResult, error) {
	revision, err := headerRevision(res.Header)
	if err != nil {
		return TxnResult{}, err
	}
	result := TxnResult{Succeeded: res.Succeeded.Or(false), Revision: revision}
	branch := txn.Else
	if result.Succeeded {
		branch = txn.Then
	}
	if len(res.Responses) != len(branch) {
		return TxnResult{}, eris.Errorf("%d results for %d operations", len(res.Responses), len(branch))
	}
	for i, op := range branch {
		if op.Kind != OpGet {
			continue
		}
		read, err := keyValues(res.Responses[i].ResponseRange.Value.Kvs)
		if err != nil {
			return TxnResult{}, err
		}
		if len(read) == 0 {
			read = []KeyValue{{Key: op.Key}}
		}
		result.Gets = append(result.Gets, read[0])
	}
	return result, nil
}
