package fleet

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"eelgrassproxy.example/node/settings"
)

const (
	// listLag is how long changes of the instance list take to show.
	listLag = 2 * time.Second
	// serviceTime is how long a call of the plain service takes.
	serviceTime = 20 * time.Millisecond
)

var settingsTemplate = template.Must(template.New("settings").Parse(`instance:
  id: {{.ID}}
  failure_domain: {{.Domain}}
{{- if .DataFolder}}
  data_folder: {{.DataFolder}}
{{- end}}
listen:
  callers: {{.Callers}}
  peers: {{.Peers}}
  operators: {{.Operators}}
store:
  address: http://{{.Store}}
instance_list:
  address: http://{{.List}}
peers:
  token_file: {{.TokenFile}}
operators:
  token_sha256:
    - {{.OperatorToken}}
bundle:
  required_signatures: 1
  trusted_keys:
    - operator: {{.Operator}}
      public_key: {{.PublicKey}}
drain:
  entrypoint_ttl: {{.EntrypointTTL}}
`))

// settings writes the instance's settings file and reads it back as the instance would.
func (f *Fleet) settings(i *Instance) (*settings.Settings, error) {
	values := map[string]any{
		"ID": i.ID, "Domain": i.Domain,
		"Store": f.Addresses["store"], "List": f.Addresses["list"],
		"TokenFile":     filepath.Join(f.Folder, "peer.token"),
		"OperatorToken": digest(OperatorToken),
		"Operator":      Operator, "PublicKey": PublicKey(),
		"EntrypointTTL": f.EntrypointTTL,
		"DataFolder":    f.dataFolder(i),
	}
	for _, listener := range []string{"Callers", "Peers", "Operators"} {
		address, err := f.Network.Address(string(i.ID), i.Domain)
		if err != nil {
			return nil, err
		}
		values[listener] = address
	}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, values); err != nil {
		return nil, err
	}
	file := filepath.Join(f.Folder, fmt.Sprintf("%s.yaml", i.ID))
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	i.File = file
	return settings.Load(file)
}

// dataFolder gives the first instance of each failure domain a disk; the others keep nothing.
func (f *Fleet) dataFolder(i *Instance) string {
	for _, other := range f.Instances {
		if other.Domain == i.Domain {
			return ""
		}
	}
	return filepath.Join(f.Folder, string(i.ID)+"-data")
}
