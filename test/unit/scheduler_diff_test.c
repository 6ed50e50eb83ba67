/* Compares the scheduler with its model on random sequences of events and shrinks a sequence on
 * which they differ. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "scheduler_model.h"

enum {
	SEQUENCE_COUNT = 150000,
	BURST_EVENTS = 30 /* every fourth sequence begins with 2 added servers and submissions, 30
			     events in total */
};

/* apply_event() depends on this order. OP_TASK_* follow the order of enum task_event. */
enum op {
	OP_SUBMIT_JOB,
	OP_ADD_SERVER,
	OP_UPDATE_SERVER,
	OP_REMOVE_SERVER,
	OP_SET_CREDITS,
	OP_NEXT_ASSIGNMENT,
	OP_TASK_DONE,
	OP_TASK_REFUSED,
	OP_TASK_FAILED,
	OP_CANCEL_JOB,
	OP_FAIL_JOB,
	OP_RELEASE_JOB,
	OP_SET_RULES,
	OP_TAKE_EXPIRED,
	OP_STALE_TASK_EVENT,
	OP_COUNT
};

static const char *const op_names[] = {
	"submit-job",	   "add-server",  "update-server", "remove-server", "set-credits",
	"next-assignment", "task-done",	  "task-refused",  "task-failed",   "cancel-job",
	"fail-job",	   "release-job", "set-rules",	   "take-expired",  "stale-task-event"};
static const char *const class_names[] = {"c0", "c1", "c2"};
static const char *const team_names[] = {"t0", "t1", "t2", "t3", "t4", "t5", "t6"};

/* Distance of deadlines from the current time. It is so long that no deadline is refused as
 * unreachable, because the model does not estimate response times. Each OP_TAKE_EXPIRED advances
 * the time by a third of it. */
static const int64_t deadline_offset_us = 1000000000000000;

struct event {
	enum op op;
	uint32_t random[4];
	int64_t elapsed_us;
};

static void expect(struct model *m, bool equal, const char *what)
{
	if (!equal && !m->difference)
		m->difference = what;
}

static void apply_submit(struct model *m, const uint32_t *random)
{
	int c = random[0] % 4 ? 0 : (int)(random[1] % CLASS_COUNT);
	struct class *class = &m->classes[c];
	struct job *job = &m->jobs[m->job_count];
	enum status status = STATUS_NO_CAPACITY_MATCH;
	bool in_use = false;

	*job = (struct job){.class = c, .team = (int)(random[1] % TEAM_COUNT)};
	job->count = random[2] % 8 == 0 ? 1 + random[3] % MAX_TASKS : 1 + random[3] % 6;
	job->queued = job->count;
	job->bytes = random[2] % 100;
	job->submitted_us = m->now_us;
	if (random[3] % 2 == 0)
		job->deadline_us = m->now_us + deadline_offset_us + random[1] % 1000;
	const struct sched_job_spec spec = {
		.class_name = class_names[c],
		.team = team_names[job->team],
		.tasks = job->count,
		.bytes = job->bytes,
		.deadline_us = job->deadline_us,
		.declared_run_us = random[3] % 3 == 0 ? random[3] % 900000 : 0,
		.context = job,
	};
	if (class_allowed(m, c)) {
		add_class(m, class);
		status = model_admit(m, c, job->team, &spec);
	}
	expect(m, sched_submit(m->sched, &spec, m->now_us, &job->handle, NULL) == status,
	       "status of a submission");
	if (status != STATUS_OK)
		return;
	for (int i = 0; i < m->job_count; i++)
		in_use |= m->jobs[i].class == c && (!m->jobs[i].released || m->jobs[i].running > 0);
	if (!in_use && spec.declared_run_us > 0 && class->configured_run_us == 0 &&
	    class->estimate.samples == 0)
		init_class(m, class, spec.declared_run_us);
	m->job_count++;
}

static void set_spec(struct server *server, const uint32_t *random)
{
	static const char *const labels[] = {"x=1", "k=v", NULL};

	server->has_label = random[1] % 2;
	server->spec = (struct sched_server_spec){
		.id = "s",
		.zone = random[2] % 2 ? "a" : "b",
		.labels = server->has_label ? labels : NULL,
		.slots = 1 + random[3] % 8,
		.open = random[3] % 5 != 0,
	};
}

static void apply_server_add(struct model *m, const uint32_t *random)
{
	struct server *server = &m->servers[m->server_count++];

	*server = (struct server){.present = true,
				  .tie_breaker = tie_break((uint64_t)m->server_count)};
	learn_server_init(&server->estimate, &m->server_mean);
	set_spec(server, random);
	server->handle = sched_server_add(m->sched, &server->spec, server);
	server->credits = random[0] % 4;
	sched_server_set_credits(m->sched, server->handle, server->credits);
}

static void apply_rules(struct model *m, const uint32_t *random)
{
	static const char *const local_zone[] = {"a", NULL};
	static const char *const label[] = {"k=v", NULL};
	struct sched_class_rules rules[CLASS_COUNT];
	struct sched_team_rules teams[TEAM_COUNT];
	uint32_t count = 0;
	uint32_t team_count = 0;

	for (int c = 0; c < CLASS_COUNT; c++) {
		struct class *class = &m->classes[c];
		uint32_t bits = random[0] >> (8 * c);

		class->configured = false;
		if (bits % 4 == 0)
			continue;
		add_class(m, class);
		class->configured = true;
		class->local_zone_only = bits & 8;
		class->requires_label = bits & 16;
		class->configured_run_us = bits & 32 ? 50000 * (c + 1) : 0;
		class->max_running = (bits >> 6) & 3;
		rules[count] = (struct sched_class_rules){
			.zones = class->local_zone_only ? local_zone : NULL,
			.labels = class->requires_label ? label : NULL,
			.run_us = class->configured_run_us,
			.max_running = class->max_running};
		snprintf(rules[count++].name, NAME_BYTES, "%s", class_names[c]);
		if (class->estimate.samples == 0)
			init_class(m, class, class->configured_run_us);
	}
	for (int t = 0; t < TEAM_COUNT; t++) {
		uint32_t bits = random[1] >> (4 * t);

		m->teams[t] = (struct sched_team_rules){.weight = 1};
		if (bits % 4 == 0)
			continue;
		m->teams[t] = (struct sched_team_rules){.weight = 0.5 * (1 + (bits >> 2) % 4),
							.max_running = (bits >> 4) % 4,
							.max_queued = (bits >> 6) % 4 * 20};
		teams[team_count] = m->teams[t];
		snprintf(teams[team_count++].name, NAME_BYTES, "%s", team_names[t]);
	}
	sched_set_rules(m->sched, rules, count, teams, team_count);
}

static void apply_task_event(struct model *m, struct job *job, uint32_t task, enum task_event event,
			     int64_t run_us)
{
	struct handle server = m->servers[job->task_servers[task]].handle;
	enum sched_job_state expected = model_task_event(m, job, task, event, run_us);
	enum sched_job_state actual;

	if (event == EVENT_DONE)
		actual = sched_task_done(m->sched, job->handle, task, server, run_us, m->now_us);
	else if (event == EVENT_REFUSED)
		actual = sched_task_refused(m->sched, job->handle, task, server, m->now_us);
	else
		actual = sched_task_failed(m->sched, job->handle, task, server, m->now_us);
	expect(m, actual == expected, "job state after a task event");
}

/* Applies EVENT to a random outstanding task. The run time depends on the server; one result in 16
 * has 50 times that run time. */
static void apply_random_task_event(struct model *m, enum task_event event, const uint32_t *random)
{
	int64_t run_us = 10000 + random[1] % 40000;
	uint64_t skip = count_running(m, -1, -1);

	if (skip == 0)
		return;
	skip = random[0] % skip;
	for (int i = 0; i < m->job_count; i++) {
		for (uint32_t t = 0; t < m->jobs[i].count; t++) {
			if (m->jobs[i].task_states[t] != TASK_OUTSTANDING || skip-- > 0)
				continue;
			run_us *= 1 + 6 * (m->jobs[i].task_servers[t] % 3);
			apply_task_event(m, &m->jobs[i], t, event,
					 random[2] % 16 == 0 ? run_us * 50 : run_us);
			return;
		}
	}
}

static void apply_next(struct model *m)
{
	struct sched_assignment assignment;
	enum task_state expected = TASK_NEW;
	uint32_t task = 0;
	struct job *job;
	int j;
	int s;

	choose_assignment(m, &j, &s);
	if (sched_next_assignment(m->sched, m->now_us, &assignment) != (s >= 0)) {
		m->difference = "whether a task is started";
		return;
	}
	if (s < 0)
		return;
	job = &m->jobs[j];
	for (uint32_t t = 0; t < job->count; t++) {
		if (job->task_states[t] == TASK_REQUEUED)
			expected = TASK_REQUEUED;
	}
	while (job->task_states[task] != expected)
		task++;
	expect(m, assignment.job_context == job && handle_equal(assignment.job, job->handle),
	       "job of an assignment");
	expect(m, assignment.server_context == &m->servers[s], "server of an assignment");
	expect(m, assignment.task == task, "task of an assignment");
	job->task_states[task] = TASK_OUTSTANDING;
	job->task_servers[task] = (uint8_t)s;
	job->state = SCHED_JOB_RUNNING;
	job->queued--;
	job->running++;
	job->started++;
	m->classes[job->class].wait_since_us = -1;
	m->servers[s].credits--;
	m->servers[s].running++;
	m->servers[s].last_activity_us = m->now_us;
}

static void apply_job_end(struct model *m, struct job *job, enum op op)
{
	bool unfinished = !job->released && !is_ended(job);
	bool result = op == OP_CANCEL_JOB ? sched_cancel(m->sched, job->handle, m->now_us)
					  : sched_fail(m->sched, job->handle, m->now_us);

	expect(m, result == unfinished, "whether a job was ended");
	if (unfinished)
		job->state = op == OP_CANCEL_JOB ? SCHED_JOB_CANCELLED : SCHED_JOB_FAILED;
}

static void apply_expired(struct model *m)
{
	struct handle out[2];
	uint32_t count = sched_take_expired(m->sched, m->now_us, out, 2);
	uint32_t due = 0;

	for (; due < 3; due++) {
		struct job *first = NULL;

		for (int i = 0; i < m->job_count; i++) {
			struct job *job = &m->jobs[i];

			if (job->deadline_us == 0 || job->deadline_us > m->now_us ||
			    job->expiry_reported || is_ended(job))
				continue;
			if (!first || job->deadline_us < first->deadline_us)
				first = job;
		}
		if (!first || due == 2)
			break;
		first->expiry_reported = true;
		expect(m, due < count && handle_equal(out[due], first->handle), "expired job");
	}
	expect(m, count == due, "number of expired jobs");
}

static void apply_server_remove(struct model *m, int s)
{
	for (int i = 0; i < m->job_count; i++) {
		for (uint32_t t = 0; t < m->jobs[i].count; t++) {
			if (m->jobs[i].task_states[t] == TASK_OUTSTANDING &&
			    m->jobs[i].task_servers[t] == s)
				apply_task_event(m, &m->jobs[i], t, EVENT_FAILED, 0);
		}
	}
	sched_server_remove(m->sched, m->servers[s].handle);
	learn_server_remove(&m->servers[s].estimate, &m->server_mean);
	m->servers[s].present = false;
}

static void apply_server_event(struct model *m, enum op op, const uint32_t *random)
{
	int s = m->server_count > 0 ? (int)(random[0] % m->server_count) : 0;
	struct server *server = &m->servers[s];

	if (m->server_count == 0 || !server->present)
		return;
	if (op == OP_REMOVE_SERVER) {
		apply_server_remove(m, s);
	} else if (op == OP_SET_CREDITS) {
		server->credits = random[1] % 6;
		sched_server_set_credits(m->sched, server->handle, server->credits);
	} else {
		set_spec(server, random);
		sched_server_update(m->sched, server->handle, &server->spec);
	}
}

static void apply_job_event(struct model *m, enum op op, const uint32_t *random)
{
	struct job *job = &m->jobs[m->job_count > 0 ? random[0] % m->job_count : 0];
	uint32_t task;

	if (m->job_count == 0)
		return;
	if (op == OP_CANCEL_JOB || op == OP_FAIL_JOB) {
		apply_job_end(m, job, op);
	} else if (op == OP_RELEASE_JOB) {
		sched_release(m->sched, job->handle);
		job->released |= is_ended(job);
	} else {
		task = random[1] % job->count;
		if (job->task_states[task] != TASK_OUTSTANDING)
			apply_task_event(m, job, task, random[2] % 3, 1000);
	}
}

static void apply_event(struct model *m, const struct event *event)
{
	m->now_us += event->elapsed_us;
	if (event->op == OP_SUBMIT_JOB)
		apply_submit(m, event->random);
	else if (event->op == OP_ADD_SERVER)
		apply_server_add(m, event->random);
	else if (event->op <= OP_SET_CREDITS)
		apply_server_event(m, event->op, event->random);
	else if (event->op == OP_NEXT_ASSIGNMENT)
		apply_next(m);
	else if (event->op <= OP_TASK_FAILED)
		apply_random_task_event(m, event->op - OP_TASK_DONE, event->random);
	else if (event->op == OP_SET_RULES)
		apply_rules(m, event->random);
	else if (event->op == OP_TAKE_EXPIRED)
		apply_expired(m);
	else
		apply_job_event(m, event->op, event->random);
	for (int c = 0; c < CLASS_COUNT; c++) {
		if (count_queued(m, c, -1) == 0)
			m->classes[c].wait_since_us = -1;
	}
}

static void compare_job(struct model *m, const struct job *job)
{
	struct sched_job_view view;

	if (!sched_job_view(m->sched, job->handle, &view)) {
		expect(m, job->released, "unreleased job is unknown");
		return;
	}
	expect(m, !job->released, "released job is known");
	expect(m, view.state == job->state, "state of a job");
	expect(m, view.started == job->started, "started tasks of a job");
	expect(m, view.running == job->running, "running tasks of a job");
	expect(m, view.finished == job->finished, "finished tasks of a job");
}

static void compare(struct model *m)
{
	struct sched_server_view view;

	expect(m, sched_queued_tasks(m->sched) == count_queued(m, -1, -1), "total of queued tasks");
	expect(m, sched_running_tasks(m->sched) == count_running(m, -1, -1),
	       "total of running tasks");
	expect(m, sched_wakeup_us(m->sched) == m->wakeup_us, "wake time");
	for (int i = 0; i < m->job_count; i++)
		compare_job(m, &m->jobs[i]);
	for (int s = 0; s < m->server_count; s++) {
		const struct server *server = &m->servers[s];

		if (!sched_server_view(m->sched, server->handle, &view)) {
			expect(m, !server->present, "present server is unknown");
			continue;
		}
		expect(m,
		       view.running == server->running && view.credits == server->credits &&
			       view.finished == server->finished && view.failed == server->failed,
		       "counters of a server");
		expect(m, sched_server_demand(m->sched, server->handle) == server_demand(m, s),
		       "demand of a server");
	}
}

/* Runs the events marked in KEPT. Returns the index of the event after which the scheduler and the
 * model differ, or -1, and stores the difference in WHAT. */
static int run_events(const struct event *events, const bool *kept, int count, const char **what)
{
	static struct model m;
	int at = -1;

	memset(&m, 0, sizeof(m));
	m.limits = (struct sched_limits){.max_queued_tasks = 300,
					 .max_queued_bytes = 900,
					 .ageing_divisor = 10,
					 .zone_penalty_us = 20000};
	m.wakeup_us = INT64_MAX;
	m.sched = sched_new(&m.limits, "a", MODEL_SEED);
	for (int t = 0; t < TEAM_COUNT; t++)
		m.teams[t].weight = 1;
	for (int i = 0; i < count && !m.difference; i++) {
		if (!kept[i])
			continue;
		apply_event(&m, &events[i]);
		compare(&m);
		at = i;
	}
	sched_free(m.sched);
	*what = m.difference;
	return m.difference ? at : -1;
}

/* Removes every event without which the scheduler and the model still differ, then prints the
 * remaining events. */
static void shrink(const struct event *events, bool *kept, int count)
{
	const char *what;
	bool smaller = true;

	while (smaller) {
		smaller = false;
		for (int i = 0; i < count; i++) {
			if (!kept[i])
				continue;
			kept[i] = false;
			if (run_events(events, kept, count, &what) >= 0)
				smaller = true;
			else
				kept[i] = true;
		}
	}
	run_events(events, kept, count, &what);
	for (int i = 0; i < count; i++) {
		const uint32_t *r = events[i].random;

		if (kept[i])
			g_printerr("  +%" G_GINT64_FORMAT " us %s(%u, %u, %u, %u)\n",
				   events[i].elapsed_us, op_names[events[i].op], r[0], r[1], r[2],
				   r[3]);
	}
	g_printerr("  differs in: %s\n", what);
}

static void generate_event(GRand *rand, struct event *event, enum op forced_op)
{
	static const uint8_t weights[OP_COUNT] = {16, 3, 2, 1, 14, 34, 20, 4, 1, 5, 1, 3, 2, 2, 2};
	int left = g_rand_int_range(rand, 0, 110);

	event->op = OP_SUBMIT_JOB;
	while (left >= weights[event->op])
		left -= weights[event->op++];
	if (forced_op != OP_COUNT)
		event->op = forced_op;
	for (int i = 0; i < 4; i++)
		event->random[i] = g_rand_int(rand);
	event->elapsed_us = g_rand_int_range(rand, 0, 4) == 0 ? event->random[3] % 300000 : 0;
	if (event->op == OP_TAKE_EXPIRED)
		event->elapsed_us = deadline_offset_us / 3;
}

/* Guards against faults in the queue order, placement, limits and accounting: any decision or count
 * that differs from that of the model is such a fault. */
static void test_same_as_model(void)
{
	GRand *rand = g_rand_new_with_seed(MODEL_SEED);
	struct event events[MAX_EVENTS] = {0};
	bool kept[MAX_EVENTS] = {false};
	const char *what;

	g_test_message("seed %d, %d sequences", MODEL_SEED, SEQUENCE_COUNT);
	for (int i = 0; i < SEQUENCE_COUNT; i++) {
		int count = g_rand_int_range(rand, 5, MAX_EVENTS + 1);
		int burst = i % 4 == 0 ? BURST_EVENTS : 0;
		int at;

		for (int e = 0; e < count; e++) {
			enum op forced_op = e < 2	? OP_ADD_SERVER
					    : e < burst ? OP_SUBMIT_JOB
							: OP_COUNT;

			generate_event(rand, &events[e], forced_op);
			kept[e] = true;
		}
		at = run_events(events, kept, count, &what);
		if (at < 0)
			continue;
		g_printerr("sequence %d of seed %d differs after event %d; shrunk sequence:\n", i,
			   MODEL_SEED, at);
		shrink(events, kept, at + 1);
		g_test_fail();
		break;
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scheduler/same-as-plain-version", test_same_as_model);
	return g_test_run();
}
