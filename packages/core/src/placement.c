#include "placement.h"

#include <string.h>

enum {
	WAITING_PERMILLE = 100, /* of a server's cpu; agents turn away more than this */
	PERMILLE = 1000,
	ORDER_DELAY_US = 6 * US_PER_MS, /* from the entry's order to the answer, beside the run */
};

/* Below this share of free room, jobs that can do with a slow server leave the fast ones. */
static const double scarce_share = 0.35;
static const double speed_floor = 0.01;

struct candidate {
	struct handle handle;
	const struct fleet_server *server;
	struct room free;
	uint32_t may_wait; /* cpu of tasks that may be sent there to wait for room */
	bool waits;	   /* it has no room now */
	int64_t end_us;
	uint32_t limit; /* tasks that may still be put there */
};

int64_t placement_run_us(const struct fleet_server *server, int64_t work_us)
{
	return (int64_t)((double)work_us / MAX(server->speed, speed_floor));
}

/* A full server frees its room at the rate at which its runs end. */
static int64_t wait_us(const struct fleet_server *server, uint32_t waiting_cpu)
{
	int64_t run_us = fleet_run_us(server);

	return server->total.cpu > 0 ? run_us * waiting_cpu / server->total.cpu : run_us;
}

/* Whether a task would wait. */
static bool is_full(const struct fleet_server *server, const struct room *need)
{
	return fleet_waiting_before(server, PRIORITIES) > 0 || !room_fits(need, &server->free);
}

int64_t placement_end_us(const struct fleet_server *server, const struct placement_request *request,
			 int64_t now_us)
{
	int64_t end_us = now_us + ORDER_DELAY_US + placement_run_us(server, request->work_us);

	if (is_full(server, &request->need))
		end_us += wait_us(server, fleet_waiting_before(server, request->priority) +
						  request->need.cpu);
	return end_us;
}

/* Servers with room come before those where the task would wait. */
static int by_preference(const void *a, const void *b, void *slow_first)
{
	const struct candidate *left = a;
	const struct candidate *right = b;
	int sooner = slow_first && !left->waits ? 1 : -1;

	if (left->waits != right->waits)
		return left->waits ? 1 : -1;
	if (left->end_us != right->end_us)
		return left->end_us < right->end_us ? sooner : -sooner;
	/* Equal speeds: the emptier server, so that load spreads. */
	return (right->free.cpu > left->free.cpu) - (right->free.cpu < left->free.cpu);
}

static uint32_t waiting_allowance(const struct fleet_server *server, uint32_t priority)
{
	uint64_t most = (uint64_t)server->total.cpu * WAITING_PERMILLE / PERMILLE;

	return (uint32_t)(most - MIN(most, fleet_waiting_before(server, priority)));
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
			.end_us = placement_end_us(server, request, now_us),
			.waits = is_full(server, &request->need),
			.limit = server->on_trial ? 1 : UINT32_MAX,
		};

		if (!server->ready || handle_equal(handle, request->avoid) ||
		    strcmp(server->service, request->service) != 0)
			continue;
		if (server->on_trial && server->runs > 0)
			continue;
		candidate.may_wait = waiting_allowance(server, request->priority);
		if (candidate.waits && candidate.may_wait < request->need.cpu)
			continue;
		if (!room_fits(&request->need, &server->total))
			continue;
		if (!request->late && candidate.end_us > request->target_us)
			continue;
		g_array_append_val(found, candidate);
	}
	return found;
}

static bool put(struct candidate *candidate, const struct room *need)
{
	if (candidate->limit == 0)
		return false;
	if (candidate->waits) {
		if (candidate->may_wait < need->cpu)
			return false;
		candidate->limit--;
		candidate->may_wait -= need->cpu;
		return true;
	}
	if (!room_fits(need, &candidate->free))
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
	bool scarce = (double)sum.free_cpu < scarce_share * (double)sum.cpu;
	GArray *found = find_candidates(fleet, request, now_us);
	uint32_t placed = 0;

	/* With scarce room the slowest server that is still in time goes first. */
	g_array_sort_with_data(found, by_preference,
			       scarce && !request->late ? (void *)request : NULL);
	for (guint i = 0; i < found->len && placed < request->tasks; i++) {
		struct candidate *candidate = &g_array_index(found, struct candidate, i);

		while (placed < request->tasks && put(candidate, &request->need))
			servers[placed++] = candidate->handle;
	}
	g_array_free(found, TRUE);
	return placed;
}
