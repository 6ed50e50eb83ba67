#include "placement.h"

#include <math.h>
#include <string.h>

#include "draw.h"

enum {
	WAITING_PERMILLE = 100, /* of a server's cpu; agents turn away more than this */
	PERMILLE = 1000,
	ORDER_DELAY_US = 6 * US_PER_MS, /* from the entry's order to the answer, beside the run */
	/* Until a run on trial that stands still is noticed, stopped and started elsewhere. */
	TRIAL_RISK_US = 200 * US_PER_MS,
};

/* Below this share of free room, jobs that can do with a slow server leave the fast ones. */
static const double scarce_share = 0.35;
static const double speed_floor = 0.01;

/* Powers by which free places and the run time weigh in the draw of a server. */
static const double places_power = 2;
static const double slow_power = 2;  /* with scarce room, towards slow servers */
static const double fast_power = -4; /* else towards fast ones */

struct candidate {
	struct handle handle;
	const struct fleet_server *server;
	struct room free;
	uint32_t may_wait; /* cpu of tasks that may be sent there to wait for room */
	bool waits;	   /* it has no room now */
	int64_t end_us;
	double draw;	/* order of those with room, the least first */
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

	if (server->on_trial)
		end_us += TRIAL_RISK_US;
	if (is_full(server, &request->need))
		end_us += wait_us(server, fleet_waiting_before(server, request->priority) +
						  request->need.cpu);
	return end_us;
}

/* The least of such draws falls on a server with a chance in proportion to its weight. */
static double draw(const struct candidate *candidate, const struct placement_request *request,
		   double run_power, uint64_t *seed)
{
	double places = (double)candidate->free.cpu / MAX(request->need.cpu, 1);
	double slowness = 1 / MAX(candidate->server->speed, speed_floor);
	double weight = pow(places, places_power) * pow(slowness, run_power);

	return -log(draw_uniform(seed)) / MAX(weight, speed_floor);
}

/* Servers with room come before those where the task would wait, which are ranked by their end. */
static int by_preference(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->waits != right->waits)
		return left->waits ? 1 : -1;
	if (left->waits)
		return (left->end_us > right->end_us) - (left->end_us < right->end_us);
	return (left->draw > right->draw) - (left->draw < right->draw);
}

/* Returns the cpu of further tasks of PRIORITY that may wait at SERVER. */
static uint32_t waiting_left(const struct fleet_server *server, uint32_t priority)
{
	uint32_t most = (uint32_t)((uint64_t)server->total.cpu * WAITING_PERMILLE / PERMILLE);

	return most - MIN(most, fleet_waiting_before(server, priority));
}

/* Returns the cpu of tasks like REQUEST's that may be sent to wait for room. As at the agent, one
 * run may wait whatever its size. */
static uint32_t waiting_allowance(const struct fleet_server *server,
				  const struct placement_request *request)
{
	uint32_t left = waiting_left(server, request->priority);

	if (fleet_waiting_before(server, request->priority) == 0)
		return MAX(left, request->need.cpu);
	return left;
}

static GArray *find_candidates(const struct fleet *fleet, const struct placement_request *request,
			       double run_power, int64_t now_us, uint64_t *seed)
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
		if (server->on_trial ? server->runs > 0 : !fleet_is_useful(server))
			continue;
		candidate.may_wait = request->may_wait ? waiting_allowance(server, request) : 0;
		if (candidate.waits && candidate.may_wait < request->need.cpu)
			continue;
		if (!room_fits(&request->need, &server->total))
			continue;
		if (candidate.end_us > request->target_us)
			continue;
		candidate.draw = draw(&candidate, request, run_power, seed);
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

void placement_find_room(const struct fleet *fleet, const char *service,
			 struct placement_room *room)
{
	uint32_t cursor = 0;
	const struct fleet_server *server;

	*room = (struct placement_room){0};
	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (!server->ready || strcmp(server->service, service) != 0 ||
		    !(server->on_trial || fleet_is_useful(server)))
			continue;
		room->free_cpu = MAX(room->free_cpu, server->free.cpu);
		for (uint32_t i = 0; i < PRIORITIES; i++) {
			room->waiting_cpu[i] = MAX(room->waiting_cpu[i], waiting_left(server, i));
			room->one_may_wait[i] =
				room->one_may_wait[i] || fleet_waiting_before(server, i) == 0;
		}
	}
}

bool placement_may_place(const struct placement_room *room, const struct placement_request *request)
{
	uint32_t priority = MIN(request->priority, PRIORITIES - 1);

	if (room->free_cpu >= request->need.cpu)
		return true;
	return request->may_wait &&
	       (room->one_may_wait[priority] || room->waiting_cpu[priority] >= request->need.cpu);
}

/* Puts up to MOST of WANTED tasks on CANDIDATE and returns how many. */
static uint32_t fill(struct candidate *candidate, const struct placement_request *request,
		     uint32_t most, struct handle *servers, uint32_t wanted)
{
	uint32_t placed = 0;

	while (placed < MIN(most, wanted) && put(candidate, &request->need))
		servers[placed++] = candidate->handle;
	return placed;
}

/*
 * Returns the tasks that CANDIDATE gets before the other servers are asked: half of its places.
 *
 * Load pattern: many entries at a usual load, each with jobs of several tasks. An entry that fills
 * a server to its last place leaves none for the orders of others that are on their way.
 */
static uint32_t first_share(const struct candidate *candidate,
			    const struct placement_request *request)
{
	uint32_t places = candidate->free.cpu / MAX(request->need.cpu, 1);

	return (places + 1) / 2;
}

uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *request,
			  const struct fleet_sum *sum, int64_t now_us, uint64_t *seed,
			  struct handle *servers)
{
	bool scarce = (double)sum->free_cpu < scarce_share * (double)sum->cpu;
	double run_power = scarce && !request->late ? slow_power : fast_power;
	GArray *found = find_candidates(fleet, request, run_power, now_us, seed);
	uint32_t placed = 0;

	g_array_sort(found, by_preference);
	for (guint i = 0; i < found->len && placed < request->tasks; i++) {
		struct candidate *candidate = &g_array_index(found, struct candidate, i);

		if (!candidate->waits)
			placed += fill(candidate, request, first_share(candidate, request),
				       servers + placed, request->tasks - placed);
	}
	for (guint i = 0; i < found->len && placed < request->tasks; i++)
		placed += fill(&g_array_index(found, struct candidate, i), request, UINT32_MAX,
			       servers + placed, request->tasks - placed);
	g_array_free(found, TRUE);
	return placed;
}
