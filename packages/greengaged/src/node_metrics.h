/* Counters and histograms of the entry in mode "platform". */
#ifndef GG_NODE_METRICS_H
#define GG_NODE_METRICS_H

#include "counter.h"
#include "dispatch.h"
#include "http_server.h"

/* Columns: constant, name, kind, help. */
#define NODE_METRIC_LIST(X)                                                                        \
	X(JOBS, "jobs_total", TOTAL, "Jobs submitted")                                             \
	X(JOBS_COMPLETED, "jobs_completed_total", TOTAL, "Jobs whose tasks are all done")          \
	X(JOBS_FAILED, "jobs_failed_total", TOTAL, "Jobs with a task that failed too often")       \
	X(JOBS_REFUSED, "jobs_refused_total", TOTAL, "Jobs refused before any of it ran")          \
	X(JOBS_CANCELLED, "jobs_cancelled_total", TOTAL, "Jobs whose client left or cancelled")    \
	X(JOBS_UNKNOWN, "jobs_unknown_total", TOTAL, "Jobs that ended with outcome unknown")       \
	X(REFUSED_REQUESTS, "requests_refused_total", TOTAL, "Requests that reached no job")       \
	X(RUNS, "runs_total", TOTAL, "Runs that ended or were not started")                        \
	X(RUNS_NOT_DONE, "runs_not_done_total", TOTAL, "Runs that did not end as done")            \
	X(RUNS_CRASHED, "runs_crashed_total", TOTAL,                                               \
	  "Runs that ended with a crash of their server")                                          \
	X(TASKS_GIVEN_UP, "tasks_given_up_total", TOTAL,                                           \
	  "Tasks given up after crashes of servers")                                               \
	X(QUEUES_SEPARATED, "queues_separated_total", TOTAL,                                       \
	  "Queues given servers of their own after crashes")                                       \
	X(LOG_DROPPED, "log_lines_dropped_total", TOTAL, "Log lines dropped at their bounds")      \
	X(CONFIG_VERSION, "config_version", GAUGE, "Version of the configuration in force")        \
	X(CONFIG_UNCONFIRMED, "config_unconfirmed_ms", GAUGE,                                      \
	  "Time since the store last answered a read of the configuration, -1 before the first")   \
	X(EVACUATED_ZONES, "evacuated_zones", GAUGE, "Zones in which no task is started")

enum node_metric {
#define NODE_METRIC_ENUM(constant, name, kind, help) NODE_METRIC_##constant,
	NODE_METRIC_LIST(NODE_METRIC_ENUM)
#undef NODE_METRIC_ENUM
	NODE_METRIC_COUNT
};

extern struct counter node_metrics[NODE_METRIC_COUNT];

/* Registers the counters and histograms, so that metrics_render includes them. */
void node_metrics_register(void);

/* Counts the end of a job by its result, and records the elapsed time of a completed job. */
void node_metrics_job_ended(const struct job_end *end);

/* Counts the end of a run, and records ELAPSED_US if it ended as done. */
void node_metrics_run_ended(enum run_outcome outcome, int64_t elapsed_us);

/* Answers REQUEST with the values of all registered metrics. */
void node_metrics_answer(struct http_request *request);

#endif
