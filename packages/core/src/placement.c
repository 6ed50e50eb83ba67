#include "placement.h"

#include <string.h>

enum {
	ORDER_DELAY_US = 6 * US_PER_MS, /* from the entry's order to the answer, beside the run */
};

/* Below this share of free room, jobs that can do with a slow server leave the fast ones. */
static const double SCARCE_SHARE = 0.35;
static const double SPEED_FLOOR = 0.01;

struct candidate {
	struct handle handle;
	const struct fleet_server *server;
	struct room free;
	int64_t end_us;
	uint32_t limit; /* tasks that may still be put there */
};

int64_t placement_end_us(const struct fleet_server *server, int64_t work_us, int64_t now_us)
{
	return now_us + ORDER_DELAY_US + (int64_t)((double)work_us / MAX(server->speed, SPEED_FLOOR));
}

static int by_end(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->end_us != right->end_us)
		return left->end_us < right->end_us ? -1 : 1;
	/* Equal speeds: the emptier server, so that load spreads. */
	return (right->free.cpu > left->free.cpu) - (right->free.cpu < left->free.cpu);
}

static GArray *find_candidates(const struct fleet *fleet, const struct placement_request *request,
			       int64_t now_us)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint32_t cursor = 0;
	struct handle handle;
	const struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, &handle))) {
		struct candidate candidate = {
			.handle = handle,
			.server = server,
			.free = server->free,
			.end_us = placement_end_us(server, request->work_us, now_us),
			.limit = server->on_trial ? 1 : UINT32_MAX,
		};

		if (!server->ready || handle_equal(handle, request->avoid) ||
		    strcmp(server->service, request->service) != 0)
			continue;
		if (server->on_trial && server->runs > 0)
			continue;
		if (!room_fits(&request->need, &server->free))
			continue;
		if (!request->late && candidate.end_us > request->target_us)
			continue;
		g_array_append_val(found, candidate);
	}
	g_array_sort(found, by_end);
	return found;
}

static bool put(struct candidate *candidate, const struct room *need)
{
	if (candidate->limit == 0 || !room_fits(need, &candidate->free))
		return false;
	candidate->limit--;
	candidate->free.cpu -= need->cpu;
	candidate->free.memory_mb -= need->memory_mb;
	candidate->free.gpus -= need->gpus;
	return true;
}

uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *request,
			  int64_t now_us, struct handle *servers)
{
	struct fleet_sum sum = fleet_sum(fleet, request->service, &request->need);
	bool scarce = (double)sum.free_cpu < SCARCE_SHARE * (double)sum.cpu;
	GArray *found = find_candidates(fleet, request, now_us);
	uint32_t placed = 0;

	for (guint i = 0; i < found->len && placed < request->tasks; i++) {
		/* With scarce room the slowest server that is still in time goes first. */
		guint index = scarce && !request->late ? found->len - 1 - i : i;
		struct candidate *candidate = &g_array_index(found, struct candidate, index);

		while (placed < request->tasks && put(candidate, &request->need))
			servers[placed++] = candidate->handle;
	}
	g_array_free(found, TRUE);
	return placed;
}
