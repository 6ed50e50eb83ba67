#include "node_metrics.h"

#include "event.h"

struct counter node_metrics[NODE_METRIC_COUNT] = {
#define NODE_METRIC_ROW(constant, text, type, description)                                         \
	[NODE_METRIC_##constant] = {.name = (text), .help = (description), .kind = COUNTER_##type},
	NODE_METRIC_LIST(NODE_METRIC_ROW)
#undef NODE_METRIC_ROW
};

static struct histogram job_us = {
	.name = "job_us",
	.help = "Time from arrival to the answer of a completed job, in microseconds",
};
static struct histogram run_us = {
	.name = "run_us",
	.help = "Time of a run at its backend server, in microseconds",
};

void node_metrics_register(void)
{
	for (int i = 0; i < NODE_METRIC_COUNT; i++)
		counter_register(&node_metrics[i]);
	histogram_register(&job_us);
	histogram_register(&run_us);
}

void node_metrics_job_ended(const struct job_end *end)
{
	enum node_metric metric = NODE_METRIC_JOBS_UNKNOWN;

	if (end->status == STATUS_OK)
		metric = NODE_METRIC_JOBS_COMPLETED;
	else if (end->status == STATUS_TASK_FAILED)
		metric = NODE_METRIC_JOBS_FAILED;
	else if (end->status == STATUS_CANCELLED)
		metric = NODE_METRIC_JOBS_CANCELLED;
	else if (end->outcome == OUTCOME_NOT_RUN)
		metric = NODE_METRIC_JOBS_REFUSED;
	counter_add(&node_metrics[metric], 1);
	if (end->crashed_task)
		counter_add(&node_metrics[NODE_METRIC_TASKS_GIVEN_UP], 1);
	if (end->status == STATUS_OK)
		histogram_record(&job_us, (uint64_t)end->elapsed_us);
}

void node_metrics_run_ended(enum run_outcome outcome, int64_t elapsed_us)
{
	counter_add(&node_metrics[NODE_METRIC_RUNS], 1);
	if (outcome == RUN_CRASHED)
		counter_add(&node_metrics[NODE_METRIC_RUNS_CRASHED], 1);
	if (outcome != RUN_DONE)
		counter_add(&node_metrics[NODE_METRIC_RUNS_NOT_DONE], 1);
	else
		histogram_record(&run_us, (uint64_t)elapsed_us);
}

void node_metrics_answer(struct http_request *request)
{
	GString *text = g_string_new(NULL);

	counter_set(&node_metrics[NODE_METRIC_LOG_DROPPED], event_dropped_lines());
	metrics_render(text);
	http_respond(request, 200, NULL, text->str);
	g_string_free(text, TRUE);
}
