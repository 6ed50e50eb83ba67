#include "agent_metrics.h"

struct counter agent_metrics[AGENT_METRIC_COUNT] = {
#define AGENT_METRIC_ROW(constant, name_text, type, help_text)                                     \
	[AGENT_METRIC_##constant] = {.name = name_text, .help = help_text, .kind = COUNTER_##type},
	AGENT_METRIC_LIST(AGENT_METRIC_ROW)
#undef AGENT_METRIC_ROW
};

struct histogram agent_metric_run_us = {
	.name = "agent_task_run_us",
	.help = "Time of a task at the backend server in microseconds",
};

void agent_metrics_register(void)
{
	for (int i = 0; i < AGENT_METRIC_COUNT; i++)
		counter_register(&agent_metrics[i]);
	histogram_register(&agent_metric_run_us);
}
