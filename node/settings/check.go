package settings

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// problem is a setting that violates a rule. path is the path of the setting in the file, such as listen.callers.
type problem struct {
	path    string
	message string
}

// checker collects the problems of the settings.
type checker struct{ problems []problem }

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, problem{path: path, message: fmt.Sprintf(format, args...)})
}

// problems returns all violated rules, in the order of the checks.
func (s *Settings) problems() []problem {
	c := &checker{}
	c.required("instance.id", s.Instance.ID)
	c.required("instance.failure_domain", s.Instance.FailureDomain)
	c.addresses(s)
	c.baseURL("store.address", s.Store.Address)
	c.baseURL("instance_list.address", s.InstanceList.Address)
	c.required("peers.token_file", s.Peers.TokenFile)
	c.operators(s.Operators)
	c.keys(s.Bundle)
	c.numbers(s)
	return c.problems
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "is required")
	}
}

func (c *checker) addresses(s *Settings) {
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.advertise_callers", s.Listen.AdvertiseCallers)
	c.address("listen.advertise_peers", s.Listen.AdvertisePeers)
	c.tls("listen.callers_tls", s.Listen.CallersTLS)
	c.tls("listen.peers_tls", s.Listen.PeersTLS)
}

// address requires an IP address with a port, since instances connect to each other by IP address and no name service is available.
func (c *checker) address(path, value string) {
	if value == "" {
		c.add(path, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "%q is not an IP number with a port", value)
	}
}

func (c *checker) tls(path string, t TLS) {
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		c.add(path, "certificate_file and key_file go together")
	}
	if t.CAFile != "" && t.CertificateFile == "" {
		c.add(path, "ca_file needs certificate_file")
	}
}

func (c *checker) baseURL(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(path, "%q is not an http or https URL", value)
	}
}

func (c *checker) operators(o Operators) {
	for i, digest := range o.TokenSHA256 {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != 32 {
			c.add(fmt.Sprintf("operators.token_sha256[%d]", i), "is not a hexadecimal SHA-256")
		}
	}
}

func (c *checker) keys(b Bundle) {
	seen := map[string]bool{}
	for i, k := range b.TrustedKeys {
		path := fmt.Sprintf("bundle.trusted_keys[%d]", i)
		c.required(path+".operator", k.Operator)
		if seen[k.Operator] {
			c.add(path+".operator", "operator %q has two keys", k.Operator)
		}
		seen[k.Operator] = true
		if raw, err := base64.StdEncoding.DecodeString(k.PublicKey); err != nil || len(raw) != 32 {
			c.add(path+".public_key", "is not the base64 of 32 bytes")
		}
	}
	if b.RequiredSignatures < 1 || b.RequiredSignatures > max(len(b.TrustedKeys), 1) {
		c.add("bundle.required_signatures", "must be from 1 to the number of trusted keys, which is %d", len(b.TrustedKeys))
	}
	if len(b.TrustedKeys) == 0 {
		c.add("bundle.trusted_keys", "at least one key is required")
	}
}

func (c *checker) numbers(s *Settings) {
	c.atLeast("requests.max_body_bytes", s.Requests.MaxBodyBytes, 1)
	c.atLeast("requests.max_answer_bytes", s.Requests.MaxAnswerBytes, 1)
	c.atLeast("process.memory_bytes", s.Process.MemoryBytes, 1)
	c.atLeast("process.max_descriptors", int64(s.Process.MaxDescriptors), 0)
	c.atLeast("requests.max_in_flight", int64(s.Requests.MaxInFlight), 1)
	c.atLeast("requests.subset_size", int64(s.Requests.SubsetSize), 2)
	c.atLeast("instance.data_quota_bytes", s.Instance.DataQuotaBytes, 1)
	c.atLeast("workers", int64(s.Workers), 1)
	c.positive("store.call_timeout", s.Store.CallTimeout)
	c.positive("instance_list.poll", s.InstanceList.Poll)
	if s.Batch.Retention < minRetention {
		c.add("batch.retention", "is %s, must be at least %s", s.Batch.Retention, minRetention)
	}
	c.positive("drain.entrypoint_ttl", s.Drain.EntrypointTTL)
	c.positive("drain.grace", s.Drain.Grace)
}

func (c *checker) atLeast(path string, value, minimum int64) {
	if value < minimum {
		c.add(path, "is %d, must be at least %d", value, minimum)
	}
}

func (c *checker) positive(path string, d time.Duration) {
	if d <= 0 {
		c.add(path, "is %s, must be positive", d)
	}
}
