/* Compares the scheduler with its plain version on random sequences of events, and shrinks a
 * sequence on which they differ. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "scheduler_model.h"

enum {
	SEQUENCES = 150000,
	PILE_EVENTS = 30 /* every fourth sequence begins with many submissions */
};

enum op {
	OP_SUBMIT,
	OP_ADD,
	OP_UPDATE,
	OP_REMOVE,
	OP_CREDITS,
	OP_NEXT,
	OP_DONE,
	OP_REFUSED,
	OP_FAILED,
	OP_CANCEL,
	OP_FAIL,
	OP_RELEASE,
	OP_RULES,
	OP_EXPIRED,
	OP_REPEAT,
	OP_COUNT
};

static const char *const op_names[] = {"submit", "add",	    "update",  "remove",  "credits",
				       "next",	 "done",    "refused", "failed",  "cancel",
				       "fail",	 "release", "rules",   "expired", "repeat"};
static const char *const class_names[] = {"c0", "c1", "c2"};
static const char *const team_names[] = {"t0", "t1", "t2", "t3", "t4", "t5", "t6"};

/* Deadlines lie this far ahead, since the plain version does not estimate response times. Time goes
 * on by a third of it before some looks at the expired jobs. */
static const int64_t far_us = 1000000000000000;

struct event {
	enum op op;
	uint32_t random[4];
	int64_t elapsed_us;
};

static void expect(struct plain *p, bool equal, const char *what)
{
	if (!equal && !p->difference)
		p->difference = what;
}

static void do_submit(struct plain *p, const uint32_t *random)
{
	int c = random[0] % 4 ? 0 : (int)(random[1] % CLASSES);
	struct class *class = &p->classes[c];
	struct job *job = &p->jobs[p->job_count];
	enum status status = STATUS_NO_CAPACITY_MATCH;
	bool used = false;

	*job = (struct job){.class = c, .team = (int)(random[1] % TEAMS)};
	job->count = random[2] % 8 == 0 ? 1 + random[3] % MAX_TASKS : 1 + random[3] % 6;
	job->queued = job->count;
	job->bytes = random[2] % 100;
	job->submitted_us = p->now_us;
	if (random[3] % 2 == 0)
		job->deadline_us = p->now_us + far_us + random[1] % 1000;
	const struct sched_job_spec spec = {
		.class_name = class_names[c],
		.team = team_names[job->team],
		.tasks = job->count,
		.bytes = job->bytes,
		.deadline_us = job->deadline_us,
		.declared_run_us = random[3] % 3 == 0 ? random[3] % 900000 : 0,
		.context = job,
	};
	if (class_allowed(p, c)) {
		add_class(p, class);
		status = plain_admit(p, c, job->team, &spec);
	}
	expect(p, sched_submit(p->sched, &spec, p->now_us, &job->handle, NULL) == status, "status");
	if (status != STATUS_OK)
		return;
	for (int i = 0; i < p->job_count; i++)
		used |= p->jobs[i].class == c && (!p->jobs[i].released || p->jobs[i].running > 0);
	if (!used && spec.declared_run_us > 0 && class->run_us == 0 && class->learned.samples == 0)
		init_class(p, class, spec.declared_run_us);
	p->job_count++;
}

/* Servers and rules. */

static void set_spec(struct server *server, const uint32_t *random)
{
	static const char *const labels[] = {"x=1", "k=v", NULL};

	server->labelled = random[1] % 2;
	server->spec = (struct sched_server_spec){
		.id = "s",
		.zone = random[2] % 2 ? "a" : "b",
		.labels = server->labelled ? labels : NULL,
		.slots = 1 + random[3] % 8,
		.open = random[3] % 5 != 0,
	};
}

static void do_add(struct plain *p, const uint32_t *random)
{
	struct server *server = &p->servers[p->server_count++];

	*server = (struct server){.present = true, .tie = tie_break((uint64_t)p->server_count)};
	learn_server_init(&server->learned, &p->scale);
	set_spec(server, random);
	server->handle = sched_server_add(p->sched, &server->spec, server);
	server->credits = random[0] % 4;
	sched_server_set_credits(p->sched, server->handle, server->credits);
}

static void do_rules(struct plain *p, const uint32_t *random)
{
	static const char *const near[] = {"a", NULL};
	static const char *const label[] = {"k=v", NULL};
	struct sched_class_rules rules[CLASSES];
	struct sched_team_rules teams[TEAMS];
	uint32_t count = 0;
	uint32_t team_count = 0;

	for (int c = 0; c < CLASSES; c++) {
		struct class *class = &p->classes[c];
		uint32_t bits = random[0] >> (8 * c);

		class->configured = false;
		if (bits % 4 == 0)
			continue;
		add_class(p, class);
		class->configured = true;
		class->near_only = bits & 8;
		class->labelled = bits & 16;
		class->run_us = bits & 32 ? 50000 * (c + 1) : 0;
		class->max_running = (bits >> 6) & 3;
		rules[count] = (struct sched_class_rules){.zones = class->near_only ? near : NULL,
							  .labels = class->labelled ? label : NULL,
							  .run_us = class->run_us,
							  .max_running = class->max_running};
		snprintf(rules[count++].name, NAME_BYTES, "%s", class_names[c]);
		if (class->learned.samples == 0)
			init_class(p, class, class->run_us);
	}
	for (int t = 0; t < TEAMS; t++) {
		uint32_t bits = random[1] >> (4 * t);

		p->teams[t] = (struct sched_team_rules){.weight = 1};
		if (bits % 4 == 0)
			continue;
		p->teams[t] = (struct sched_team_rules){.weight = 0.5 * (1 + (bits >> 2) % 4),
							.max_running = (bits >> 4) % 4,
							.max_queued = (bits >> 6) % 4 * 20};
		teams[team_count] = p->teams[t];
		snprintf(teams[team_count++].name, NAME_BYTES, "%s", team_names[t]);
	}
	sched_set_rules(p->sched, rules, count, teams, team_count);
}

static void do_task(struct plain *p, struct job *job, uint32_t task, enum task_event event,
		    int64_t run_us)
{
	struct handle server = p->servers[job->servers[task]].handle;
	enum sched_job_state state = plain_task(p, job, task, event, run_us);
	enum sched_job_state got;

	if (event == EVENT_DONE)
		got = sched_task_done(p->sched, job->handle, task, server, run_us, p->now_us);
	else if (event == EVENT_REFUSED)
		got = sched_task_refused(p->sched, job->handle, task, server, p->now_us);
	else
		got = sched_task_failed(p->sched, job->handle, task, server, p->now_us);
	expect(p, got == state, "job state after a task's event");
}

/* Applies EVENT to a random task that is out. Each server has its own speed; some results straggle.
 */
static void do_random_task(struct plain *p, enum task_event event, const uint32_t *random)
{
	int64_t run_us = 10000 + random[1] % 40000;
	uint64_t skip = running(p, -1, -1);

	if (skip == 0)
		return;
	skip = random[0] % skip;
	for (int i = 0; i < p->job_count; i++) {
		for (uint32_t t = 0; t < p->jobs[i].count; t++) {
			if (p->jobs[i].tasks[t] != TASK_OUT || skip-- > 0)
				continue;
			run_us *= 1 + 6 * (p->jobs[i].servers[t] % 3);
			do_task(p, &p->jobs[i], t, event,
				random[2] % 16 == 0 ? run_us * 50 : run_us);
			return;
		}
	}
}

static void do_next(struct plain *p)
{
	struct sched_assignment start;
	enum task_state wanted = TASK_FRESH;
	uint32_t task = 0;
	struct job *job;
	int j;
	int s;

	choose(p, &j, &s);
	if (sched_next_assignment(p->sched, p->now_us, &start) != (s >= 0)) {
		p->difference = "whether a task starts";
		return;
	}
	if (s < 0)
		return;
	job = &p->jobs[j];
	for (uint32_t t = 0; t < job->count; t++) {
		if (job->tasks[t] == TASK_RETURNED)
			wanted = TASK_RETURNED;
	}
	while (job->tasks[task] != wanted)
		task++;
	expect(p, start.job_context == job && handle_equal(start.job, job->handle), "job");
	expect(p, start.server_context == &p->servers[s], "server");
	expect(p, start.task == task, "task");
	job->tasks[task] = TASK_OUT;
	job->servers[task] = (uint8_t)s;
	job->state = SCHED_JOB_RUNNING;
	job->queued--;
	job->running++;
	job->started++;
	p->classes[job->class].hold_us = -1;
	p->servers[s].credits--;
	p->servers[s].running++;
	p->servers[s].active_us = p->now_us;
}

static void do_end(struct plain *p, struct job *job, enum op op)
{
	bool live = !job->released && !ended(job);
	bool got = op == OP_CANCEL ? sched_cancel(p->sched, job->handle, p->now_us)
				   : sched_fail(p->sched, job->handle, p->now_us);

	expect(p, got == live, "whether a job is ended");
	if (live)
		job->state = op == OP_CANCEL ? SCHED_JOB_CANCELLED : SCHED_JOB_FAILED;
}

static void do_expired(struct plain *p)
{
	struct handle out[2];
	uint32_t count = sched_take_expired(p->sched, p->now_us, out, 2);
	uint32_t due = 0;

	for (; due < 3; due++) {
		struct job *first = NULL;

		for (int i = 0; i < p->job_count; i++) {
			struct job *job = &p->jobs[i];

			if (job->deadline_us == 0 || job->deadline_us > p->now_us ||
			    job->reported || ended(job))
				continue;
			if (!first || job->deadline_us < first->deadline_us)
				first = job;
		}
		if (!first || due == 2)
			break;
		first->reported = true;
		expect(p, due < count && handle_equal(out[due], first->handle), "expired job");
	}
	expect(p, count == due, "number of expired jobs");
}

static void do_remove(struct plain *p, int s)
{
	for (int i = 0; i < p->job_count; i++) {
		for (uint32_t t = 0; t < p->jobs[i].count; t++) {
			if (p->jobs[i].tasks[t] == TASK_OUT && p->jobs[i].servers[t] == s)
				do_task(p, &p->jobs[i], t, EVENT_FAILED, 0);
		}
	}
	sched_server_remove(p->sched, p->servers[s].handle);
	learn_server_remove(&p->servers[s].learned, &p->scale);
	p->servers[s].present = false;
}

static void do_server(struct plain *p, enum op op, const uint32_t *random)
{
	int s = p->server_count > 0 ? (int)(random[0] % p->server_count) : 0;
	struct server *server = &p->servers[s];

	if (p->server_count == 0 || !server->present)
		return;
	if (op == OP_REMOVE) {
		do_remove(p, s);
	} else if (op == OP_CREDITS) {
		server->credits = random[1] % 6;
		sched_server_set_credits(p->sched, server->handle, server->credits);
	} else {
		set_spec(server, random);
		sched_server_update(p->sched, server->handle, &server->spec);
	}
}

static void do_job(struct plain *p, enum op op, const uint32_t *random)
{
	struct job *job = &p->jobs[p->job_count > 0 ? random[0] % p->job_count : 0];
	uint32_t task;

	if (p->job_count == 0)
		return;
	if (op == OP_CANCEL || op == OP_FAIL) {
		do_end(p, job, op);
	} else if (op == OP_RELEASE) {
		sched_release(p->sched, job->handle);
		job->released |= ended(job);
	} else {
		task = random[1] % job->count;
		if (job->tasks[task] != TASK_OUT)
			do_task(p, job, task, random[2] % 3, 1000);
	}
}

static void apply(struct plain *p, const struct event *event)
{
	p->now_us += event->elapsed_us;
	if (event->op == OP_SUBMIT)
		do_submit(p, event->random);
	else if (event->op == OP_ADD)
		do_add(p, event->random);
	else if (event->op <= OP_CREDITS)
		do_server(p, event->op, event->random);
	else if (event->op == OP_NEXT)
		do_next(p);
	else if (event->op <= OP_FAILED)
		do_random_task(p, event->op - OP_DONE, event->random);
	else if (event->op == OP_RULES)
		do_rules(p, event->random);
	else if (event->op == OP_EXPIRED)
		do_expired(p);
	else
		do_job(p, event->op, event->random);
	for (int c = 0; c < CLASSES; c++) {
		if (queued(p, c, -1) == 0)
			p->classes[c].hold_us = -1;
	}
}

static void compare_job(struct plain *p, const struct job *job)
{
	struct sched_job_view view;

	if (!sched_job_view(p->sched, job->handle, &view)) {
		expect(p, job->released, "job is unknown");
		return;
	}
	expect(p, !job->released, "job is known after its release");
	expect(p, view.state == job->state, "state");
	expect(p, view.started == job->started, "started");
	expect(p, view.running == job->running, "running");
	expect(p, view.finished == job->finished, "finished");
}

static void compare(struct plain *p)
{
	struct sched_server_view view;

	expect(p, sched_queued_tasks(p->sched) == queued(p, -1, -1), "queued");
	expect(p, sched_running_tasks(p->sched) == running(p, -1, -1), "running in total");
	expect(p, sched_wakeup_us(p->sched) == p->wake_us, "wake time");
	for (int i = 0; i < p->job_count; i++)
		compare_job(p, &p->jobs[i]);
	for (int s = 0; s < p->server_count; s++) {
		const struct server *server = &p->servers[s];

		if (!sched_server_view(p->sched, server->handle, &view)) {
			expect(p, !server->present, "server is unknown");
			continue;
		}
		expect(p,
		       view.running == server->running && view.credits == server->credits &&
			       view.finished == server->finished && view.failed == server->failed,
		       "server counts");
		expect(p, sched_server_demand(p->sched, server->handle) == demand(p, s), "demand");
	}
}

/* Runs the events that are kept. Returns the index of the one after which the versions differ, or
 * -1; WHAT receives the difference. */
static int run(const struct event *events, const bool *kept, int count, const char **what)
{
	static struct plain p;
	int at = -1;

	memset(&p, 0, sizeof(p));
	p.limits = (struct sched_limits){.max_queued_tasks = 300,
					 .max_queued_bytes = 900,
					 .ageing_divisor = 10,
					 .zone_penalty_us = 20000};
	p.wake_us = INT64_MAX;
	p.sched = sched_new(&p.limits, "a", MODEL_SEED);
	for (int t = 0; t < TEAMS; t++)
		p.teams[t].weight = 1;
	for (int i = 0; i < count && !p.difference; i++) {
		if (!kept[i])
			continue;
		apply(&p, &events[i]);
		compare(&p);
		at = i;
	}
	sched_free(p.sched);
	*what = p.difference;
	return p.difference ? at : -1;
}

/* Drops every event without which the versions still differ, and prints the rest. */
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
			if (run(events, kept, count, &what) >= 0)
				smaller = true;
			else
				kept[i] = true;
		}
	}
	run(events, kept, count, &what);
	for (int i = 0; i < count; i++) {
		const uint32_t *r = events[i].random;

		if (kept[i])
			g_printerr("  +%" G_GINT64_FORMAT " us %s(%u, %u, %u, %u)\n",
				   events[i].elapsed_us, op_names[events[i].op], r[0], r[1], r[2],
				   r[3]);
	}
	g_printerr("  differs in: %s\n", what);
}

static void fill(GRand *rand, struct event *event, enum op fixed)
{
	static const uint8_t weights[OP_COUNT] = {16, 3, 2, 1, 14, 34, 20, 4, 1, 5, 1, 3, 2, 2, 2};
	int left = g_rand_int_range(rand, 0, 110);

	event->op = OP_SUBMIT;
	while (left >= weights[event->op])
		left -= weights[event->op++];
	if (fixed != OP_COUNT)
		event->op = fixed;
	for (int i = 0; i < 4; i++)
		event->random[i] = g_rand_int(rand);
	event->elapsed_us = g_rand_int_range(rand, 0, 4) == 0 ? event->random[3] % 300000 : 0;
	if (event->op == OP_EXPIRED)
		event->elapsed_us = far_us / 3;
}

/* Any decision or count that differs from the plain version is a fault of the queue, the placement,
 * the limits or the accounting. */
static void test_same_as_plain_version(void)
{
	GRand *rand = g_rand_new_with_seed(MODEL_SEED);
	struct event events[MAX_EVENTS] = {0};
	bool kept[MAX_EVENTS] = {false};
	const char *what;

	g_test_message("seed %d, %d sequences", MODEL_SEED, SEQUENCES);
	for (int i = 0; i < SEQUENCES; i++) {
		int count = g_rand_int_range(rand, 5, MAX_EVENTS + 1);
		int pile = i % 4 == 0 ? PILE_EVENTS : 0;
		int at;

		for (int e = 0; e < count; e++) {
			enum op fixed = e < 2 ? OP_ADD : e < pile ? OP_SUBMIT : OP_COUNT;

			fill(rand, &events[e], fixed);
			kept[e] = true;
		}
		at = run(events, kept, count, &what);
		if (at < 0)
			continue;
		g_printerr("sequence %d of seed %d differs after event %d; shrunk:\n", i,
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
	g_test_add_func("/scheduler/same-as-plain-version", test_same_as_plain_version);
	return g_test_run();
}
