package membership

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/core/fleet"
)

// MembersPrefix is the prefix of the membership records in the store.
const MembersPrefix = "/eelgrass/members/"

// ErrBadRecord is returned for a membership record that cannot be decoded.
var ErrBadRecord = eris.New("membership record is malformed")

// record is the JSON form of a membership record.
type record struct {
	Instance      fleet.InstanceID    `json:"instance"`
	Incarnation   uint64              `json:"incarnation"`
	Draining      bool                `json:"draining,omitempty"`
	PeerAddress   string              `json:"peer_address"`
	CallerAddress string              `json:"caller_address"`
	HasDisk       bool                `json:"has_disk,omitempty"`
	FailureDomain fleet.FailureDomain `json:"failure_domain"`
	Capacity      float64             `json:"capacity_cores,omitempty"`
}

// EncodeRecord returns the membership record of m, the value of the key MembersPrefix + m.ID in the store.
func EncodeRecord(m fleet.Member) ([]byte, error) {
	return json.Marshal(record{
		Instance:      m.ID,
		Incarnation:   m.Incarnation,
		Draining:      m.State == fleet.MemberDraining,
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		HasDisk:       m.HasDisk,
		FailureDomain: m.FailureDomain,
		Capacity:      m.Capacity,
	})
}

// DecodeRecordOf decodes the membership record under a key of the store. It returns ErrBadRecord also for a record of another instance than the
// one that the key names.
func DecodeRecordOf(key string, value []byte) (fleet.Member, error) {
	m, err := DecodeRecord(value)
	if err == nil && key != MembersPrefix+string(m.ID) {
		return fleet.Member{}, eris.Wrapf(ErrBadRecord, "record of instance %q under key %q", m.ID, key)
	}
	return m, err
}

// DecodeRecord decodes a membership record, or returns ErrBadRecord. A negative capacity is read as 0.
func DecodeRecord(value []byte) (fleet.Member, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return fleet.Member{}, fmt.Errorf("%w: %v", ErrBadRecord, err)
	}
	if r.Instance == "" {
		return fleet.Member{}, eris.Wrap(ErrBadRecord, "instance is empty")
	}
	state := fleet.MemberAlive
	if r.Draining {
		state = fleet.MemberDraining
	}
	return fleet.Member{
		ID:            r.Instance,
		Incarnation:   r.Incarnation,
		State:         state,
		PeerAddress:   r.PeerAddress,
		CallerAddress: r.CallerAddress,
		HasDisk:       r.HasDisk,
		FailureDomain: r.FailureDomain,
		Capacity:      max(r.Capacity, 0),
	}, nil
}
