package pimdemo_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimdemo"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

// waitLimit ends a test that hangs. It is no limit on the performance of the system.
const waitLimit = 2 * time.Minute

// newCluster starts a cluster of three failure domains, waits until it is ready, and returns it with its data
// folder.
func newCluster(t *testing.T, daemonsPerDomain int) (*pimdemo.Cluster, string) {
	t.Helper()
	folder := t.TempDir()
	cluster, err := pimdemo.NewCluster(pimdemo.ClusterConfig{
		Domains: []string{"north", "south", "west"}, DaemonsPerDomain: daemonsPerDomain,
		EndpointsPerService: 1, WorkersPerDomain: 1,
		Services: []string{"callout"}, Slots: 8, MeanServiceTime: 5 * time.Millisecond,
		WorkerCapacity: pimmanifest.Resources{CPUMillis: 16_000, MemoryMB: 32_768}, RacksPerDomain: 1, StandinSeed: 1,
	}, folder, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	assert.NilError(t, err)
	assert.NilError(t, cluster.Start())
	t.Cleanup(cluster.Stop)
	assert.NilError(t, cluster.WaitReady(context.Background(), waitLimit))
	return cluster, folder
}

// eventually repeats f until it succeeds, and fails the test after waitLimit.
func eventually(t *testing.T, action string, f func() error) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	var err error
	for time.Now().Before(end) {
		if err = f(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: %v", action, err)
}

// post sends a request and returns the response body, also if the HTTP status is an error.
func post(balancer *pimplatform.Balancer, body string) (pimdaemon.ResponseBody, error) {
	var response pimdaemon.ResponseBody
	err := balancer.Do(context.Background(), http.MethodPost, "/v1/services/callout/requests",
		json.RawMessage(body), &response)
	var status *pimplatform.StatusError
	if errors.As(err, &status) {
		return response, json.Unmarshal(status.Body, &response)
	}
	return response, err
}

func request(id string) string {
	return fmt.Sprintf(`{"request-id":%q,"idempotent":false,"deadline-millis":20000,"payload":{"shop":7}}`, id)
}

// assertRan repeats a request until the response reports that it ran, and asserts that it ran exactly once.
func assertRan(t *testing.T, c *pimdemo.Cluster, id string) {
	t.Helper()
	eventually(t, id, func() error {
		response, err := post(c.Balancer(), request(id))
		if err == nil && response.Outcome != "ran" {
			err = errors.New(response.Outcome + " " + response.Name)
		}
		return err
	})
	assert.Equal(t, c.Witness().ExecutionCount(id), 1)
}

func TestCluster(t *testing.T) {
	cluster, folder := newCluster(t, 1)
	balancer := cluster.Balancer()
	var change pimdaemon.ChangeResponse
	manifest := []byte("number: 1\nteams: [{name: a}]\nservices: [{name: callout, replicas: 3, team: a, idempotent: false, needs: {cpu-millis: 1000, memory-mb: 100}}]\n")
	eventually(t, "commit", func() error {
		return balancer.Put(context.Background(), "/v1/manifest", manifest, &change)
	})
	t.Run("a repeated commit gets the same response and other content conflicts", func(t *testing.T) {
		var repeated pimdaemon.ChangeResponse
		eventually(t, "commit", func() error {
			return balancer.Put(context.Background(), "/v1/manifest", manifest, &repeated)
		})
		assert.DeepEqual(t, repeated, change)
		other := []byte(strings.Replace(string(manifest), "replicas: 3", "replicas: 2", 1))
		err := balancer.Put(context.Background(), "/v1/manifest", other, &repeated)
		assert.ErrorContains(t, err, "manifest-conflict")
	})
	t.Run("a request runs once and its response is kept", func(t *testing.T) {
		assertRan(t, cluster, "north.first")
		for range 3 {
			assertRan(t, cluster, "north.first")
		}
	})
	t.Run("invalid requests get named error codes", func(t *testing.T) {
		for body, name := range map[string]string{
			`{"deadline-millis":0}`:                                                "deadline-missing",
			`{"deadline-millis":10,"colour":1}`:                                    "bad-request",
			`{"deadline-millis":10,"priority":12}`:                                 "bad-request",
			`{"request-id":"nowhere.1","idempotent":false,"deadline-millis":1000}`: "request-id-home",
			`{`: "bad-request",
		} {
			err := balancer.Do(context.Background(), http.MethodPost, "/v1/services/callout/requests", rawBody(body), nil)
			assert.ErrorContains(t, err, name)
		}
	})
	t.Run("a killed daemon restarts with everything that was accepted", func(t *testing.T) {
		cluster.KillDaemon("north-1")
		assertRan(t, cluster, "south.meanwhile")
		assert.NilError(t, cluster.RestartDaemon("north-1"))
		assertRan(t, cluster, "north.first")
		assertRan(t, cluster, "north.second")
		stored, err := balancer.Get(context.Background(), "/v1/manifest")
		assert.NilError(t, err)
		assert.Equal(t, string(stored), string(manifest))
	})
	t.Run("a daemon that lost its data folder joins and does not bootstrap a cluster", func(t *testing.T) {
		before := clusterID(t, folder, "south-1")
		cluster.KillDaemon("west-1")
		assert.NilError(t, os.RemoveAll(filepath.Join(folder, "west-1")))
		assert.NilError(t, cluster.RestartDaemon("west-1"))
		eventually(t, "the cluster id", func() error {
			if id := clusterID(t, folder, "west-1"); id != before {
				return fmt.Errorf("cluster %q", id)
			}
			return nil
		})
		assert.NilError(t, cluster.WaitReady(context.Background(), waitLimit))
		assertRan(t, cluster, "south.third")
	})
	t.Run("a graceful stop ends without an error", func(t *testing.T) {
		assert.NilError(t, cluster.StopDaemon("south-1"))
	})
}

// rawBody is a request body that is sent unchanged if it is valid JSON.
type rawBody string

// MarshalJSON turns an invalid body into a JSON string, which the daemon must reject as well.
func (b rawBody) MarshalJSON() ([]byte, error) {
	if json.Valid([]byte(b)) {
		return []byte(b), nil
	}
	return json.Marshal(string(b))
}

func clusterID(t *testing.T, folder, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, name, "identity.json"))
	if err != nil {
		return ""
	}
	var identity struct {
		ClusterID string `json:"cluster-id"`
	}
	assert.NilError(t, json.Unmarshal(data, &identity))
	return identity.ClusterID
}
