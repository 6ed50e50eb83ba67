#include "drain.h"

#include "placement.h"

enum {
	ORDER_DELAY_US = 6 * US_PER_MS, /* time from the order to the result, without the run */
	/* The other entries take this many times as much of the room that becomes free later. */
	OTHERS_SHARE = 1
};

/* Returns the number of tasks that need NEED and fit into AVAILABLE together, at most LIMIT. */
static uint32_t places(const struct resources *need, const struct resources *available,
		       uint32_t limit)
{
	uint32_t count = limit;

	if (need->cpu > 0)
		count = MIN(count, available->cpu / need->cpu);
	if (need->memory_mb > 0)
		count = MIN(count, available->memory_mb / need->memory_mb);
	if (need->gpus > 0)
		count = MIN(count, available->gpus / need->gpus);
	return count;
}

/* Returns how many tasks of REQUEST can end at SERVER within SPAN_US. A place that is taken now
 * becomes free within the mean run time. */
static uint64_t tasks_within(const struct fleet_server *server, const struct drain_request *request,
			     int64_t span_us)
{
	int64_t run_us = MAX(placement_run_us(server, request->run_us), 1);
	bool full = fleet_waiting_cpu_ahead(server, PRIORITY_LEVELS) > 0;
	uint32_t total = places(&request->need, &server->total, request->tasks);
	uint32_t free = full ? 0 : MIN(places(&request->need, &server->free, total), total);
	uint32_t taken = total - free;
	uint64_t later = 0;

	for (uint32_t i = 1; i <= taken; i++) {
		int64_t left_us = span_us - fleet_mean_run_us(server) * i / taken;

		if (left_us < run_us)
			break;
		later += (uint64_t)(left_us / run_us);
	}
	return free * (uint64_t)(MAX(span_us, 0) / run_us) + later / (1 + OTHERS_SHARE);
}

bool drain_can_end(const struct fleet *fleet, const struct drain_request *request, int64_t now_us,
		   int64_t end_us)
{
	int64_t span_us = end_us - now_us - request->wait_us - ORDER_DELAY_US;
	uint32_t cursor = 0;
	uint64_t tasks = 0;
	const struct fleet_server *server;

	while (tasks < request->tasks && (server = table_next(&fleet->servers, &cursor, NULL))) {
		if (server->ready && fleet_is_useful(server) &&
		    fleet_serves(server, request->service, request->partition))
			tasks += tasks_within(server, request, span_us);
	}
	return tasks >= request->tasks;
}
