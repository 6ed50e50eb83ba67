/* The queue of runs that wait for free resources of a backend server. */
#include "runs_state.h"

enum {
	PERMILLE = 1000
};

uint32_t runs_waiting_cpu(const struct runs *runs)
{
	uint32_t cpu = 0;

	for (int i = 0; i < PRIORITY_LEVELS; i++)
		cpu += runs->waiting_cpu[i];
	return cpu;
}

static struct run *least_urgent(struct runs *runs, struct handle *handle)
{
	uint32_t cursor = 0;
	struct run *least = NULL;
	struct handle current;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &current))) {
		if (run->phase != RUN_PHASE_WAITING ||
		    (least && run->urgency_us <= least->urgency_us))
			continue;
		least = run;
		*handle = current;
	}
	return least;
}

/* Returns whether REQUEST fits into the queue. An empty queue accepts any run, even one above the
 * limit. */
static bool fits_queue(const struct runs *runs, const struct run_request *request)
{
	uint64_t allowance =
		(uint64_t)runs->total_resources.cpu * runs->limits.waiting_permille / PERMILLE;
	uint32_t waiting = runs_waiting_cpu(runs);

	return waiting == 0 || waiting + request->need.cpu <= allowance;
}

bool runs_make_queue_space(struct runs *runs, const struct run_request *request, int64_t now_us)
{
	struct handle handle;
	struct run *run;

	if (!resources_fit(&request->need, &runs->total_resources))
		return false;
	while (!fits_queue(runs, request)) {
		run = least_urgent(runs, &handle);
		if (!run || run->urgency_us <= request->urgency_us)
			return false;
		runs_end(runs, handle, RUN_NO_RESOURCES, now_us);
	}
	return true;
}

/* Returns the most urgent waiting run that fits into the free resources, or NULL. */
static struct run *next_waiting(struct runs *runs, struct handle *handle, int64_t now_us)
{
	struct resources available = runs_free_resources(runs, now_us);
	uint32_t cursor = 0;
	struct run *best = NULL;
	struct handle current;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &current))) {
		if (run->phase != RUN_PHASE_WAITING || !resources_fit(&run->need, &available))
			continue;
		if (best && best->urgency_us <= run->urgency_us)
			continue;
		best = run;
		*handle = current;
	}
	return best;
}

void runs_start_waiting(struct runs *runs, int64_t now_us)
{
	struct handle handle;
	struct run *run;

	while (runs_waiting_cpu(runs) > 0 && runs_ready(runs) && runs_may_lease(runs, now_us) &&
	       (run = next_waiting(runs, &handle, now_us))) {
		runs->waiting_cpu[run->priority] -= run->need.cpu;
		runs_send_start(runs, run, handle, now_us);
	}
}

void runs_refuse_waiting(struct runs *runs, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while (runs_waiting_cpu(runs) > 0 && (run = table_next(&runs->table, &cursor, &handle))) {
		if (run->phase != RUN_PHASE_WAITING)
			continue;
		if (!runs_ready(runs))
			runs_end(runs, handle, RUN_SERVER_UNAVAILABLE, now_us);
		else if (!resources_fit(&run->need, &runs->total_resources))
			runs_end(runs, handle, RUN_NO_RESOURCES, now_us);
		else if (now_us > run->start_by_us)
			runs_end(runs, handle, RUN_LATE, now_us);
	}
}
