package pimdaemon

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// identity is the identity of a daemon, stored in its data folder. The nonce makes the member ID of a host that lost
	// its disk differ from its previous one.
	identity struct {
		Name      string `json:"name"`
		Nonce     string `json:"nonce"`
		ClusterID string `json:"cluster-id"`
	}

	// identityFile is the identity with the file that stores it.
	identityFile struct {
		path  string
		mutex sync.Mutex
		value identity
	}
)

const (
	identityFileName = "identity.json"
	nonceBytes       = 6
)

// openIdentity loads the identity of a data folder or creates it in a new one. It fails if the folder belongs to a
// daemon of another name.
func openIdentity(folder, name string) (*identityFile, error) {
	f := &identityFile{path: filepath.Join(folder, identityFileName)}
	data, err := os.ReadFile(f.path)
	if os.IsNotExist(err) {
		f.value = identity{Name: name, Nonce: newNonce()}
		return f, f.save()
	}
	if err != nil {
		return nil, pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	if err := json.Unmarshal(data, &f.value); err != nil {
		return nil, pimcode.New(pimcode.LogCorrupt, "file %q, offset 0: %v", f.path, err)
	}
	if f.value.Name != name {
		return nil, pimcode.New(pimcode.SettingInvalid, "--name %q: the data folder belongs to %q", name, f.value.Name)
	}
	return f, nil
}

func newNonce() string {
	var nonce [nonceBytes]byte
	rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}

// memberID returns the name and the nonce, as NAME#NONCE.
func (f *identityFile) memberID() string { return f.value.Name + "#" + f.value.Nonce }

func (f *identityFile) setClusterID(id string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.value.ClusterID = id
	return f.save()
}

// save replaces the file atomically: it writes and syncs a temporary file, renames it and syncs the folder.
func (f *identityFile) save() error {
	data, err := json.Marshal(f.value)
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "%v", err)
	}
	temporary := f.path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	_, err = file.Write(data)
	if syncErr := file.Sync(); err == nil {
		err = syncErr
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary, f.path)
	}
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return syncParentFolder(f.path)
}

func syncParentFolder(path string) error {
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return nil
}
