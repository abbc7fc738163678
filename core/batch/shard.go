package batch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"eelgrassproxy.example/core/fleet"
)

// Shards is the number of shards among which jobs are divided.
const Shards = 256

// Shard is the number of a shard, from 0 to Shards-1.
type Shard int

// Prefixes of keys in the store.
const (
	ShardsPrefix = "/eelgrass/shards/"
	JobsPrefix   = "/eelgrass/jobs/"
	// OpenPrefix is the prefix of the index of unfinished jobs, by which owners find them without reading the records of finished jobs.
	// An index key is written and deleted in the same transaction as the job's state.
	OpenPrefix = "/eelgrass/jobs-open/"
	// CallersPrefix is the prefix of the index of jobs by caller, by which a caller's jobs are listed without reading all shards.
	CallersPrefix = "/eelgrass/jobs-by-caller/"
)

// Shard returns the shard of the job, which is its id modulo Shards. For an id that isn't valid it returns 0.
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

// Valid reports whether the id is well-formed: a SHA-256 in lower-case hexadecimal.
func (id JobID) Valid() bool {
	raw, err := hex.DecodeString(string(id))
	return err == nil && len(raw) == 32 && strings.ToLower(string(id)) == string(id)
}

// String returns the shard in the form used in keys: three decimal digits.
func (s Shard) String() string { return fmt.Sprintf("%03d", int(s)) }

// OwnerKey returns the key of the record of the shard's owner.
func (s Shard) OwnerKey() string { return ShardsPrefix + s.String() + "/owner" }

// EpochKey returns the key of the highest epoch that an owner of the shard has had.
func (s Shard) EpochKey() string { return ShardsPrefix + s.String() + "/epoch" }

// OpenPrefix returns the prefix of the index keys of the shard's unfinished jobs.
func (s Shard) OpenPrefix() string { return OpenPrefix + s.String() + "/" }

// Key returns the key of the job's record.
func (id JobID) Key() string { return JobsPrefix + id.Shard().String() + "/" + string(id) }

// ChunksPrefix returns the prefix of the job's chunk records.
func (id JobID) ChunksPrefix() string { return id.Key() + "/chunks/" }

// ChunkKey returns the key of the record of chunk n.
func (id JobID) ChunkKey(n int) string { return id.ChunksPrefix() + fmt.Sprintf("%05d", n) }

// OpenKey returns the job's key in the index of unfinished jobs.
func (id JobID) OpenKey() string { return id.Shard().OpenPrefix() + string(id) }

// CallerKey returns the job's key in the index of the caller's jobs.
func (id JobID) CallerKey(caller fleet.CallerID) string {
	return CallersPrefix + CallerDigest(caller) + "/" + string(id)
}

// ParseShardKey splits a key under ShardsPrefix into the shard and the name that follows it ("owner" or "epoch"). It returns false if the key
// has no valid shard or no name.
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

// DecodeOwner decodes a stored owner record. It returns ErrInvalidRecord if the record is malformed.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return Owner{}, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	return o, nil
}

// EncodeEpoch returns the stored form of an epoch, a decimal number. Transactions compare the value byte by byte, so the form must not vary.
func EncodeEpoch(epoch uint64) []byte { return strconv.AppendUint(nil, epoch, 10) }

// DecodeEpoch decodes a stored epoch; an empty value is epoch 0. It returns ErrInvalidRecord if the value isn't a number.
func DecodeEpoch(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrInvalidRecord, err)
	}
	return epoch, nil
}
