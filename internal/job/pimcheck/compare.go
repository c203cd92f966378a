package pimcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// comparison collects what a configuration changes with respect to the one in force.
type comparison struct {
	inForce, next *pimjob.Config
	findings      []Finding
}

// Compare returns the differences between the configuration in force and the next one, in the order of the entries of
// the next one, and an error if the version of next is not higher.
func Compare(inForce, next *pimjob.Config) []Finding {
	c := comparison{inForce: inForce, next: next}
	if next.Version <= inForce.Version {
		c.findings = append(c.findings, Finding{
			Severity: Error, Code: pimcode.VersionNotHigher, Entry: Entry{Whole, "", -1},
			Text: fmt.Sprintf("version %d is not higher than version %d in force: the daemons ignore the configuration",
				next.Version, inForce.Version),
		})
	}
	c.compareQueues()
	c.compareServices()
	c.compareOrganisations()
	return c.findings
}

func (c *comparison) add(entry Entry, text, effect string) {
	c.findings = append(c.findings, Finding{
		Severity: Difference, Code: pimcode.ConfigDifference, Entry: entry, Text: text, Effect: effect,
	})
}

// compareQueues compares queues with the same name. Where a name occurs more than once, the address tells them apart.
func (c *comparison) compareQueues() {
	occurrences := map[string]int{}
	for _, queues := range [][]pimjob.Queue{c.inForce.Queues, c.next.Queues} {
		counts := map[string]int{}
		for _, queue := range queues {
			counts[queue.Name]++
			occurrences[queue.Name] = max(occurrences[queue.Name], counts[queue.Name])
		}
	}
	key := func(queue *pimjob.Queue) string {
		if occurrences[queue.Name] > 1 {
			return queue.Name + " " + address(queue)
		}
		return queue.Name
	}
	old := map[string]*pimjob.Queue{}
	for i := range c.inForce.Queues {
		old[key(&c.inForce.Queues[i])] = &c.inForce.Queues[i]
	}
	for i := range c.next.Queues {
		queue := &c.next.Queues[i]
		entry := Entry{Queue, queue.Name, i}
		if before := old[key(queue)]; before != nil {
			delete(old, key(queue))
			c.compareQueue(entry, before, queue)
		} else {
			c.add(entry, "added", acceptance(queue)+"; the service is "+queue.Service)
		}
	}
	for i := range c.inForce.Queues {
		if queue := &c.inForce.Queues[i]; old[key(queue)] == queue {
			c.add(Entry{Queue, queue.Name, -1}, "removed", c.callsAt(queue))
		}
	}
}

func (c *comparison) compareQueue(entry Entry, old, queue *pimjob.Queue) {
	if address(old) != address(queue) {
		c.add(entry, fmt.Sprintf("address %s to %s", address(old), address(queue)),
			acceptance(queue)+"; "+c.callsAt(old))
	}
	if old.Service != queue.Service {
		c.add(entry, fmt.Sprintf("service %s to %s", old.Service, queue.Service),
			"its new jobs run on the workers of "+queue.Service)
	}
	if old.Priority != queue.Priority {
		c.add(entry, fmt.Sprintf("priority %d to %d", old.Priority, queue.Priority),
			either(queue.Priority < old.Priority, "its new jobs come earlier among those of all queues",
				"its new jobs come later among those of all queues"))
	}
	if old.Attempts != queue.Attempts {
		c.add(entry, fmt.Sprintf("attempts %d to %d", old.Attempts, queue.Attempts),
			fmt.Sprintf("a new job fails when one of its tasks has failed %d times", queue.Attempts))
	}
	if before, after := max(1, old.Stretch), max(1, queue.Stretch); before != after {
		c.add(entry, fmt.Sprintf("stretch %v to %v", before, after), lateEffect(after > before))
	}
	if old.Objective != queue.Objective {
		c.add(entry, fmt.Sprintf("objective %s to %s", millis(old.Objective), millis(queue.Objective)),
			lateEffect(queue.Objective > old.Objective))
	}
	if old.RequiresKey != queue.RequiresKey {
		c.add(entry, either(queue.RequiresKey, "a key is required", "no key is required any more"),
			either(queue.RequiresKey, "calls without a key of an organisation get 401",
				"anyone can submit jobs, and these belong to no organisation and count against no quota"))
	}
}

// acceptance tells whether the queue can accept jobs at its address, see checkAddress.
func acceptance(queue *pimjob.Queue) string {
	if len(checkAddress(queue)) > 0 {
		return "no job is accepted at " + address(queue)
	}
	return "jobs are accepted at " + address(queue)
}

// callsAt tells what becomes of calls at the address that a queue has in the configuration in force. A job can be read
// while its queue's address belongs to no queue or to a queue with exactly this address; with a shorter prefix the rest
// of the path is no id.
func (c *comparison) callsAt(queue *pimjob.Queue) string {
	other, rest := c.next.FindQueue(queue.Host, queue.Prefix)
	switch {
	case other == nil:
		return fmt.Sprintf("new jobs at %s get 404, jobs accepted before run on and can be read", address(queue))
	case rest == "":
		return fmt.Sprintf("calls at %s reach %s, jobs accepted before run on and can be read", address(queue), other.Name)
	}
	return fmt.Sprintf("no job is accepted at %s, jobs accepted before run on but can't be read or cancelled, since the prefix of %s matches",
		address(queue), other.Name)
}

func (c *comparison) compareServices() {
	for _, name := range slices.Sorted(maps.Keys(c.next.Services)) {
		entry := Entry{Service, name, -1}
		old, found := c.inForce.Services[name]
		service := c.next.Services[name]
		if !found {
			c.add(entry, "added", "queues can send jobs to its workers")
			continue
		}
		if old.RejectsOverload != service.RejectsOverload {
			c.add(entry, fmt.Sprintf("rejects overload %t to %t", old.RejectsOverload, service.RejectsOverload),
				"workers that accept overload get starts only while their heartbeats are recent")
		}
		if old.Standby != service.Standby {
			c.add(entry, fmt.Sprintf("standby %t to %t", old.Standby, service.Standby), "none, as it is not used for planning")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.inForce.Services)) {
		if _, found := c.next.Services[name]; !found {
			c.add(Entry{Service, name, -1}, "removed", "no queue sends new jobs to its workers")
		}
	}
}

func (c *comparison) compareOrganisations() {
	for i := range c.next.Organisations {
		o := &c.next.Organisations[i]
		entry := Entry{Organisation, o.Name, i}
		old := pimorganisation.Find(c.inForce.Organisations, o.Name)
		if old == nil {
			c.add(entry, fmt.Sprintf("added with weight %d, quota %s", o.Weight, quotaText(o.Quota)),
				"it can submit jobs with its keys")
			old = &pimorganisation.Organisation{}
		} else {
			c.compareOrganisation(entry, old, o)
		}
		c.compareKeys(entry, old.Keys, o.Keys)
	}
	for i := range c.inForce.Organisations {
		o := &c.inForce.Organisations[i]
		if pimorganisation.Find(c.next.Organisations, o.Name) == nil {
			entry := Entry{Organisation, o.Name, -1}
			c.add(entry, "removed", "its jobs run on, without a quota and with weight 1")
			c.compareKeys(entry, o.Keys, nil)
		}
	}
}

func (c *comparison) compareOrganisation(entry Entry, old, o *pimorganisation.Organisation) {
	if old.Weight != o.Weight {
		c.add(entry, fmt.Sprintf("weight %d to %d", old.Weight, o.Weight),
			fmt.Sprintf("its share %s while capacity is short, and jobs beyond %d a second have no service guarantee",
				either(o.Weight > old.Weight, "grows", "shrinks"), o.Weight))
	}
	if old.Quota != o.Quota {
		effect := "more of its tasks can run at once"
		if !old.Quota.WithinQuota(o.Quota) || hasNewLimit(old.Quota, o.Quota) {
			effect = "none of its runs is stopped, and none starts while its usage is above the quota"
		}
		c.add(entry, fmt.Sprintf("quota %s to %s", quotaText(old.Quota), quotaText(o.Quota)), effect)
	}
}

// compareKeys reports the keys that an organisation loses and gains. A key that another organisation has as well counts
// as moved.
func (c *comparison) compareKeys(entry Entry, old, next []string) {
	requiresKey := slices.ContainsFunc(c.next.Queues, func(queue pimjob.Queue) bool { return queue.RequiresKey })
	for _, key := range old {
		if slices.Contains(next, key) {
			continue
		}
		text := fmt.Sprintf("a key was removed (digest %s)", pimorganisation.Digest(key))
		if owner := pimorganisation.FindByKey(c.next.Organisations, key); owner != nil {
			c.add(entry, text, fmt.Sprintf("jobs submitted with it belong to %s, which has it now", owner.Name))
			continue
		}
		// The platform gives a removed key 5 s, and a new configuration 2.5 s (revoke-ms, config-apply-ms).
		c.add(entry, text, either(requiresKey, "calls with it get 401 within 5 s", "none, as no queue requires a key"))
	}
	for _, key := range next {
		if !slices.Contains(old, key) {
			c.add(entry, fmt.Sprintf("a key was added (digest %s)", pimorganisation.Digest(key)),
				either(requiresKey, "calls with it are accepted within 2.5 s", "none, as no queue requires a key"))
		}
	}
}

// hasNewLimit reports whether a resource without a limit in old has one in quota.
func hasNewLimit(old, quota pimorganisation.Resources) bool {
	return old.CPUMillis == 0 && quota.CPUMillis > 0 || old.MemoryMB == 0 && quota.MemoryMB > 0 ||
		old.Accelerators == 0 && quota.Accelerators > 0
}

func quotaText(quota pimorganisation.Resources) string {
	var parts []string
	for _, part := range []struct {
		amount int64
		unit   string
	}{{quota.CPUMillis, "thousandths of a core"}, {quota.MemoryMB, "MB"}, {quota.Accelerators, "accelerators"}} {
		if part.amount > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.amount, part.unit))
		}
	}
	if len(parts) == 0 {
		return "without limit"
	}
	return strings.Join(parts, ", ")
}

func lateEffect(later bool) string {
	return either(later, "its new jobs may take longer before they count as late", "its new jobs count as late sooner")
}

func address(queue *pimjob.Queue) string { return queue.Host + queue.Prefix }

func millis(d time.Duration) string {
	return fmt.Sprintf("%v ms", float64(d)/float64(time.Millisecond))
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
