package deploy

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Names of the files and directories in the directory of a deployment. Settings
// files are named after their node, key files after the role and name of their
// owner.
const (
	FileBundle     = "bundle.json"
	FileSimulators = "standins.json"
	FileCallers    = "callers.json"
	DirKeys        = "keys"
)

const (
	publicMode = 0o644
	secretMode = 0o600
	dirMode    = 0o755
)

// Write writes the complete deployment, private keys included, into dir. Files with
// secrets are readable by their owner only.
func (d *Deployment) Write(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, DirKeys), dirMode); err != nil {
		return trace.Wrap(err)
	}
	for _, e := range d.Entries {
		if err := writeJSON(filepath.Join(dir, e.ID+".json"), e, secretMode); err != nil {
			return err
		}
	}
	for _, a := range d.Agents {
		if err := writeJSON(filepath.Join(dir, a.ID+".json"), a, secretMode); err != nil {
			return err
		}
	}
	if err := writeJSON(filepath.Join(dir, FileBundle), d.Bundle, publicMode); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, FileSimulators), d.Simulators, publicMode); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, FileCallers), d.Organisations, secretMode); err != nil {
		return err
	}
	return d.writeKeys(filepath.Join(dir, DirKeys))
}

func (d *Deployment) writeKeys(dir string) error {
	for _, k := range d.Members {
		if err := writeJSON(filepath.Join(dir, "member-"+k.Name+".json"), k, secretMode); err != nil {
			return err
		}
	}
	for _, k := range d.Operators {
		if err := writeJSON(filepath.Join(dir, "operator-"+k.Name+".json"), k, secretMode); err != nil {
			return err
		}
	}
	return nil
}

// WriteSample writes the bundle, the settings of one entry, and the settings of one
// agent of each service into dir, without private keys.
func (d *Deployment) WriteSample(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return trace.Wrap(err)
	}
	files := map[string]any{FileBundle: d.Bundle, "entry.json": d.Entries[0]}
	for i := len(d.Agents) - 1; i >= 0; i-- {
		files["agent-"+d.Agents[i].Service+".json"] = d.Agents[i]
	}
	for name, v := range files {
		if err := writeJSON(filepath.Join(dir, name), v, publicMode); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any, mode os.FileMode) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(path, append(data, '\n'), mode))
}
