/* A plain version of the scheduler for comparison: linear scans, no derived state. Only learning is
 * shared with the scheduler. It leaves out the estimate of response times at admission. */
#ifndef GG_SCHEDULER_MODEL_H
#define GG_SCHEDULER_MODEL_H

#include <glib.h>
#include <string.h>

#include "../../packages/core/src/scheduler_learn.h"
#include "scheduler.h"

enum {
	MODEL_SEED = 20261204,
	MAX_EVENTS = 120,
	MAX_TASKS = 130,
	CLASSES = 3,
	TEAMS = 7,
	HOLD_LIMIT_US = 10000000
};

enum task_event {
	EVENT_DONE,
	EVENT_REFUSED,
	EVENT_FAILED
};

enum task_state {
	TASK_FRESH,
	TASK_RETURNED,
	TASK_OUT,
	TASK_ENDED
};

struct job {
	struct handle handle;
	int class;
	int team;
	enum sched_job_state state;
	bool released;
	uint8_t tasks[MAX_TASKS];
	uint8_t servers[MAX_TASKS];
	uint32_t count;
	uint32_t queued;
	uint32_t running;
	uint32_t started;
	uint32_t finished;
	uint64_t bytes;
	int64_t submitted_us;
	int64_t deadline_us;
	bool reported;
};

struct server {
	struct handle handle;
	bool present;
	struct sched_server_spec spec;
	bool labelled;
	uint64_t credits;
	uint32_t running;
	uint64_t finished;
	uint64_t failed;
	int64_t active_us;
	uint64_t tie;
	struct speed_estimate learned;
};

struct class
{
	bool exists;
	bool configured;
	bool near_only;
	bool labelled;
	int64_t run_us;
	uint32_t max_running;
	struct run_time_estimate learned;
	double order_run_us;
	uint64_t results;
	int64_t hold_us;
};

struct plain {
	struct sched *sched; /* the version under test */
	struct sched_limits limits;
	int64_t now_us;
	int64_t wake_us;
	struct class classes[CLASSES];
	struct sched_team_rules teams[TEAMS];
	struct speed_estimate_mean scale;
	struct job jobs[MAX_EVENTS];
	int job_count;
	struct server servers[MAX_EVENTS];
	int server_count;
	const char *difference; /* what differs, or NULL */
};

static bool ended(const struct job *job)
{
	return job->state != SCHED_JOB_QUEUED && job->state != SCHED_JOB_RUNNING;
}

static uint32_t queued_of(const struct job *job)
{
	return ended(job) ? 0 : job->queued;
}

/* Counts over the jobs of a class and team; -1 stands for all. */
static uint64_t queued(const struct plain *p, int class, int team)
{
	uint64_t sum = 0;

	for (int i = 0; i < p->job_count; i++) {
		if ((class < 0 || p->jobs[i].class == class) &&
		    (team < 0 || p->jobs[i].team == team))
			sum += queued_of(&p->jobs[i]);
	}
	return sum;
}

static uint64_t running(const struct plain *p, int class, int team)
{
	uint64_t sum = 0;

	for (int i = 0; i < p->job_count; i++) {
		if ((class < 0 || p->jobs[i].class == class) &&
		    (team < 0 || p->jobs[i].team == team))
			sum += p->jobs[i].running;
	}
	return sum;
}

static bool eligible(const struct class *class, const struct server *server)
{
	return server->present && class->exists &&
	       (!class->near_only || strcmp(server->spec.zone, "a") == 0) &&
	       (!class->labelled || server->labelled);
}

/* Servers whose waits are estimated together: labels count when a class asks for them. */
static bool same_pool(const struct plain *p, const struct server *a, const struct server *b)
{
	bool relevant = false;

	for (int c = 0; c < CLASSES; c++)
		relevant |= p->classes[c].exists && p->classes[c].labelled;
	return b->present && strcmp(a->spec.zone, b->spec.zone) == 0 &&
	       (!relevant || a->labelled == b->labelled);
}

static double factor_of(const struct server *server)
{
	return learn_placement_factor(&server->learned);
}

static double cost_at(const struct plain *p, const struct class *class, const struct server *server)
{
	bool near = strcmp(server->spec.zone, "a") == 0;

	return class->learned.run_us * factor_of(server) +
	       (near ? 0.0 : (double)p->limits.zone_penalty_us);
}

static double key_of(const struct plain *p, const struct job *job)
{
	return queued_of(job) * p->classes[job->class].order_run_us / p->teams[job->team].weight +
	       (double)job->submitted_us / (double)p->limits.ageing_divisor;
}

static uint64_t demand(const struct plain *p, int server)
{
	uint64_t sum = 0;

	for (int c = 0; c < CLASSES; c++)
		sum += eligible(&p->classes[c], &p->servers[server]) ? queued(p, c, -1) : 0;
	return sum;
}

static bool is_busy(const struct server *server)
{
	return server->spec.open && server->credits == 0 && server->running > 0;
}

/* Returns the best server with a credit, or the best one that is busy; -1 for none. */
static int best_server(const struct plain *p, const struct class *class, bool busy)
{
	int best = -1;

	for (int s = 0; s < p->server_count; s++) {
		const struct server *server = &p->servers[s];
		double cost;
		double least;

		if (!eligible(class, server))
			continue;
		if (busy ? !is_busy(server) : !server->spec.open || server->credits == 0)
			continue;
		cost = cost_at(p, class, server);
		least = best < 0 ? 0 : cost_at(p, class, &p->servers[best]);
		if (best < 0 || cost < least ||
		    (cost == least && factor_of(server) < factor_of(&p->servers[best])) ||
		    (cost == least && factor_of(server) == factor_of(&p->servers[best]) &&
		     server->tie < p->servers[best].tie))
			best = s;
	}
	return best;
}

static uint64_t pool_rate(const struct plain *p, int member)
{
	uint64_t rate = 0;

	for (int s = 0; s < p->server_count; s++) {
		const struct server *server = &p->servers[s];

		if (same_pool(p, &p->servers[member], server) && is_busy(server) &&
		    server->learned.mean_run_us > 0)
			rate += (uint64_t)(server->running * 1e9 / server->learned.mean_run_us);
	}
	return rate;
}

static bool may_start(const struct plain *p, const struct job *job)
{
	const struct sched_team_rules *team = &p->teams[job->team];

	return queued_of(job) > 0 &&
	       (team->max_running == 0 || running(p, -1, job->team) < team->max_running);
}

static uint32_t size_group(const struct job *job)
{
	return job->count < 4 ? 0 : job->count < 16 ? 1 : job->count < 64 ? 2 : 3;
}

/* Returns the first job of a class in the highest size group. */
static int large_job(const struct plain *p, int class)
{
	int best = -1;

	for (int i = 0; i < p->job_count; i++) {
		const struct job *job = &p->jobs[i];
		const struct job *other = &p->jobs[best < 0 ? i : best];

		if (job->class != class || !may_start(p, job))
			continue;
		if (best < 0 || size_group(job) > size_group(other) ||
		    (size_group(job) == size_group(other) && key_of(p, job) < key_of(p, other)))
			best = i;
	}
	return best;
}

/* Returns the job to start instead of waiting for BUSY, or -1 to wait. */
static int weigh_wait(struct plain *p, int head, int free, int busy)
{
	struct class *class = &p->classes[p->jobs[head].class];
	double least = cost_at(p, class, &p->servers[busy]);
	double gain = cost_at(p, class, &p->servers[free]) - least;
	uint64_t rate = pool_rate(p, busy);
	int64_t limit =
		p->servers[busy].active_us + (int64_t)(4 * p->servers[busy].learned.mean_run_us);

	if (gain <= 0.5 * least || rate == 0 || p->now_us >= limit)
		return head;
	if ((double)demand(p, busy) * (1e9 / (double)rate) >= gain)
		return p->jobs[head].queued * (1e9 / (double)rate) < gain
			       ? large_job(p, p->jobs[head].class)
			       : head;
	if (class->hold_us < 0)
		class->hold_us = p->now_us;
	limit = MIN(limit, class->hold_us + (int64_t)MIN(gain, (double)HOLD_LIMIT_US));
	if (p->now_us >= limit)
		return head;
	p->wake_us = MIN(p->wake_us, limit);
	return -1;
}

static int first_job(const struct plain *p, const bool *tried)
{
	int best = -1;

	for (int i = 0; i < p->job_count; i++) {
		const struct job *job = &p->jobs[i];
		uint32_t limit = p->classes[job->class].max_running;

		if (!may_start(p, job) || tried[job->class])
			continue;
		if (limit > 0 && running(p, job->class, -1) >= limit)
			continue;
		if (best < 0 || key_of(p, job) < key_of(p, &p->jobs[best]))
			best = i;
	}
	return best;
}

/* Chooses the job and server of the next start; the server is -1 when there is none. */
static void choose(struct plain *p, int *chosen_job, int *chosen)
{
	bool tried[CLASSES] = {false};

	p->wake_us = INT64_MAX;
	*chosen = -1;
	while ((*chosen_job = first_job(p, tried)) >= 0) {
		struct job *job = &p->jobs[*chosen_job];
		struct class *class = &p->classes[job->class];
		int free = best_server(p, class, false);
		int busy = best_server(p, class, true);

		if (free >= 0 && busy >= 0)
			*chosen_job = weigh_wait(p, *chosen_job, free, busy);
		if (free < 0 || *chosen_job < 0) {
			tried[job->class] = true;
			continue;
		}
		*chosen = free;
		return;
	}
}

/* Admission. */

static uint64_t held_bytes(const struct plain *p)
{
	uint64_t sum = 0;

	for (int i = 0; i < p->job_count; i++)
		sum += ended(&p->jobs[i]) ? 0 : p->jobs[i].bytes;
	return sum;
}

static bool any_server(const struct plain *p, const struct class *class)
{
	for (int s = 0; s < p->server_count; s++) {
		if (eligible(class, &p->servers[s]))
			return true;
	}
	return false;
}

static enum status plain_admit(struct plain *p, int c, int t, const struct sched_job_spec *spec)
{
	struct class *class = &p->classes[c];
	const struct sched_team_rules *team = &p->teams[t];

	if (!any_server(p, class))
		return STATUS_NO_CAPACITY_MATCH;
	if (team->max_queued > 0 && queued(p, -1, t) + spec->tasks > team->max_queued)
		return STATUS_QUOTA_EXCEEDED;
	if (queued(p, -1, -1) + spec->tasks > p->limits.max_queued_tasks ||
	    held_bytes(p) + spec->bytes > p->limits.max_queued_bytes)
		return STATUS_QUEUE_FULL;
	return STATUS_OK;
}

static void init_class(struct plain *p, struct class *class, int64_t run_us)
{
	learn_class_init(&class->learned, &p->scale, run_us);
	class->order_run_us = class->learned.run_us;
}

static void add_class(struct plain *p, struct class *class)
{
	if (class->exists)
		return;
	*class = (struct class){.exists = true, .hold_us = -1};
	init_class(p, class, 0);
}

static bool class_allowed(const struct plain *p, int c)
{
	bool any = false;

	for (int i = 0; i < CLASSES; i++)
		any |= p->classes[i].configured;
	return !any || p->classes[c].configured;
}

/* The order ties are broken in: the finalizer of splitmix64. */
static uint64_t tie_break(uint64_t serial)
{
	uint64_t mixed = MODEL_SEED + serial * 0x9e3779b97f4a7c15U;

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
	return mixed ^ (mixed >> 31);
}

/* Events of tasks. */

static void learn(struct plain *p, struct job *job, struct server *server, int64_t run_us)
{
	struct class *class = &p->classes[job->class];
	uint64_t queued_jobs = 0;
	double ratio;

	learn_result(&class->learned, &server->learned, &p->scale, run_us);
	for (int i = 0; i < p->job_count; i++)
		queued_jobs += p->jobs[i].class == job->class && queued_of(&p->jobs[i]) > 0;
	class->results++;
	ratio = class->learned.run_us / class->order_run_us;
	if ((ratio < 1.5 && ratio * 1.5 > 1) || class->results < queued_jobs / 4)
		return;
	class->results = 0;
	class->order_run_us = class->learned.run_us;
}

static enum sched_job_state plain_task(struct plain *p, struct job *job, uint32_t task,
				       enum task_event event, int64_t run_us)
{
	struct server *server = &p->servers[job->servers[task]];

	if (job->tasks[task] != TASK_OUT)
		return job->released && job->running == 0 ? SCHED_JOB_FAILED : job->state;
	job->tasks[task] = event == EVENT_REFUSED ? TASK_RETURNED : TASK_ENDED;
	job->running--;
	server->running--;
	if (event == EVENT_DONE) {
		job->finished++;
		server->finished++;
		server->active_us = p->now_us;
		learn(p, job, server, run_us);
		if (!ended(job) && job->finished == job->count)
			job->state = SCHED_JOB_DONE;
		return job->state;
	}
	learn_failure(&server->learned);
	if (event == EVENT_FAILED) {
		server->failed++;
		if (!ended(job))
			job->state = SCHED_JOB_FAILED;
		return job->state;
	}
	job->started--;
	job->queued++;
	if (!ended(job))
		job->state = job->started > 0 ? SCHED_JOB_RUNNING : SCHED_JOB_QUEUED;
	return job->state;
}

#endif
