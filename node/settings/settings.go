// Package settings reads the YAML settings of an instance: strict about unknown fields, with defaults, and with errors that name the
// setting, its file and line.
package settings

import "time"

// Settings is the whole settings file of an instance.
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
	Workers      int          `yaml:"workers"` // size of the controllers' pool; default 4
}

// Instance identifies this instance.
type Instance struct {
	ID             string `yaml:"id"`               // unique among live instances
	FailureDomain  string `yaml:"failure_domain"`   // must appear in the bundle's topology to count as near anything
	DataFolder     string `yaml:"data_folder"`      // folder for bulk data; empty on an instance without a disk
	DataQuotaBytes int64  `yaml:"data_quota_bytes"` // most bytes in the data folder; default 10 GiB
}

// Listen holds the addresses of the three listeners, each an IP number and port. The advertised addresses are what callers and peers
// connect to; they default to the listen addresses.
type Listen struct {
	Callers          string `yaml:"callers"`
	Peers            string `yaml:"peers"`
	Operators        string `yaml:"operators"`
	AdvertiseCallers string `yaml:"advertise_callers"`
	AdvertisePeers   string `yaml:"advertise_peers"`
	CallersTLS       TLS    `yaml:"callers_tls"`
	PeersTLS         TLS    `yaml:"peers_tls"`
}

// TLS names the files of a listener's certificate; empty files mean plain TCP. With a CA file, clients must show a certificate of it.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	CAFile          string `yaml:"ca_file"`
}

// Enabled tells whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Store is the platform's key-value service.
type Store struct {
	Address     string        `yaml:"address"`      // base URL
	CallTimeout time.Duration `yaml:"call_timeout"` // default 2s
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList struct {
	Address string        `yaml:"address"` // base URL
	Poll    time.Duration `yaml:"poll"`    // default 1s
}

// Peers is the authentication between instances.
type Peers struct {
	TokenFile string `yaml:"token_file"` // shared bearer token, at least 16 bytes
}

// Operators is the authentication of operators.
type Operators struct {
	TokenSHA256 []string `yaml:"token_sha256"` // hexadecimal SHA-256 of each accepted bearer token
}

// Bundle says whose signatures put a bundle in force.
type Bundle struct {
	TrustedKeys        []TrustedKey `yaml:"trusted_keys"`
	RequiredSignatures int          `yaml:"required_signatures"` // distinct operators; default 1
}

// TrustedKey is an operator's ed25519 public key.
type TrustedKey struct {
	Operator  string `yaml:"operator"`
	PublicKey string `yaml:"public_key"` // base64 of the 32 bytes
}

// Requests bounds what one request may cost.
type Requests struct {
	MaxBodyBytes   int64 `yaml:"max_body_bytes"`   // default 1 MiB
	MaxAnswerBytes int64 `yaml:"max_answer_bytes"` // largest answer that is not a stream; default 8 MiB
	MaxInFlight    int   `yaml:"max_in_flight"`    // requests held at once, queued ones included; default 4096
	SubsetSize     int   `yaml:"subset_size"`      // targets of one model or service that this instance uses; default 24
}

// Batch sets how long batch data is kept.
type Batch struct {
	// Retention is the time from the end of a job, and from the upload of a file, to their removal; default 168h, at least 1h.
	Retention time.Duration `yaml:"retention"`
}

// Drain times the shutdown.
type Drain struct {
	EntrypointTTL time.Duration `yaml:"entrypoint_ttl"` // how long callers keep an address; default 10s
	Grace         time.Duration `yaml:"grace"`          // longest wait for the last request after the addresses ran out; default 15m
}

// Log sets the verbosity of klog.
type Log struct {
	Verbosity int `yaml:"verbosity"`
}

// Defaults of the settings.
const (
	DefaultCallTimeout    = 2 * time.Second
	DefaultListPoll       = time.Second
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 8 << 20
	DefaultMaxInFlight    = 4096
	DefaultSubsetSize     = 24
	DefaultEntrypointTTL  = 10 * time.Second
	DefaultGrace          = 15 * time.Minute
	DefaultRetention      = 7 * 24 * time.Hour
	minRetention          = time.Hour // an upload may take 30 minutes before its record names its blobs
	DefaultWorkers        = 4
	DefaultDataQuotaBytes = 10 << 30
)

func (s *Settings) applyDefaults() {
	setDefault(&s.Store.CallTimeout, DefaultCallTimeout)
	setDefault(&s.InstanceList.Poll, DefaultListPoll)
	setDefault(&s.Bundle.RequiredSignatures, 1)
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
