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

// identity is stored next to the log. ID includes the generation of the data folder, so that a
// daemon whose disk was lost returns as another member, without a vote. Voters are the first voters
// of the group if this data folder was created at the bootstrap of the group.
type identity struct {
	ID     string   `json:"id"`
	Voters []string `json:"voters,omitempty"`
}

const (
	identityFile = "identity.json"
	// firstGeneration is the data generation of all initial members; later ones are random.
	firstGeneration = "first"
)

// openIdentity reads the identity from the data folder. If there is none, it creates and stores one.
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
	created := newIdentity(settings)
	return created, created.write(settings.DataDir)
}

func newIdentity(settings Settings) identity {
	if !settings.Bootstrap || !slices.Contains(settings.InitialMembers, settings.Address) {
		return identity{ID: fmt.Sprintf("%s#%016x", settings.Address, rand.Uint64())}
	}
	created := identity{ID: settings.Address + "#" + firstGeneration}
	for _, address := range slices.Sorted(slices.Values(settings.InitialMembers)) {
		created.Voters = append(created.Voters, address+"#"+firstGeneration)
	}
	return created
}

// write stores the identity atomically: after a crash the file is complete or absent.
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
