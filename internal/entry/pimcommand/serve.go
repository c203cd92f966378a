package pimcommand

import (
	"context"
	"strings"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
)

const (
	ruleName    = "must be 1 to 63 of a-z, 0-9 and -, not beginning or ending with -"
	ruleAddress = "must be an IP address and a port, such as 127.0.0.1:7400"
)

func newServeCommand() command {
	return command{
		name: "serve",
		help: "Run the entry daemon of one host",
		example: `  pimentoswitch serve --name north-1 --failure-domain north --data-dir ./north-1 \
    --listen-peer 127.0.0.1:7401 --listen-http 127.0.0.1:7501 \
    --found north-1@north@127.0.0.1:7401`,
		settings: append([]pimsetting.Setting{
			{Flag: "name", Help: "name of this daemon, unique in the deployment", Rule: ruleName, Check: pimsetting.IsName},
			{Flag: "failure-domain", Help: "failure domain of this host", Rule: ruleName, Check: pimsetting.IsName},
			{Flag: "data-dir", Help: "folder for all state", Rule: "must be given", Check: pimsetting.IsNotEmpty},
			{Flag: "listen-peer", Help: "address for other daemons", Rule: ruleAddress, Check: pimsetting.IsAddress},
			{Flag: "listen-http", Help: "address for callers, endpoints, workers and operators", Rule: ruleAddress, Check: pimsetting.IsAddress},
			{Flag: "peers", Help: "peer addresses of some other daemons to join through, separated by commas", Rule: "must be addresses separated by commas", Check: pimsetting.IsAddressList},
			{Flag: "found", Help: "all initial members of a new cluster as name@failure-domain@peer-address, separated by commas; they bootstrap it once all are reachable with empty data folders", Rule: "must be name@failure-domain@peer-address, separated by commas", Check: isInitialMemberList},
			{Flag: "hold-batch", Default: "5m", Help: "how long batch tasks keep running without a current configuration", Rule: "must be a duration from 30s to 24h", Check: pimsetting.IsDurationIn(30*time.Second, 24*time.Hour)},
			{Flag: "replace-after", Default: "1m", Help: "how long a voter may be unreachable before another daemon replaces it", Rule: "must be a duration from 5s to 24h", Check: pimsetting.IsDurationIn(5*time.Second, 24*time.Hour)},
			{Flag: "journal-keep", Default: "24h", Help: "how long the outcome of a non-idempotent request is kept", Rule: "must be a duration from 1m to 720h", Check: pimsetting.IsDurationIn(time.Minute, 720*time.Hour)},
			{Flag: "drain-delay", Default: "2s", Help: "time from reporting not ready to refusing requests, so that the balancer notices", Rule: "must be a duration from 0s to 5m", Check: pimsetting.IsDurationIn(0, 5*time.Minute)},
			{Flag: "drain-timeout", Default: "1m", Help: "maximum time that a graceful stop waits for requests in progress", Rule: "must be a duration from 1s to 1h", Check: pimsetting.IsDurationIn(time.Second, time.Hour)},
			{Flag: "cut-off-requests", Default: "serve", Help: "what a daemon without a current configuration does with requests", Rule: "must be serve or refuse", Check: pimsetting.IsOneOf("serve", "refuse")},
			{Flag: "policy", Default: string(pimplace.PolicyInterference), Help: "placement policy", Rule: "must be interference or first-fit", Check: pimsetting.IsOneOf(string(pimplace.PolicyInterference), string(pimplace.PolicyFirstFit))},
			{Flag: "max-sends", Default: "512", Help: "maximum number of requests sent to endpoints at the same time; beyond a short queue, more are refused", Rule: "must be a whole number from 1 to 100000", Check: pimsetting.IsIntIn(1, 100_000)},
		}, logSettings...),
		run: runServe,
	}
}

// parseInitialMember parses name@failure-domain@peer-address.
func parseInitialMember(text string) (pimcore.InitialMember, bool) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 || !pimsetting.IsName(parts[0]) || !pimsetting.IsName(parts[1]) || !pimsetting.IsAddress(parts[2]) {
		return pimcore.InitialMember{}, false
	}
	return pimcore.InitialMember{Name: parts[0], Domain: parts[1], PeerAddress: parts[2]}, true
}

func isInitialMemberList(text string) bool {
	if text == "" {
		return true
	}
	for _, part := range strings.Split(text, ",") {
		if _, ok := parseInitialMember(part); !ok {
			return false
		}
	}
	return true
}

func runServe(ctx context.Context, c *invocation) error {
	s := c.settings
	var initialMembers []pimcore.InitialMember
	for _, part := range s.List("found") {
		member, _ := parseInitialMember(part)
		initialMembers = append(initialMembers, member)
	}
	daemon, err := pimdaemon.NewDaemon(pimdaemon.Settings{
		Name:               s.Text("name"),
		Domain:             s.Text("failure-domain"),
		DataDir:            s.Text("data-dir"),
		ListenPeer:         s.Text("listen-peer"),
		ListenHTTP:         s.Text("listen-http"),
		InitialMembers:     initialMembers,
		Seeds:              s.List("peers"),
		BatchGracePeriod:   s.Duration("hold-batch"),
		ReplaceAfter:       s.Duration("replace-after"),
		JournalRetention:   s.Duration("journal-keep"),
		DrainDelay:         s.Duration("drain-delay"),
		DrainTimeout:       s.Duration("drain-timeout"),
		RefuseWhenCutOff:   s.Text("cut-off-requests") == "refuse",
		Policy:             pimplace.Policy(s.Text("policy")),
		MaxConcurrentSends: s.Int("max-sends"),
		LogSampleInterval:  s.Int("log-sample"),
	}, c.newLogger())
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
