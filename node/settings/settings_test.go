package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `instance:
  id: i1
  failure_domain: randstad-a
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  operators: 127.0.0.1:8082
store:
  address: http://127.0.0.1:2379
instance_list:
  address: http://127.0.0.1:2380
peers:
  token_file: peer.token
bundle:
  trusted_keys:
    - operator: anna
      public_key: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
`

// Guards against defaults that are not applied when a section is absent.
func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse([]byte(valid), "settings.yaml")
	require.NoError(t, err)
	require.Equal(t, DefaultCallTimeout, s.Store.CallTimeout)
	require.Equal(t, "127.0.0.1:8080", s.Listen.AdvertiseCallers)
	require.Equal(t, DefaultSubsetSize, s.Requests.SubsetSize)
}

// Guards against errors without the file, line and setting that an operator needs to find the fault.
func TestParseErrorsNameSettingFileAndLine(t *testing.T) {
	cases := map[string]struct{ input, want string }{
		"unknown field":         {valid + "wrokers: 3\n", `settings.yaml:18: unknown field "wrokers"`},
		"address without port":  {replace(valid, "127.0.0.1:8081", "localhost"), `settings.yaml:6: listen.peers: "localhost" is not an IP number with a port`},
		"key of wrong length":   {replace(valid, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "AAAA"), "settings.yaml:17: bundle.trusted_keys[0].public_key: is not the base64 of 32 bytes"},
		"too many signatures":   {valid + "  required_signatures: 2\n", "settings.yaml:18: bundle.required_signatures: must be from 1 to the number of trusted keys, which is 1"},
		"missing identity":      {replace(valid, "  id: i1\n", ""), "settings.yaml:2: instance.id: is required"},
		"wrong type":            {valid + "workers: many\n", "settings.yaml:18: cannot unmarshal"},
		"retention too short":   {valid + "batch:\n  retention: 59m\n", "settings.yaml:19: batch.retention: is 59m0s, must be at least 1h0m0s"},
		"duration without unit": {valid + "drain:\n  grace: -5s\n", "settings.yaml:19: drain.grace: is -5s, must be positive"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.input), "settings.yaml")
			require.ErrorIs(t, err, ErrInvalid)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against panics and unbounded work on malformed input, and against accepted settings without an instance ID.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("instance: [\n"))
	f.Add([]byte("a: &a [*a, *a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, "settings.yaml")
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		require.NotEmpty(t, s.Instance.ID)
	})
}

func replace(s, old, new string) string {
	for i := 0; i+len(old) <= len(s); i++ {
		if s[i:i+len(old)] == old {
			return s[:i] + new + s[i+len(old):]
		}
	}
	panic("text to replace does not occur: " + old)
}
