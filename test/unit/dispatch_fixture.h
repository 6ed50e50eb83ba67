/* One entry's dispatcher with servers, for tests that give it the words of agents one by one. */
#ifndef GG_TEST_DISPATCH_FIXTURE_H
#define GG_TEST_DISPATCH_FIXTURE_H

#include <glib.h>

#include "dispatch.h"

enum {
	FIXTURE_TASKS_MAX = 4,
	FIXTURE_MEMORY_MB = 1000,
	FIXTURE_CRASHED_TASKS = 100,
	FIXTURE_HOST_RETURN_US = 60 * US_PER_SECOND
};

struct fixture {
	struct dispatch dispatch;
	struct handle server; /* the one that was added last */
	uint32_t starts;      /* each is an order of its own, numbered from 1 */
	uint32_t ordered[FIXTURE_TASKS_MAX];
	uint64_t runs[FIXTURE_TASKS_MAX]; /* ordered last */
	uint64_t last_run;
	uint32_t lost; /* runs that ended as RUN_LOST */
	uint32_t finished;
	enum status status;
	enum outcome outcome;
	char given_up[NAME_BYTES]; /* name of the task, or empty */
};

static inline uint64_t fixture_on_start(void *context, void *link, const struct run_order *order)
{
	struct fixture *fixture = context;

	fixture->ordered[order->index]++;
	fixture->runs[order->index] = order->run;
	fixture->last_run = order->run;
	return ++fixture->starts;
}

static inline void fixture_on_stop(void *context, void *link, uint64_t run)
{
}

static inline void fixture_on_finished(void *context, const char *id, void *job_context,
				       const struct job_end *end)
{
	struct fixture *fixture = context;

	fixture->finished++;
	fixture->status = end->status;
	fixture->outcome = end->outcome;
	g_strlcpy(fixture->given_up, end->crashed_task ? end->crashed_task->task : "",
		  sizeof(fixture->given_up));
}

static inline void fixture_on_placed(void *context, const char *id, uint32_t tasks, uint32_t queued,
				     const char *servers, int64_t report_age_us)
{
}

static inline void fixture_on_run_ended(void *context, const char *id, uint32_t index,
					uint32_t attempt, const char *server,
					enum run_outcome outcome, int64_t elapsed_us)
{
	((struct fixture *)context)->lost += outcome == RUN_LOST;
}

/* Initializes an entry without servers. */
static inline void fixture_init(struct fixture *fixture, int64_t crash_retention_us)
{
	const struct dispatch_limits limits = {
		.max_jobs = 10,
		.settle_timeout_us = US_PER_SECOND,
		.host_return_us = FIXTURE_HOST_RETURN_US,
		.crash_retention_us = crash_retention_us,
		.max_crashed_tasks = FIXTURE_CRASHED_TASKS,
	};
	const struct dispatch_callbacks callbacks = {
		.context = fixture,
		.start_run = fixture_on_start,
		.stop_run = fixture_on_stop,
		.job_finished = fixture_on_finished,
		.tasks_placed = fixture_on_placed,
		.run_ended = fixture_on_run_ended,
	};

	*fixture = (struct fixture){0};
	dispatch_init(&fixture->dispatch, &limits, &callbacks, 1);
}

static inline void fixture_report(struct fixture *fixture, const struct fleet_report *report,
				  int64_t now_us)
{
	dispatch_server_report(&fixture->dispatch, fixture->server, report, now_us);
}

/* Adds a server of the service "s", for which its agent has sent REPORT. */
static inline struct fleet_server *
fixture_add_server(struct fixture *fixture, const struct fleet_report *report, int64_t now_us)
{
	struct fleet_server *server;

	fixture->server = dispatch_server_add(&fixture->dispatch, fixture);
	server = fleet_get(&fixture->dispatch.fleet, fixture->server);
	g_strlcpy(server->service, "s", NAME_BYTES);
	server->total = report->free;
	fixture_report(fixture, report, now_us);
	return server;
}

/* Submits REQUEST, completed by the fields that all tests share, and starts what can start. */
static inline void fixture_submit(struct fixture *fixture, struct job_request request,
				  int64_t now_us)
{
	GBytes *spec = g_bytes_new_static("x", 1);

	request.queue = "q";
	request.service = "s";
	request.spec = spec;
	request.arrived_us = now_us;
	dispatch_submit(&fixture->dispatch, &request, now_us);
	dispatch_pump(&fixture->dispatch, now_us);
	g_bytes_unref(spec);
}

#endif
