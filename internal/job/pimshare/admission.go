package pimshare

import "time"

type (
	// Submission is a job that an organisation submits. Limit is the time within which it must end, 0 for none. CoreMillis
	// is the work of all its tasks, in thousandths of a core times milliseconds, WidestMillicores the processor time that
	// its largest task requests.
	Submission struct {
		Limit            time.Duration
		CoreMillis       int64
		WidestMillicores int64
		OverRate         bool
	}

	// Backlog is the waiting work of an organisation ahead of a job, and the processor time that the organisation may use
	// for it. QuotaMillicores is 0 without a limit.
	Backlog struct {
		CoreMillis      int64
		QuotaMillicores int64
		// ShareMillicores is the larger of the organisation's share of the capacity and what it uses now, or 0 if the
		// capacity is not known.
		ShareMillicores int64
	}

	// Admission is whether a job is accepted. Predicted is the time to its end if WorkCoreMillis of work, its own included,
	// are done with Millicores, and Limit the time within which it must end. RetryAfter is how long the backlog takes until
	// the job could end in time.
	Admission struct {
		Accepted       bool
		WorkCoreMillis int64
		Millicores     int64
		Predicted      time.Duration
		Limit          time.Duration
		RetryAfter     time.Duration
	}
)

const (
	// predictionMargin is the factor by which the prediction must exceed the limit: estimates are off by up to 1.9, and a
	// job that would have been served must not be rejected.
	predictionMargin = 2
	// maxRetryAfter is the longest time for which a caller is asked to wait: a queue changes within a minute.
	maxRetryAfter = time.Minute
)

// Admit decides whether a job can end within its limit. A job within the rate is rejected only if the
// quota alone makes this impossible, whatever the queue.
func Admit(submission Submission, backlog Backlog) Admission {
	admission := Admission{Accepted: true, Limit: submission.Limit}
	if submission.Limit <= 0 {
		return admission
	}
	work, millicores := submission.CoreMillis, int64(0)
	if backlog.QuotaMillicores > 0 {
		// An organisation below half of its quota may exceed it by one task.
		millicores = backlog.QuotaMillicores + submission.WidestMillicores
	}
	if submission.OverRate {
		work += backlog.CoreMillis
		if share := backlog.ShareMillicores; share > 0 && (millicores == 0 || share < millicores) {
			millicores = max(backlog.ShareMillicores, submission.WidestMillicores)
		}
	}
	if millicores == 0 {
		return admission
	}
	admission.WorkCoreMillis, admission.Millicores = work, millicores
	admission.Predicted = time.Duration(float64(work) / float64(millicores) * float64(time.Millisecond))
	if admission.Predicted <= predictionMargin*admission.Limit {
		return admission
	}
	admission.Accepted = false
	admission.RetryAfter = min(maxRetryAfter, max(time.Second, admission.Predicted-admission.Limit))
	return admission
}
