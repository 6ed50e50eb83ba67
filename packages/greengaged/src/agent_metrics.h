/* Counters and histograms of the agent role. */
#ifndef GG_AGENT_METRICS_H
#define GG_AGENT_METRICS_H

#include "counter.h"

/* The columns are constant, name, kind and help text. */
#define AGENT_METRIC_LIST(X)                                                                       \
	X(STARTS, "agent_starts_total", TOTAL, "Tasks that passed the gate")                       \
	X(STARTS_REFUSED, "agent_starts_refused_total", TOTAL, "Starts refused by the gate")       \
	X(DONE, "agent_tasks_done_total", TOTAL, "Tasks that ended with a result")                 \
	X(FAILED, "agent_tasks_failed_total", TOTAL, "Tasks that failed and may have run")         \
	X(NOT_STARTED, "agent_tasks_not_started_total", TOTAL,                                     \
	  "Tasks that the server refused or that could not be sent")                               \
	X(MESSAGES_SENT, "messages_sent_total", TOTAL, "Messages to entries")                      \
	X(MESSAGES_RECEIVED, "messages_received_total", TOTAL, "Messages from entries")            \
	X(MESSAGES_CONTROL, "messages_control_total", TOTAL,                                       \
	  "Messages to and from entries other than starts and results")                            \
	X(MESSAGES_INVALID, "messages_invalid_total", TOTAL, "Messages dropped as invalid")        \
	X(MESSAGES_STALE, "messages_stale_total", TOTAL, "Messages of an old epoch")               \
	X(SEND_FAILED, "messages_send_failed_total", TOTAL, "Messages that could not be queued")   \
	X(CONNECTIONS, "connections_opened_total", TOTAL, "Connections made to entries")           \
	X(ENTRIES, "entries_connected", GAUGE, "Entries heard on the current connection")          \
	X(RUNNING, "agent_running_tasks", GAUGE, "Tasks at the backend server")                    \
	X(SLOTS, "agent_slots", GAUGE, "Slots open for work now")                                  \
	X(UNACKNOWLEDGED, "agent_results_unacknowledged", GAUGE,                                   \
	  "Results kept until an entry acknowledges them")                                         \
	X(CONFIG_VERSION, "config_version", GAUGE, "Version of the configuration")

enum agent_metric {
#define AGENT_METRIC_ENUM(constant, name, kind, help) AGENT_METRIC_##constant,
	AGENT_METRIC_LIST(AGENT_METRIC_ENUM)
#undef AGENT_METRIC_ENUM
	AGENT_METRIC_COUNT
};

extern struct counter agent_metrics[AGENT_METRIC_COUNT];
extern struct histogram agent_metric_run_us;

/* Registers all metrics of the agent. Must be called only once. */
void agent_metrics_register(void);

static inline void agent_metric_add(enum agent_metric metric, int64_t amount)
{
	counter_add(&agent_metrics[metric], amount);
}

static inline void agent_metric_set(enum agent_metric metric, int64_t value)
{
	counter_set(&agent_metrics[metric], value);
}

#endif
