package pimcommand

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

func newManifestCommand() command {
	return command{
		name: "manifest",
		help: "Check, commit and show manifests",
		subcommands: []command{
			{
				name:    "check",
				help:    "Report every fault of a manifest file",
				example: "  pimentoswitch manifest check manifest.yaml",
				run:     runManifestCheck,
			},
			{
				name:    "commit",
				help:    "Commit a manifest and wait until it is in effect on every daemon",
				example: "  pimentoswitch manifest commit manifest.yaml --entry 127.0.0.1:7501 --base 6",
				settings: append([]pimsetting.Setting{
					{Flag: "base", Default: "0", Help: "number of the manifest that this one replaces; 0 accepts any lower number", Rule: "must be a whole number from 0 up", Check: pimsetting.IsIntIn(0, 1<<53)},
				}, clientSettings...),
				run: runManifestCommit,
			},
			{
				name:     "show",
				help:     "Print the manifest in effect",
				example:  "  pimentoswitch manifest show --entry 127.0.0.1:7501",
				settings: clientSettings,
				run:      runManifestShow,
			},
		},
	}
}

func (c *invocation) readManifest() (string, []byte, error) {
	path, err := c.argument("the manifest file")
	if err != nil {
		return "", nil, err
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return path, nil, pimcode.New(pimcode.SettingInvalid, "manifest file %q: %v", path, err)
	}
	return path, content, nil
}

func runManifestCheck(_ context.Context, c *invocation) error {
	path, content, err := c.readManifest()
	if err != nil {
		return err
	}
	manifest, faults := pimmanifest.Parse(content)
	if len(faults) > 0 {
		return faultsError(path, faults)
	}
	fmt.Fprintf(c.out, "%s: manifest %d, digest %s: services %d, batch jobs %d, teams %d, no faults\n",
		path, manifest.Number, pimmanifest.Digest(content)[:12], len(manifest.Services), len(manifest.BatchJobs), len(manifest.Teams))
	return nil
}

func faultsError(path string, faults []pimmanifest.Fault) error {
	var lines []string
	for _, fault := range faults {
		lines = append(lines, path+": "+fault.String())
	}
	return pimcode.New(pimcode.ManifestInvalid, "%d faults\n%s", len(faults), strings.Join(lines, "\n"))
}

func runManifestCommit(ctx context.Context, c *invocation) error {
	path, content, err := c.readManifest()
	if err != nil {
		return err
	}
	if _, faults := pimmanifest.Parse(content); len(faults) > 0 {
		return faultsError(path, faults)
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
	defer cancel()
	balancer := c.balancer()
	var change pimdaemon.ChangeResponse
	err = retry(ctx, func() error {
		return balancer.Put(ctx, "/v1/manifest?base="+c.settings.Text("base"), content, &change)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "accepted: manifest %d, digest %s, version %d\n", change.Number, change.Digest[:12], change.Version)
	return c.waitInEffect(ctx, balancer, change.Version)
}

func runManifestShow(ctx context.Context, c *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Duration("timeout"))
	defer cancel()
	return c.printFrom(ctx, "/v1/manifest")
}
