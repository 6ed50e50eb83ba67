/* A simple model of the scheduler for differential tests. It uses linear scans and keeps no derived
 * state. Only the learned estimates (scheduler_learn.h) are shared with the scheduler. The model
 * does not estimate response times at admission. */
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
	CLASS_COUNT = 3,
	TEAM_COUNT = 7,
	MAX_WAIT_US = 10000000
};

enum task_event {
	EVENT_DONE,
	EVENT_REFUSED,
	EVENT_FAILED
};

enum task_state {
	TASK_NEW,
	TASK_REQUEUED,
	TASK_OUTSTANDING,
	TASK_ENDED
};

struct job {
	struct handle handle;
	int class;
	int team;
	enum sched_job_state state;
	bool released;
	uint8_t task_states[MAX_TASKS];	 /* enum task_state */
	uint8_t task_servers[MAX_TASKS]; /* index of the server that a task was last started on */
	uint32_t count;
	uint32_t queued;
	uint32_t running;
	uint32_t started;
	uint32_t finished;
	uint64_t bytes;
	int64_t submitted_us;
	int64_t deadline_us;
	bool expiry_reported;
};

struct server {
	struct handle handle;
	bool present;
	struct sched_server_spec spec;
	bool has_label;
	uint64_t credits;
	uint32_t running;
	uint64_t finished;
	uint64_t failed;
	int64_t last_activity_us;
	uint64_t tie_breaker;
	struct speed_estimate estimate;
};

struct class
{
	bool exists;
	bool configured;
	bool local_zone_only;
	bool requires_label;
	int64_t configured_run_us;
	uint32_t max_running;
	struct run_time_estimate estimate;
	double queue_key_run_us; /* run time used in the queue keys */
	uint64_t results_since_key_update;
	int64_t wait_since_us; /* start of the wait for a cheaper busy server, or -1 when not
				  waiting */
};

struct model {
	struct sched *sched; /* the scheduler under test */
	struct sched_limits limits;
	int64_t now_us;
	int64_t wakeup_us; /* expected result of sched_wakeup_us() */
	struct class classes[CLASS_COUNT];
	struct sched_team_rules teams[TEAM_COUNT];
	struct speed_estimate_mean server_mean;
	struct job jobs[MAX_EVENTS];
	int job_count;
	struct server servers[MAX_EVENTS];
	int server_count;
	const char *difference; /* description of the first difference, or NULL */
};

static bool is_ended(const struct job *job)
{
	return job->state != SCHED_JOB_QUEUED && job->state != SCHED_JOB_RUNNING;
}

static uint32_t queued_tasks_of(const struct job *job)
{
	return is_ended(job) ? 0 : job->queued;
}

/* Returns the number of queued tasks of a class and team; -1 selects all classes or teams. */
static uint64_t count_queued(const struct model *m, int class, int team)
{
	uint64_t sum = 0;

	for (int i = 0; i < m->job_count; i++) {
		if ((class < 0 || m->jobs[i].class == class) &&
		    (team < 0 || m->jobs[i].team == team))
			sum += queued_tasks_of(&m->jobs[i]);
	}
	return sum;
}

static uint64_t count_running(const struct model *m, int class, int team)
{
	uint64_t sum = 0;

	for (int i = 0; i < m->job_count; i++) {
		if ((class < 0 || m->jobs[i].class == class) &&
		    (team < 0 || m->jobs[i].team == team))
			sum += m->jobs[i].running;
	}
	return sum;
}

static bool is_eligible(const struct class *class, const struct server *server)
{
	return server->present && class->exists &&
	       (!class->local_zone_only || strcmp(server->spec.zone, "a") == 0) &&
	       (!class->requires_label || server->has_label);
}

/* Returns whether B is present and in the pool of A, that is, whether the waits for both are
 * estimated together. Servers of a pool have the same zone and, if a class requires a label, both
 * have it or neither. */
static bool in_same_pool(const struct model *m, const struct server *a, const struct server *b)
{
	bool relevant = false;

	for (int c = 0; c < CLASS_COUNT; c++)
		relevant |= m->classes[c].exists && m->classes[c].requires_label;
	return b->present && strcmp(a->spec.zone, b->spec.zone) == 0 &&
	       (!relevant || a->has_label == b->has_label);
}

static double placement_factor(const struct server *server)
{
	return learn_placement_factor(&server->estimate);
}

static double placement_cost_us(const struct model *m, const struct class *class,
				const struct server *server)
{
	bool is_local = strcmp(server->spec.zone, "a") == 0;

	return class->estimate.run_us * placement_factor(server) +
	       (is_local ? 0.0 : (double)m->limits.zone_penalty_us);
}

static double queue_key(const struct model *m, const struct job *job)
{
	return queued_tasks_of(job) * m->classes[job->class].queue_key_run_us /
		       m->teams[job->team].weight +
	       (double)job->submitted_us / (double)m->limits.ageing_divisor;
}

static uint64_t server_demand(const struct model *m, int server)
{
	uint64_t sum = 0;

	for (int c = 0; c < CLASS_COUNT; c++)
		sum += is_eligible(&m->classes[c], &m->servers[server]) ? count_queued(m, c, -1)
									: 0;
	return sum;
}

static bool is_busy(const struct server *server)
{
	return server->spec.open && server->credits == 0 && server->running > 0;
}

/* Returns the server with the lowest placement cost among the busy ones if BUSY is set, otherwise
 * among those with a credit. Returns -1 if there is none. */
static int cheapest_server(const struct model *m, const struct class *class, bool busy)
{
	int best = -1;

	for (int s = 0; s < m->server_count; s++) {
		const struct server *server = &m->servers[s];
		double cost;
		double least;

		if (!is_eligible(class, server))
			continue;
		if (busy ? !is_busy(server) : !server->spec.open || server->credits == 0)
			continue;
		cost = placement_cost_us(m, class, server);
		least = best < 0 ? 0 : placement_cost_us(m, class, &m->servers[best]);
		if (best < 0 || cost < least ||
		    (cost == least &&
		     placement_factor(server) < placement_factor(&m->servers[best])) ||
		    (cost == least &&
		     placement_factor(server) == placement_factor(&m->servers[best]) &&
		     server->tie_breaker < m->servers[best].tie_breaker))
			best = s;
	}
	return best;
}

/* Returns how many tasks the busy servers in the pool of MEMBER complete in 1,000 seconds. */
static uint64_t pool_completion_rate(const struct model *m, int member)
{
	uint64_t rate = 0;

	for (int s = 0; s < m->server_count; s++) {
		const struct server *server = &m->servers[s];

		if (in_same_pool(m, &m->servers[member], server) && is_busy(server) &&
		    server->estimate.mean_run_us > 0)
			rate += (uint64_t)(server->running * 1e9 / server->estimate.mean_run_us);
	}
	return rate;
}

static bool has_startable_task(const struct model *m, const struct job *job)
{
	const struct sched_team_rules *team = &m->teams[job->team];

	return queued_tasks_of(job) > 0 &&
	       (team->max_running == 0 || count_running(m, -1, job->team) < team->max_running);
}

static uint32_t size_group(const struct job *job)
{
	return job->count < 4 ? 0 : job->count < 16 ? 1 : job->count < 64 ? 2 : 3;
}

/* Returns the startable job with the lowest queue key in the highest size group that has one, or
 * -1. */
static int first_large_job(const struct model *m, int class)
{
	int best = -1;

	for (int i = 0; i < m->job_count; i++) {
		const struct job *job = &m->jobs[i];
		const struct job *other = &m->jobs[best < 0 ? i : best];

		if (job->class != class || !has_startable_task(m, job))
			continue;
		if (best < 0 || size_group(job) > size_group(other) ||
		    (size_group(job) == size_group(other) &&
		     queue_key(m, job) < queue_key(m, other)))
			best = i;
	}
	return best;
}

/* Returns the job to start on FREE, or -1 if the class should wait for BUSY instead. */
static int choose_job_or_wait(struct model *m, int head, int free, int busy)
{
	struct class *class = &m->classes[m->jobs[head].class];
	double least = placement_cost_us(m, class, &m->servers[busy]);
	double gain = placement_cost_us(m, class, &m->servers[free]) - least;
	uint64_t rate = pool_completion_rate(m, busy);
	int64_t limit = m->servers[busy].last_activity_us +
			(int64_t)(4 * m->servers[busy].estimate.mean_run_us);

	if (gain <= 0.5 * least || rate == 0 || m->now_us >= limit)
		return head;
	if ((double)server_demand(m, busy) * (1e9 / (double)rate) >= gain)
		return m->jobs[head].queued * (1e9 / (double)rate) < gain
			       ? first_large_job(m, m->jobs[head].class)
			       : head;
	if (class->wait_since_us < 0)
		class->wait_since_us = m->now_us;
	limit = MIN(limit, class->wait_since_us + (int64_t)MIN(gain, (double)MAX_WAIT_US));
	if (m->now_us >= limit)
		return head;
	m->wakeup_us = MIN(m->wakeup_us, limit);
	return -1;
}

/* Returns the startable job with the lowest queue key, or -1. Skips classes in TRIED and those at
 * their running limit. */
static int first_job(const struct model *m, const bool *tried)
{
	int best = -1;

	for (int i = 0; i < m->job_count; i++) {
		const struct job *job = &m->jobs[i];
		uint32_t limit = m->classes[job->class].max_running;

		if (!has_startable_task(m, job) || tried[job->class])
			continue;
		if (limit > 0 && count_running(m, job->class, -1) >= limit)
			continue;
		if (best < 0 || queue_key(m, job) < queue_key(m, &m->jobs[best]))
			best = i;
	}
	return best;
}

/* Chooses the job and server of the next assignment. The server is -1 if nothing can be started. */
static void choose_assignment(struct model *m, int *chosen_job, int *chosen_server)
{
	bool tried[CLASS_COUNT] = {false};

	m->wakeup_us = INT64_MAX;
	*chosen_server = -1;
	while ((*chosen_job = first_job(m, tried)) >= 0) {
		struct job *job = &m->jobs[*chosen_job];
		struct class *class = &m->classes[job->class];
		int free = cheapest_server(m, class, false);
		int busy = cheapest_server(m, class, true);

		if (free >= 0 && busy >= 0)
			*chosen_job = choose_job_or_wait(m, *chosen_job, free, busy);
		if (free < 0 || *chosen_job < 0) {
			tried[job->class] = true;
			continue;
		}
		*chosen_server = free;
		return;
	}
}

static uint64_t unfinished_job_bytes(const struct model *m)
{
	uint64_t sum = 0;

	for (int i = 0; i < m->job_count; i++)
		sum += is_ended(&m->jobs[i]) ? 0 : m->jobs[i].bytes;
	return sum;
}

static bool has_eligible_server(const struct model *m, const struct class *class)
{
	for (int s = 0; s < m->server_count; s++) {
		if (is_eligible(class, &m->servers[s]))
			return true;
	}
	return false;
}

static enum status model_admit(struct model *m, int c, int t, const struct sched_job_spec *spec)
{
	struct class *class = &m->classes[c];
	const struct sched_team_rules *team = &m->teams[t];

	if (!has_eligible_server(m, class))
		return STATUS_NO_CAPACITY_MATCH;
	if (team->max_queued > 0 && count_queued(m, -1, t) + spec->tasks > team->max_queued)
		return STATUS_QUOTA_EXCEEDED;
	if (count_queued(m, -1, -1) + spec->tasks > m->limits.max_queued_tasks ||
	    unfinished_job_bytes(m) + spec->bytes > m->limits.max_queued_bytes)
		return STATUS_QUEUE_FULL;
	return STATUS_OK;
}

static void init_class(struct model *m, struct class *class, int64_t run_us)
{
	learn_class_init(&class->estimate, &m->server_mean, run_us);
	class->queue_key_run_us = class->estimate.run_us;
}

static void add_class(struct model *m, struct class *class)
{
	if (class->exists)
		return;
	*class = (struct class){.exists = true, .wait_since_us = -1};
	init_class(m, class, 0);
}

static bool class_allowed(const struct model *m, int c)
{
	bool any = false;

	for (int i = 0; i < CLASS_COUNT; i++)
		any |= m->classes[i].configured;
	return !any || m->classes[c].configured;
}

/* Returns the number that orders servers with equal placement cost and factor, computed as in the
 * scheduler (splitmix64 finalizer). */
static uint64_t tie_break(uint64_t serial)
{
	uint64_t mixed = MODEL_SEED + serial * 0x9e3779b97f4a7c15U;

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
	return mixed ^ (mixed >> 31);
}

static void learn_from_result(struct model *m, struct job *job, struct server *server,
			      int64_t run_us)
{
	struct class *class = &m->classes[job->class];
	uint64_t queued_jobs = 0;
	double ratio;

	learn_result(&class->estimate, &server->estimate, &m->server_mean, run_us);
	for (int i = 0; i < m->job_count; i++)
		queued_jobs += m->jobs[i].class == job->class && queued_tasks_of(&m->jobs[i]) > 0;
	class->results_since_key_update++;
	ratio = class->estimate.run_us / class->queue_key_run_us;
	if ((ratio < 1.5 && ratio * 1.5 > 1) || class->results_since_key_update < queued_jobs / 4)
		return;
	class->results_since_key_update = 0;
	class->queue_key_run_us = class->estimate.run_us;
}

static enum sched_job_state model_task_event(struct model *m, struct job *job, uint32_t task,
					     enum task_event event, int64_t run_us)
{
	struct server *server = &m->servers[job->task_servers[task]];

	/* The scheduler no longer knows a released job without running tasks and reports it as
	 * failed. */
	if (job->task_states[task] != TASK_OUTSTANDING)
		return job->released && job->running == 0 ? SCHED_JOB_FAILED : job->state;
	job->task_states[task] = event == EVENT_REFUSED ? TASK_REQUEUED : TASK_ENDED;
	job->running--;
	server->running--;
	if (event == EVENT_DONE) {
		job->finished++;
		server->finished++;
		server->last_activity_us = m->now_us;
		learn_from_result(m, job, server, run_us);
		if (!is_ended(job) && job->finished == job->count)
			job->state = SCHED_JOB_DONE;
		return job->state;
	}
	learn_failure(&server->estimate);
	if (event == EVENT_FAILED) {
		server->failed++;
		if (!is_ended(job))
			job->state = SCHED_JOB_FAILED;
		return job->state;
	}
	job->started--;
	job->queued++;
	if (!is_ended(job))
		job->state = job->started > 0 ? SCHED_JOB_RUNNING : SCHED_JOB_QUEUED;
	return job->state;
}

#endif
