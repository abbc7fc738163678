// Package settings reads the YAML settings file of an instance. It rejects unknown fields, applies defaults, and returns errors that name
// the setting, its file and its line.
package settings

import "time"

// Settings is the content of an instance's settings file.
type Settings struct {
	Instance     Instance     `yaml:"instance"`
	Listen       Listen       `yaml:"listen"`
	Store        Store        `yaml:"store"`
	InstanceList InstanceList `yaml:"instance_list"`
	Peers        Peers        `yaml:"peers"`
	Operators    Operators    `yaml:"operators"`
	Bundle       Bundle       `yaml:"bundle"`
	Requests     Requests     `yaml:"requests"`
	Batch        Batch        `yaml:"batch"`
	Drain        Drain        `yaml:"drain"`
	Log          Log          `yaml:"log"`
	Process      Process      `yaml:"process"`
	Workers      int          `yaml:"workers"` // number of workers that run the controllers; default 4
}

// Instance identifies this instance.
type Instance struct {
	ID             string `yaml:"id"`               // unique among live instances
	FailureDomain  string `yaml:"failure_domain"`   // must appear in the bundle's topology; otherwise it counts as near no other domain
	DataFolder     string `yaml:"data_folder"`      // folder for bulk data such as blobs; empty on an instance without a disk
	DataQuotaBytes int64  `yaml:"data_quota_bytes"` // maximum number of bytes in the data folder; default 10 GiB
}

// Listen holds the addresses of the three listeners, each an IP address and port. Callers and peers connect to the advertised addresses,
// which default to the listen addresses.
type Listen struct {
	Callers          string `yaml:"callers"`
	Peers            string `yaml:"peers"`
	Operators        string `yaml:"operators"`
	AdvertiseCallers string `yaml:"advertise_callers"`
	AdvertisePeers   string `yaml:"advertise_peers"`
	CallersTLS       TLS    `yaml:"callers_tls"`
	PeersTLS         TLS    `yaml:"peers_tls"`
}

// TLS holds the paths of a listener's certificate files; empty paths mean plain TCP. With a CA file, clients must present a certificate
// that this CA has signed.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	CAFile          string `yaml:"ca_file"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Store configures the access to the platform's key-value store.
type Store struct {
	Address     string        `yaml:"address"`      // base URL
	CallTimeout time.Duration `yaml:"call_timeout"` // timeout of one call; default 2s
}

// InstanceList configures the access to the platform's list of live and leaving instances.
type InstanceList struct {
	Address string        `yaml:"address"` // base URL
	Poll    time.Duration `yaml:"poll"`    // interval between polls of the list; default 1s
}

// Peers configures how instances authenticate to each other.
type Peers struct {
	TokenFile string `yaml:"token_file"` // file with the bearer token that all instances share, at least 16 bytes
}

// Operators configures how operators authenticate.
type Operators struct {
	TokenSHA256 []string `yaml:"token_sha256"` // hexadecimal SHA-256 of each accepted bearer token
}

// Bundle configures whose signatures a bundle must have to be put in force.
type Bundle struct {
	TrustedKeys        []TrustedKey `yaml:"trusted_keys"`
	RequiredSignatures int          `yaml:"required_signatures"` // minimum number of distinct operators that signed; default 1
}

// TrustedKey is an operator's ed25519 public key.
type TrustedKey struct {
	Operator  string `yaml:"operator"`
	PublicKey string `yaml:"public_key"` // the 32 bytes of the key in base64
}

// Requests limits the size and number of requests, and the targets they use.
type Requests struct {
	MaxBodyBytes   int64 `yaml:"max_body_bytes"`   // maximum size of a request body; default 1 MiB
	MaxAnswerBytes int64 `yaml:"max_answer_bytes"` // maximum size of a response that is not a stream; default 8 MiB
	MaxInFlight    int   `yaml:"max_in_flight"`    // maximum number of requests at a time, including queued ones; default 4096
	SubsetSize     int   `yaml:"subset_size"`      // number of targets of a model or service that this instance uses; default 24
}

// Batch configures how long batch data is stored.
type Batch struct {
	// Retention is the time from the end of a job to the removal of its data, and from the upload of a file to its removal; default 168h,
	// at least 1h.
	Retention time.Duration `yaml:"retention"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	EntrypointTTL time.Duration `yaml:"entrypoint_ttl"` // time for which callers use an address that they were given; default 10s
	Grace         time.Duration `yaml:"grace"`          // maximum wait for running requests after the addresses have expired; default 15m
}

// Log sets the verbosity of klog.
type Log struct {
	Verbosity int `yaml:"verbosity"`
}

// Process states the limits of the process, of which requests and connections of callers get a part each.
type Process struct {
	MemoryBytes    int64 `yaml:"memory_bytes"`    // memory that the process may use; default 1 GiB
	MaxDescriptors int   `yaml:"max_descriptors"` // descriptors that it may open; default the operating system's limit
}

// Defaults and minimum values of the settings.
const (
	DefaultCallTimeout    = 2 * time.Second
	DefaultListPoll       = time.Second
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 8 << 20
	DefaultMaxInFlight    = 4096
	DefaultMemoryBytes    = 1 << 30
	DefaultSubsetSize     = 24
	DefaultEntrypointTTL  = 10 * time.Second
	DefaultGrace          = 15 * time.Minute
	DefaultRetention      = 7 * 24 * time.Hour
	minRetention          = time.Hour // more than the 30 minutes that an upload may take before its record refers to its blobs
	DefaultWorkers        = 4
	DefaultDataQuotaBytes = 10 << 30
)

func (s *Settings) applyDefaults() {
	setDefault(&s.Store.CallTimeout, DefaultCallTimeout)
	setDefault(&s.InstanceList.Poll, DefaultListPoll)
	setDefault(&s.Bundle.RequiredSignatures, 1)
	setDefault(&s.Process.MemoryBytes, DefaultMemoryBytes)
	setDefault(&s.Requests.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Requests.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&s.Requests.MaxInFlight, DefaultMaxInFlight)
	setDefault(&s.Requests.SubsetSize, DefaultSubsetSize)
	setDefault(&s.Batch.Retention, DefaultRetention)
	setDefault(&s.Drain.EntrypointTTL, DefaultEntrypointTTL)
	setDefault(&s.Drain.Grace, DefaultGrace)
	setDefault(&s.Workers, DefaultWorkers)
	setDefault(&s.Instance.DataQuotaBytes, DefaultDataQuotaBytes)
	setDefault(&s.Listen.AdvertiseCallers, s.Listen.Callers)
	setDefault(&s.Listen.AdvertisePeers, s.Listen.Peers)
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
