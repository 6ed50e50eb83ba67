/* Measures the CPU time of one call of dispatch_pump() at an entry under overload. Guards against a
 * cost proportional to the product of queued jobs and backend servers, which delayed all work on
 * hosts with 0.09 of a core. */
#include <glib.h>
#include <time.h>

#include "dispatch.h"

enum {
	FEW_SERVERS = 24,
	MANY_SERVERS = 240,
	JOBS = 300,
	PUMPS = 20,
	SERVER_CPU = 64000,
	TASK_CPU = 15000,
	NOW_US = 1000 * US_PER_MS,
	NS_PER_S = 1000000000
};

static uint64_t on_start(void *context, void *link, const struct run_order *order)
{
	return 1;
}

static void on_stop(void *context, void *link, uint64_t run)
{
}

static void on_finished(void *context, const char *id, void *job_context, const struct job_end *end)
{
}

static void on_placed(void *context, const char *id, uint32_t tasks, uint32_t waiting,
		      const char *servers, int64_t report_age_us)
{
}

static void on_run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
			 const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
}

/* Adds COUNT servers without free room. At each of them, a run is waiting for room. */
static void add_full_servers(struct dispatch *dispatch, uint32_t count)
{
	static int link;

	for (uint32_t i = 0; i < count; i++) {
		struct handle handle = dispatch_server_add(dispatch, &link);
		struct fleet_server *server = fleet_get(&dispatch->fleet, handle);
		const struct fleet_report report = {
			.ready = true,
			.speed = 1.0,
			.speed_known = true,
			.waiting_cpu = {TASK_CPU},
			.run_us = 200 * US_PER_MS,
		};

		g_strlcpy(server->service, "service", sizeof(server->service));
		server->total = (struct resources){.cpu = SERVER_CPU, .memory_mb = 1024};
		dispatch_server_report(dispatch, handle, &report, NOW_US);
	}
}

static void add_jobs(struct dispatch *dispatch)
{
	GBytes *spec = g_bytes_new_static("s", 1);
	char id[20];

	for (uint32_t i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i);
		dispatch_submit(dispatch,
				&(struct job_request){
					.id = id,
					.queue = "queue",
					.service = "service",
					.spec = spec,
					.tasks = 2,
					.need = {.cpu = TASK_CPU, .memory_mb = 1},
					.estimate_us = US_PER_MS,
					.max_attempts = 1,
					.stretch = 1000, /* long enough for no job to be refused */
					.arrived_us = NOW_US,
					.deadline_us = NOW_US + 10 * US_PER_SECOND,
				},
				NOW_US);
	}
	g_bytes_unref(spec);
}

static int64_t thread_cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

/* Returns the minimum CPU time of a call of dispatch_pump() with SERVERS full servers. */
static int64_t pump_ns(uint32_t servers)
{
	const struct dispatch_limits limits = {.max_jobs = JOBS};
	const struct dispatch_callbacks callbacks = {
		.start_run = on_start,
		.stop_run = on_stop,
		.job_finished = on_finished,
		.tasks_placed = on_placed,
		.run_ended = on_run_ended,
	};
	struct dispatch dispatch;
	int64_t min_ns = INT64_MAX;

	dispatch_init(&dispatch, &limits, &callbacks, 1);
	add_full_servers(&dispatch, servers);
	add_jobs(&dispatch);
	for (int i = 0; i < PUMPS; i++) {
		int64_t start_ns = thread_cpu_ns();

		dispatch.pump_needed = true;
		dispatch_pump(&dispatch, NOW_US);
		min_ns = MIN(min_ns, thread_cpu_ns() - start_ns);
		g_assert_cmpuint(dispatch_job_count(&dispatch), ==, JOBS);
	}
	dispatch_free(&dispatch);
	return min_ns;
}

/* With ten times as many servers, a call of dispatch_pump() takes at most twice as long. */
static void test_full_servers(void)
{
	int64_t few_ns = pump_ns(FEW_SERVERS);
	int64_t many_ns = pump_ns(MANY_SERVERS);

	g_test_message("%d queued jobs: %d us with %d servers, %d us with %d", JOBS,
		       (int)(few_ns / 1000), FEW_SERVERS, (int)(many_ns / 1000), MANY_SERVERS);
	g_assert_cmpint(many_ns, <=, 2 * few_ns);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pump_cost/full_servers", test_full_servers);
	return g_test_run();
}
