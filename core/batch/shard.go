package batch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"eelgrassproxy.example/core/fleet"
	"github.com/rotisserie/eris"
)

// Shards is the number of shards that jobs map to.
const Shards = 256

// Shard numbers a shard, from 0 to Shards-1.
type Shard int

// Prefixes of keys in the store.
const (
	ShardsPrefix = "/eelgrass/shards/"
	JobsPrefix   = "/eelgrass/jobs/"
	// OpenPrefix precedes one mark for each job that is not finished, so that owners find open jobs without reading the records of
	// finished ones. A mark is written and deleted in the same transaction as the job's state.
	OpenPrefix = "/eelgrass/jobs-open/"
	// CallersPrefix precedes one mark for each job of a caller, so that a caller's jobs are listed without reading all shards.
	CallersPrefix = "/eelgrass/jobs-by-caller/"
)

// Shard returns the shard of the job: its id modulo Shards.
func (id JobID) Shard() Shard {
	const lastByte = 2 // hexadecimal digits
	if len(id) < lastByte {
		return 0
	}
	b, err := hex.DecodeString(string(id[len(id)-lastByte:]))
	if err != nil {
		return 0
	}
	return Shard(b[0])
}

// Valid tells whether the id has the form of a job's id.
func (id JobID) Valid() bool {
	raw, err := hex.DecodeString(string(id))
	return err == nil && len(raw) == 32 && strings.ToLower(string(id)) == string(id)
}

// String returns the shard as keys contain it.
func (s Shard) String() string { return fmt.Sprintf("%03d", int(s)) }

// OwnerKey returns the key of the shard's owner.
func (s Shard) OwnerKey() string { return ShardsPrefix + s.String() + "/owner" }

// EpochKey returns the key of the shard's highest epoch.
func (s Shard) EpochKey() string { return ShardsPrefix + s.String() + "/epoch" }

// OpenPrefix returns the prefix of the marks of the shard's open jobs.
func (s Shard) OpenPrefix() string { return OpenPrefix + s.String() + "/" }

// Key returns the key of the job's record.
func (id JobID) Key() string { return JobsPrefix + id.Shard().String() + "/" + string(id) }

// ChunksPrefix returns the prefix of the job's chunk records.
func (id JobID) ChunksPrefix() string { return id.Key() + "/chunks/" }

// ChunkKey returns the key of the record of chunk n.
func (id JobID) ChunkKey(n int) string { return id.ChunksPrefix() + fmt.Sprintf("%05d", n) }

// OpenKey returns the key of the job's mark among the open jobs.
func (id JobID) OpenKey() string { return id.Shard().OpenPrefix() + string(id) }

// CallerKey returns the key of the job's mark among the caller's jobs.
func (id JobID) CallerKey(caller fleet.CallerID) string {
	return CallersPrefix + CallerDigest(caller) + "/" + string(id)
}

// ParseShardKey splits a key under ShardsPrefix into the shard and the name behind it ("owner" or "epoch").
func ParseShardKey(key string) (Shard, string, bool) {
	number, name, ok := strings.Cut(strings.TrimPrefix(key, ShardsPrefix), "/")
	n, err := strconv.Atoi(number)
	if !ok || err != nil || n < 0 || n >= Shards {
		return 0, "", false
	}
	return Shard(n), name, true
}

// Owner is the value stored for the owner of a shard.
type Owner struct {
	Instance fleet.InstanceID `json:"instance"`
	Epoch    uint64           `json:"epoch"`
}

// Encode returns the record as JSON.
func (o Owner) Encode() ([]byte, error) { return json.Marshal(o) }

// DecodeOwner reads a stored owner record, or returns ErrInvalidRecord.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return Owner{}, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return o, nil
}

// EncodeEpoch returns an epoch as the store holds it: a decimal number. Transactions compare the value as a whole.
func EncodeEpoch(epoch uint64) []byte { return strconv.AppendUint(nil, epoch, 10) }

// DecodeEpoch reads a stored epoch; a missing value is epoch 0.
func DecodeEpoch(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, eris.Wrap(ErrInvalidRecord, err.Error())
	}
	return epoch, nil
}
