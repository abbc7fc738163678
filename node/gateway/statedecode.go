package gateway

import (
	"github.com/go-faster/jx"

	"eelgrassproxy.example/adapters/kv"
	"eelgrassproxy.example/node/kvmirror"
)

// decodeState decodes copies by their names. It does what json.Unmarshal does, in a fraction of the processor time: an instance with 0.13 cores would
// spend 0.2 s on a list of 3,000 targets.
func decodeState(raw []byte) (map[string]kvmirror.Snapshot, error) {
	state := make(map[string]kvmirror.Snapshot)
	d := jx.DecodeBytes(raw)
	err := d.Obj(func(d *jx.Decoder, name string) error {
		snapshot, err := decodeSnapshot(d)
		state[name] = snapshot
		return err
	})
	return state, err
}

func decodeSnapshot(d *jx.Decoder) (s kvmirror.Snapshot, err error) {
	err = d.ObjBytes(func(d *jx.Decoder, field []byte) (err error) {
		if d.Next() == jx.Null {
			return d.Null()
		}
		switch string(field) {
		case "revision":
			s.Revision, err = decodeRevision(d)
		case "since":
			s.Since, err = decodeRevision(d)
		case "complete":
			s.Complete, err = d.Bool()
		case "digest":
			s.Digest, err = d.UInt64()
		case "horizon":
			s.Horizon = &kvmirror.Horizon{}
			err = d.ObjBytes(func(d *jx.Decoder, field []byte) (err error) {
				switch string(field) {
				case "revision":
					s.Horizon.Revision, err = decodeRevision(d)
				case "age_ms":
					s.Horizon.AgeMs, err = d.Int64()
				default:
					err = d.Skip()
				}
				return err
			})
		case "removed":
			err = d.Arr(func(d *jx.Decoder) error {
				key, err := d.Str()
				s.Removed = append(s.Removed, key)
				return err
			})
		case "items":
			s.Items = []kv.KeyValue{}
			err = d.Arr(func(d *jx.Decoder) error {
				item, err := decodeItem(d)
				s.Items = append(s.Items, item)
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	return s, err
}

func decodeItem(d *jx.Decoder) (item kv.KeyValue, err error) {
	err = d.ObjBytes(func(d *jx.Decoder, field []byte) (err error) {
		if d.Next() == jx.Null {
			return d.Null()
		}
		switch string(field) {
		case "Key":
			item.Key, err = d.Str()
		case "Value":
			item.Value, err = d.Base64()
		case "CreateRevision":
			item.CreateRevision, err = decodeRevision(d)
		case "ModRevision":
			item.ModRevision, err = decodeRevision(d)
		case "Lease":
			var lease int64
			lease, err = d.Int64()
			item.Lease = kv.LeaseID(lease)
		default:
			err = d.Skip()
		}
		return err
	})
	return item, err
}

func decodeRevision(d *jx.Decoder) (kv.Revision, error) {
	n, err := d.Int64()
	return kv.Revision(n), err
}
