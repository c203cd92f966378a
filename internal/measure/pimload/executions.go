package pimload

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
)

// FetchExecutionCounts reads the execution counts of every simulated endpoint in the entry daemons' endpoint
// tables. It returns the sum for each request id, and the number of endpoints that it has read.
func FetchExecutionCounts(ctx context.Context, balancer *pimplatform.Balancer) (map[string]int, int, error) {
	var status pimdaemon.StatusBody
	if err := balancer.Do(ctx, http.MethodGet, "/v1/status?tables=1", nil, &status); err != nil {
		return nil, 0, err
	}
	counts := map[string]int{}
	endpointCount := 0
	for _, tables := range status.Tables {
		for _, endpoint := range tables.Endpoints {
			data, err := balancer.GetFrom(ctx, endpoint.Address, "/executions")
			if err != nil {
				return nil, endpointCount, err
			}
			var executions map[string]int
			if err := json.Unmarshal(data, &executions); err != nil {
				return nil, endpointCount, err
			}
			for id, count := range executions {
				counts[id] += count
			}
			endpointCount++
		}
	}
	return counts, endpointCount, nil
}
