/* Counters and histograms of the entry role. */
#ifndef GG_ENTRY_METRICS_H
#define GG_ENTRY_METRICS_H

#include "counter.h"

/* Columns: constant, name, kind, help. */
#define ENTRY_METRIC_LIST(X)                                                                       \
	X(JOBS_ADMITTED, "jobs_admitted_total", TOTAL, "Jobs admitted to the queue")               \
	X(JOBS_DONE, "jobs_done_total", TOTAL, "Jobs that ended with a complete answer")           \
	X(JOBS_FAILED, "jobs_failed_total", TOTAL, "Jobs that failed")                             \
	X(JOBS_CANCELLED, "jobs_cancelled_total", TOTAL, "Jobs that were cancelled")               \
	X(ANSWERS_EXPIRED, "answers_expired_total", TOTAL, "Finished answers dropped")             \
	X(TASKS_STARTED, "tasks_started_total", TOTAL, "Starts sent to agents")                    \
	X(TASKS_DONE, "tasks_done_total", TOTAL, "Tasks that ended with a result")                 \
	X(TASKS_REFUSED, "tasks_refused_total", TOTAL, "Starts refused or sealed, not run")        \
	X(TASKS_FAILED, "tasks_failed_total", TOTAL, "Started tasks that failed")                  \
	X(RESULTS_REPEATED, "results_repeated_total", TOTAL, "Results seen before, ignored")       \
	X(MESSAGES_WASTED, "messages_wasted_total", TOTAL,                                         \
	  "Messages between processes beyond one start and one result a task")                     \
	X(MESSAGES_INVALID, "messages_invalid_total", TOTAL, "Messages dropped as invalid")        \
	X(MESSAGES_STALE, "messages_stale_total", TOTAL, "Messages of an old epoch or sender")     \
	X(SEND_FAILED, "messages_send_failed_total", TOTAL, "Messages that could not be queued")   \
	X(HTTP_REQUESTS, "http_requests_total", TOTAL, "HTTP requests")                            \
	X(HTTP_REFUSED, "http_refused_total", TOTAL, "HTTP requests refused")                      \
	X(HTTP_OPEN, "http_open_requests", GAUGE, "HTTP requests being handled")                   \
	X(FORWARDS, "forwards_total", TOTAL, "Requests forwarded to their owner")                  \
	X(QUEUED_TASKS, "queued_tasks", GAUGE, "Tasks queued")                                     \
	X(RUNNING_TASKS, "running_tasks", GAUGE, "Tasks started and not answered")                 \
	X(JOBS_HELD, "jobs_held", GAUGE, "Jobs in memory, finished ones included")                 \
	X(ANSWER_BYTES, "answer_bytes", GAUGE, "Bytes of finished answers in memory")              \
	X(SESSIONS, "sessions", GAUGE, "Sessions held")                                            \
	X(KEYS, "session_keys", GAUGE, "Keys held for all sessions")                               \
	X(CLAIMS, "claims", GAUGE, "Claims held")                                                  \
	X(AGENTS, "agents", GAUGE, "Agents known")                                                 \
	X(CONFIG_VERSION, "config_version", GAUGE, "Version of the configuration")

enum entry_metric {
#define ENTRY_METRIC_ENUM(constant, name, kind, help) METRIC_##constant,
	ENTRY_METRIC_LIST(ENTRY_METRIC_ENUM)
#undef ENTRY_METRIC_ENUM
	METRIC_COUNT
};

extern struct counter entry_metrics[METRIC_COUNT];
extern struct histogram metric_job_latency_us;
extern struct histogram metric_task_run_us;
extern struct histogram metric_queue_wait_us;

/* Registers all metrics. Call once. */
void entry_metrics_register(void);

/* Count a message sent to or received from another process. BODY_CASE is the protobuf body case of
 * its envelope. */
void entry_metrics_count_sent(int body_case);
void entry_metrics_count_received(int body_case);

static inline void metric_add(enum entry_metric metric, int64_t amount)
{
	counter_add(&entry_metrics[metric], amount);
}

static inline void metric_set(enum entry_metric metric, int64_t value)
{
	counter_set(&entry_metrics[metric], value);
}

#endif
