/* Measures the cost of scheduling decisions with a queue of constant depth. One cycle is a start,
 * its result, and a proportional share of submitting and releasing jobs. Prints one flat JSON
 * object. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "scheduler.h"
#include "timer.h"

enum {
	SEED = 42,
	SLOTS = 8,
	ZONES = 3,
	CLASSES = 4,
	CYCLE_COUNT = 400000,
	/* The first of the CYCLE_COUNT cycles are not measured, because the scheduler is still
	 * learning the servers' speeds. */
	WARM_UP_CYCLES = 40000,
	TASKS_PER_JOB = 10,
	NS_PER_US = 1000,
	BASE_SERVERS = 100,
	BASE_TEAMS = 630,
	BASE_QUEUED = 100000
};

struct workload {
	int servers;
	int teams;
	uint32_t queued;
	uint32_t job_tasks;
	bool unique_labels; /* each server has a distinct label */
};

struct bench {
	struct sched *sched;
	GRand *rand;
	struct workload workload;
	struct handle *servers;
	uint64_t *credits;
	struct sched_assignment *running; /* ring buffer of running tasks, oldest first */
	uint32_t capacity;
	uint32_t first;
	uint32_t count;
	int64_t now_us;
};

static void add_servers(struct bench *b)
{
	static const char *const zones[ZONES] = {"a", "b", "c"};

	for (int i = 0; i < b->workload.servers; i++) {
		char label[32];
		const char *labels[] = {label, NULL};
		const struct sched_server_spec spec = {
			.id = "s",
			.zone = zones[i % ZONES],
			.labels = b->workload.unique_labels ? labels : NULL,
			.slots = SLOTS,
			.open = true,
		};

		snprintf(label, sizeof(label), "host=%d", i);
		b->servers[i] =
			sched_server_add(b->sched, &spec, GUINT_TO_POINTER((unsigned int)i));
		b->credits[i] = SLOTS;
		sched_server_set_credits(b->sched, b->servers[i], SLOTS);
	}
}

static void submit_job(struct bench *b)
{
	char class[16];
	char team[16];
	const struct sched_job_spec spec = {
		.class_name = class,
		.team = team,
		.tasks = b->workload.job_tasks,
		.bytes = 1000,
		.deadline_us = b->now_us + G_GINT64_CONSTANT(1000000000000),
	};
	struct handle job;

	snprintf(class, sizeof(class), "c%d", g_rand_int_range(b->rand, 0, CLASSES));
	snprintf(team, sizeof(team), "t%d", g_rand_int_range(b->rand, 0, b->workload.teams));
	if (sched_submit(b->sched, &spec, b->now_us, &job, NULL) != STATUS_OK)
		g_error("the scheduler refused a job");
}

static void record_start(struct bench *b, const struct sched_assignment *start)
{
	b->running[(b->first + b->count) % b->capacity] = *start;
	b->count++;
	b->credits[GPOINTER_TO_UINT(start->server_context)]--;
}

/* Finishes the oldest running task. Servers differ in speed by a factor of up to 4. */
static void finish_oldest_task(struct bench *b)
{
	const struct sched_assignment *oldest = &b->running[b->first];
	uint32_t server = GPOINTER_TO_UINT(oldest->server_context);
	int64_t run_us = 100000 * (1 + server % 4) + g_rand_int_range(b->rand, 0, 50000);

	b->first = (b->first + 1) % b->capacity;
	b->count--;
	b->now_us += 10;
	if (sched_task_done(b->sched, oldest->job, oldest->task, oldest->server, run_us,
			    b->now_us) == SCHED_JOB_DONE)
		sched_release(b->sched, oldest->job);
	b->credits[server]++;
	sched_server_set_credits(b->sched, b->servers[server], b->credits[server]);
}

static void setup_bench(struct bench *b, const struct workload *workload)
{
	const struct sched_limits limits = {
		.max_queued_tasks = UINT64_MAX / 2,
		.max_queued_bytes = UINT64_MAX / 2,
		.ageing_divisor = 10,
		.zone_penalty_us = 500,
	};

	*b = (struct bench){.workload = *workload, .capacity = (uint32_t)workload->servers * SLOTS};
	b->sched = sched_new(&limits, "a", SEED);
	b->rand = g_rand_new_with_seed(SEED);
	b->servers = g_new0(struct handle, workload->servers);
	b->credits = g_new0(uint64_t, workload->servers);
	b->running = g_new0(struct sched_assignment, b->capacity);
	add_servers(b);
}

static void teardown_bench(struct bench *b)
{
	sched_free(b->sched);
	g_rand_free(b->rand);
	g_free(b->servers);
	g_free(b->credits);
	g_free(b->running);
}

static void fill_queue(struct bench *b)
{
	while (sched_queued_tasks(b->sched) < b->workload.queued)
		submit_job(b);
}

/* Returns the mean time of one cycle in nanoseconds. */
static double measure_cycle_ns(const struct workload *workload)
{
	struct bench b;
	int64_t begin = 0;
	double ns;

	setup_bench(&b, workload);
	fill_queue(&b);
	for (int i = 0; i < CYCLE_COUNT;) {
		struct sched_assignment next;

		if (i == WARM_UP_CYCLES)
			begin = timer_clock_us();
		if (!sched_next_assignment(b.sched, b.now_us, &next)) {
			finish_oldest_task(&b);
			continue;
		}
		record_start(&b, &next);
		fill_queue(&b);
		i++;
	}
	ns = (double)(timer_clock_us() - begin) * NS_PER_US / (CYCLE_COUNT - WARM_UP_CYCLES);
	teardown_bench(&b);
	return ns;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static double measure_bytes_per_task(uint32_t queued, uint32_t job_tasks)
{
	const struct workload workload = {BASE_SERVERS, BASE_TEAMS, queued, job_tasks, false};
	size_t before = heap_bytes();
	struct bench b;
	size_t after;

	setup_bench(&b, &workload);
	fill_queue(&b);
	after = heap_bytes();
	teardown_bench(&b);
	return (double)(after - before) / queued;
}

int main(void)
{
	static const int servers[] = {10, 100, 1000};
	static const int teams[] = {10, 100, 630};
	static const uint32_t queued[] = {1000, 10000, 100000, 1000000};
	struct workload workload = {BASE_SERVERS, BASE_TEAMS, BASE_QUEUED, TASKS_PER_JOB, false};
	double base = measure_cycle_ns(&workload);

	printf("{\"starts_per_second\": %.0f, \"start_ns\": %.0f", 1e9 / base, base);
	printf(", \"bytes_per_queued_task\": %.1f", measure_bytes_per_task(1000000, TASKS_PER_JOB));
	printf(", \"bytes_per_queued_one_task_job\": %.1f", measure_bytes_per_task(1000000, 1));
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		workload.servers = servers[i];
		printf(", \"start_ns_%d_servers\": %.0f", servers[i], measure_cycle_ns(&workload));
	}
	workload.servers = BASE_SERVERS;
	workload.unique_labels = true;
	printf(", \"start_ns_100_servers_own_labels\": %.0f", measure_cycle_ns(&workload));
	workload.unique_labels = false;
	for (size_t i = 0; i < G_N_ELEMENTS(teams); i++) {
		workload.teams = teams[i];
		printf(", \"start_ns_%d_teams\": %.0f", teams[i], measure_cycle_ns(&workload));
	}
	workload.teams = BASE_TEAMS;
	for (size_t i = 0; i < G_N_ELEMENTS(queued); i++) {
		workload.queued = queued[i];
		workload.job_tasks = TASKS_PER_JOB;
		printf(", \"start_ns_%u_queued\": %.0f", queued[i], measure_cycle_ns(&workload));
		workload.job_tasks = 1;
		printf(", \"start_ns_%u_queued_one_task_jobs\": %.0f", queued[i],
		       measure_cycle_ns(&workload));
	}
	printf("}\n");
	return 0;
}
