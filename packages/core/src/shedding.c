#include "shedding.h"

#include <glib.h>

/* Part of an equal share of the room that each kind is due, whatever its priority. The kinds of
 * higher priorities get the rest as far as they need it. With 0.8, fewer than 90 % of the jobs of
 * the highest priority were in time in a replay of 1.3 times the capacity. */
static const double guaranteed_part = 0.7;

/* While no more than this share of the offered work is lost or overdue, room is not divided. At a
 * usual load, less than 1 % is refused. */
static const double tolerated_loss = 0.03;

/* A job that has waited for this share of its slack is overdue. It is expected to wait about as
 * long again; see max_oldest_wait_share in admission.c. */
static const double overdue_share = 0.5;

/* Share of its slack that an admitted job is expected to wait. In replays of twice the capacity, 3
 * per cent of the served jobs were late with a quarter and 2 per cent with an eighth. */
static const double wait_share = 0.125;

static const double core_us_min = 1; /* avoids divisions by zero */

/* Returns the sums over all kinds. */
static struct shedding_kind add_kinds(struct shedding_kind *const *kinds, size_t count)
{
	struct shedding_kind sum = {0};

	for (size_t i = 0; i < count; i++) {
		sum.offered_core_us += kinds[i]->offered_core_us;
		sum.lost_core_us += kinds[i]->lost_core_us;
		sum.queued_core_us += kinds[i]->queued_core_us;
		sum.overdue_core_us += kinds[i]->overdue_core_us;
		sum.priority = MAX(sum.priority, kinds[i]->priority);
	}
	return sum;
}

/* Raises the shares of the kinds of PRIORITY from SHARE to at most 1 with at most *REST_CORE_US of
 * work, which is reduced by what they get. */
static void raise_shares(struct shedding_kind *const *kinds, size_t count, uint32_t priority,
			 double share, double *rest_core_us)
{
	double offered = core_us_min;
	double raise;

	for (size_t i = 0; i < count; i++)
		offered += kinds[i]->priority == priority ? kinds[i]->offered_core_us : 0;
	raise = MIN(1 - share, *rest_core_us / offered);
	for (size_t i = 0; i < count; i++)
		kinds[i]->share += kinds[i]->priority == priority ? raise : 0;
	*rest_core_us -= raise * offered;
}

void shedding_divide(struct shedding_kind *const *kinds, size_t count)
{
	const struct shedding_kind sum = add_kinds(kinds, count);
	double offered = MAX(sum.offered_core_us, core_us_min);
	double started = CLAMP(1 - (sum.lost_core_us + sum.queued_core_us) / offered, 0, 1);
	double share = 1;
	double rest_core_us;

	if (sum.lost_core_us + sum.overdue_core_us > tolerated_loss * offered)
		share = guaranteed_part * started;
	rest_core_us = (started - share) * offered;
	for (size_t i = 0; i < count; i++)
		kinds[i]->share = share;
	for (uint32_t i = 0; i <= sum.priority && share < 1 && rest_core_us > 0; i++)
		raise_shares(kinds, count, i, share, &rest_core_us);
}

/* Returns whether the kind of JOB has admitted all the work that it is due, and as much as that
 * serves while JOB may wait. */
static bool exceeds_share(const struct shedding_job *job)
{
	const struct shedding_kind *kind = job->kind;
	double due = kind->share * kind->offered_core_us;
	double admitted = kind->offered_core_us - kind->lost_core_us;
	double slack_us = (double)(job->latest_start_us - job->arrived_us);

	return kind->share < 1 &&
	       admitted > due * (1 + wait_share * MAX(slack_us, 0) / SHEDDING_MEMORY_US);
}

bool shedding_is_overdue(const struct shedding_job *job, int64_t now_us)
{
	int64_t slack_us = job->latest_start_us - job->arrived_us;

	return (double)(now_us - job->arrived_us) > overdue_share * (double)slack_us;
}

enum shedding_decision shedding_decide(const struct shedding_job *job, int64_t now_us)
{
	enum shedding_decision keep = job->found_no_room ? SHEDDING_WAIT : SHEDDING_START;
	enum shedding_decision lose = job->found_no_room ? SHEDDING_REFUSE : SHEDDING_MOVE_BACK;

	if (job->begun)
		return keep;
	if (job->found_no_room && now_us + job->wait_us > job->latest_start_us)
		return SHEDDING_REFUSE;
	return !job->admitted && exceeds_share(job) ? lose : keep;
}

int64_t shedding_start_by_us(const struct shedding_job *job)
{
	int64_t slack_us = job->latest_start_us - job->arrived_us;

	if (job->kind->share >= 1 || slack_us <= 0)
		return job->latest_start_us;
	return job->arrived_us + (int64_t)(wait_share * (double)slack_us);
}
