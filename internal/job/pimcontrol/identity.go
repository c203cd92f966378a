package pimcontrol

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

// identity is kept beside the log. ID tells the lives of a disk apart, so that a daemon
// whose disk was lost comes back as another member, without a vote. Voters are the first
// voters where this disk founded the group.
type identity struct {
	ID     string   `json:"id"`
	Voters []string `json:"voters,omitempty"`
}

const (
	identityFile    = "identity.json"
	firstGeneration = "first"
)

func openIdentity(settings Settings) (identity, error) {
	path := filepath.Join(settings.DataDir, identityFile)
	data, err := os.ReadFile(path)
	if err == nil {
		var known identity
		if err := json.Unmarshal(data, &known); err != nil {
			return known, pimcode.New(pimcode.LogCorrupt, "file %q: %v", path, err)
		}
		return known, nil
	}
	if !os.IsNotExist(err) {
		return identity{}, pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	made := newIdentity(settings)
	return made, made.write(settings.DataDir)
}

func newIdentity(settings Settings) identity {
	if !settings.Bootstrap || !slices.Contains(settings.InitialMembers, settings.Address) {
		return identity{ID: fmt.Sprintf("%s#%016x", settings.Address, rand.Uint64())}
	}
	made := identity{ID: settings.Address + "#" + firstGeneration}
	for _, founder := range slices.Sorted(slices.Values(settings.InitialMembers)) {
		made.Voters = append(made.Voters, founder+"#"+firstGeneration)
	}
	return made
}

// write stores the identity so that it is either there as a whole or not at all.
func (i identity) write(folder string) error {
	data, err := json.Marshal(i)
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "encode identity: %v", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	path := filepath.Join(folder, identityFile)
	if err := writeSynced(path+".new", data); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return pimlog.SyncFolder(folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
