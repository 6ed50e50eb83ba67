#include "entry_metrics.h"

#include <stdbool.h>

#include "message.pb-c.h"

struct counter entry_metrics[METRIC_COUNT] = {
#define ENTRY_METRIC_ROW(constant, text, type, description)                                        \
	[METRIC_##constant] = {.name = (text), .help = (description), .kind = COUNTER_##type},
	ENTRY_METRIC_LIST(ENTRY_METRIC_ROW)
#undef ENTRY_METRIC_ROW
};

struct histogram metric_job_latency_us = {
	.name = "job_latency_us",
	.help = "Time from admission to the answer of a job, in microseconds",
};
struct histogram metric_task_run_us = {
	.name = "task_run_us",
	.help = "Time of a task at its backend server, in microseconds",
};
struct histogram metric_queue_wait_us = {
	.name = "job_queue_wait_us",
	.help = "Time from admission to the first start of a job, in microseconds",
};

/* Columns: protobuf body case, name in the metric. */
#define MESSAGE_KIND_LIST(X)                                                                       \
	X(HELLO, "hello")                                                                          \
	X(WELCOME, "welcome")                                                                      \
	X(HEARTBEAT, "heartbeat")                                                                  \
	X(START_BATCH, "start_batch")                                                              \
	X(RESULT_BATCH, "result_batch")                                                            \
	X(RECLAIM, "reclaim")                                                                      \
	X(RECONCILE, "reconcile")                                                                  \
	X(RECONCILED, "reconciled")                                                                \
	X(CONFIG_REQUEST, "config_request")                                                        \
	X(CONFIG_STATE, "config_state")                                                            \
	X(FORWARD, "forward")                                                                      \
	X(FORWARD_REPLY, "forward_reply")                                                          \
	X(GOODBYE, "goodbye")

enum {
	BODY_CASE_LIMIT = GG__ENVELOPE__BODY_GOODBYE + 1
};

static struct counter sent_counters[BODY_CASE_LIMIT] = {
#define MESSAGE_SENT_ROW(kind_case, text)                                                          \
	[GG__ENVELOPE__BODY_##kind_case] = {.name = "messages_sent_" text "_total",                \
					    .help = "Messages sent of the kind " text,             \
					    .kind = COUNTER_TOTAL},
	MESSAGE_KIND_LIST(MESSAGE_SENT_ROW)
#undef MESSAGE_SENT_ROW
};

static struct counter received_counters[BODY_CASE_LIMIT] = {
#define MESSAGE_RECEIVED_ROW(kind_case, text)                                                      \
	[GG__ENVELOPE__BODY_##kind_case] = {.name = "messages_received_" text "_total",            \
					    .help = "Messages received of the kind " text,         \
					    .kind = COUNTER_TOTAL},
	MESSAGE_KIND_LIST(MESSAGE_RECEIVED_ROW)
#undef MESSAGE_RECEIVED_ROW
};

void entry_metrics_register(void)
{
	for (int i = 0; i < METRIC_COUNT; i++)
		counter_register(&entry_metrics[i]);
	for (int i = 0; i < BODY_CASE_LIMIT; i++) {
		if (!sent_counters[i].name)
			continue;
		counter_register(&sent_counters[i]);
		counter_register(&received_counters[i]);
	}
	histogram_register(&metric_job_latency_us);
	histogram_register(&metric_task_run_us);
	histogram_register(&metric_queue_wait_us);
}

/* Returns whether messages with BODY_CASE carry starts or results. Such a message is not counted as
 * wasted; instead, each refused start and repeated result in it is counted where it is handled. All
 * other messages count as wasted. */
static bool carries_tasks(int body_case)
{
	return body_case == GG__ENVELOPE__BODY_START_BATCH ||
	       body_case == GG__ENVELOPE__BODY_RESULT_BATCH;
}

static void count_message(struct counter *counters, int body_case)
{
	if (body_case <= 0 || body_case >= BODY_CASE_LIMIT || !counters[body_case].name)
		return;
	counter_add(&counters[body_case], 1);
	if (!carries_tasks(body_case))
		metric_add(METRIC_MESSAGES_WASTED, 1);
}

void entry_metrics_count_sent(int body_case)
{
	count_message(sent_counters, body_case);
}

void entry_metrics_count_received(int body_case)
{
	count_message(received_counters, body_case);
}
