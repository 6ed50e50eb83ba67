#include "placement.h"

#include <math.h>
#include <string.h>

#include "prng.h"

enum {
	WAITING_PERMILLE = 100, /* share of a server's cpu that waiting tasks may use; agents refuse
				  more */
	PERMILLE = 1000,
	ORDER_DELAY_US = 6 * US_PER_MS, /* time from the order to the result, without the run */
	/* Time to detect a stalled run at a server on trial, stop it and start it elsewhere. */
	TRIAL_DELAY_US = 200 * US_PER_MS,
};

/* Below this share of free cpu, jobs prefer slow servers that are fast enough for them and leave
 * the fast ones to other jobs. */
static const double scarce_free_share = 0.35;
/* Lower limit of speeds and weights that are used as divisors; avoids a division by zero. */
static const double divisor_floor = 0.01;

/* From this share of free cpu on, a server has room for tasks of other zones at once. At a lower
 * share, entries of its own zone may need the room. */
static const double ample_free_share = 0.35;

/* The weight of a server is slots^slots_exponent * slowness^slowness_exponent: slots is the number
 * of tasks that fit there now, slowness is 1 / speed. */
static const double slots_exponent = 2;
static const double prefer_slow_exponent = 2;  /* prefers slow servers; used when room is scarce */
static const double prefer_fast_exponent = -4; /* prefers fast servers; used otherwise */

/* A server on which tasks of the request can be placed. */
struct candidate {
	struct handle handle;
	const struct fleet_server *server;
	struct resources free;
	uint32_t wait_allowance_cpu; /* cpu of further tasks that may be sent there to wait */
	bool must_wait;		     /* a task would have to wait there */
	bool remote;		     /* it is not in the local zone of the request */
	int64_t end_us;
	double rank;	     /* random rank among servers with room; the lowest comes first */
	uint32_t tasks_left; /* tasks that may still be placed there */
};

int64_t placement_run_us(const struct fleet_server *server, int64_t work_us)
{
	/* A very slow server gets a run only on the assumption that it has recovered. */
	bool measured = server->on_trial || fleet_is_useful(server);

	return (int64_t)((double)work_us / (measured ? MAX(server->speed, divisor_floor) : 1.0));
}

/* Returns the time in which SERVER, when full, is expected to free NEEDED_CPU. It frees its cpu at
 * the rate at which its runs end. */
static int64_t expected_wait_us(const struct fleet_server *server, uint32_t needed_cpu)
{
	int64_t run_us = fleet_mean_run_us(server);

	return server->total.cpu > 0 ? run_us * needed_cpu / server->total.cpu : run_us;
}

/* Returns whether a task that needs NEED would have to wait at SERVER, for room or behind
 * others. */
static bool would_wait(const struct fleet_server *server, const struct resources *need)
{
	return fleet_waiting_cpu_ahead(server, PRIORITY_LEVELS) > 0 ||
	       !resources_fit(need, &server->free);
}

int64_t placement_end_us(const struct fleet_server *server, const struct placement_request *request,
			 int64_t now_us)
{
	int64_t end_us = now_us + ORDER_DELAY_US + placement_run_us(server, request->work_us);

	if (fleet_is_tested(server, now_us))
		end_us += TRIAL_DELAY_US;
	if (would_wait(server, &request->need))
		end_us += expected_wait_us(server,
					   fleet_waiting_cpu_ahead(server, request->priority) +
						   request->need.cpu);
	return end_us;
}

/* Returns an exponentially distributed random number whose rate is the weight of the server.
 * Choosing the server with the lowest number selects each server with a probability proportional to
 * its weight. */
static double draw_rank(const struct candidate *candidate, const struct placement_request *request,
			double slowness_exponent, uint64_t *random_state)
{
	double slots = (double)candidate->free.cpu / MAX(request->need.cpu, 1);
	double slowness = 1 / MAX(candidate->server->speed, divisor_floor);
	double weight = pow(slots, slots_exponent) * pow(slowness, slowness_exponent);

	if (!request->policy->random_choice)
		return 1 / MAX(weight, divisor_floor);
	return -log(prng_uniform(random_state)) / MAX(weight, divisor_floor);
}

/* Sorts servers with room by their random rank, those of the local zone first, before those where
 * the task would wait, which are sorted by the expected end. */
static int by_preference(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->must_wait != right->must_wait)
		return left->must_wait ? 1 : -1;
	if (left->must_wait)
		return (left->end_us > right->end_us) - (left->end_us < right->end_us);
	if (left->remote != right->remote)
		return left->remote ? 1 : -1;
	return (left->rank > right->rank) - (left->rank < right->rank);
}

/* Returns the cpu of further tasks of PRIORITY that may be sent to SERVER to wait. */
static uint32_t waiting_cpu_left(const struct fleet_server *server, uint32_t priority)
{
	uint32_t limit_cpu = (uint32_t)((uint64_t)server->total.cpu * WAITING_PERMILLE / PERMILLE);

	return limit_cpu - MIN(limit_cpu, fleet_waiting_cpu_ahead(server, priority));
}

/* Returns the cpu of tasks of REQUEST that may be sent to SERVER to wait for room. As in the agent,
 * a run may wait whatever its size if no run waits ahead of it. */
static uint32_t waiting_allowance(const struct fleet_server *server,
				  const struct placement_request *request)
{
	uint32_t left = waiting_cpu_left(server, request->priority);

	if (fleet_waiting_cpu_ahead(server, request->priority) == 0)
		return MAX(left, request->need.cpu);
	return left;
}

static bool has_local_zone(const struct placement_request *request)
{
	return request->policy->local_zone && request->local_zone && request->local_zone[0];
}

static bool is_remote(const struct fleet_server *server, const struct placement_request *request)
{
	return has_local_zone(request) && strcmp(server->zone, request->local_zone) != 0;
}

/* Returns whether a server of the local zone could end a task of REQUEST by the target if it had
 * room. */
static bool local_zone_can_serve(const struct fleet *fleet, const struct placement_request *request,
				 int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	const struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, &handle))) {
		if (!is_remote(server, request) && server->ready && fleet_is_useful(server) &&
		    fleet_serves(server, request->service, request->partition) &&
		    !handle_equal(handle, request->avoid_server) &&
		    resources_fit(&request->need, &server->total) &&
		    now_us + ORDER_DELAY_US + placement_run_us(server, request->work_us) <=
			    request->target_us)
			return true;
	}
	return false;
}

static bool has_ample_room(const struct fleet_server *server)
{
	return (double)server->free.cpu >= ample_free_share * (double)server->total.cpu;
}

/* Returns the servers on which tasks of REQUEST can be placed, unsorted. */
static GArray *find_candidates(const struct fleet *fleet, const struct placement_request *request,
			       double slowness_exponent, int64_t now_us, uint64_t *random_state)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint32_t cursor = 0;
	struct handle handle;
	const struct fleet_server *server;
	bool stay = has_local_zone(request) && request->policy->wait_for_zone &&
		    now_us < request->spill_from_us && local_zone_can_serve(fleet, request, now_us);

	while ((server = table_next(&fleet->servers, &cursor, &handle))) {
		bool tested = fleet_is_tested(server, now_us);
		struct candidate candidate = {
			.handle = handle,
			.server = server,
			.free = server->free,
			.end_us = placement_end_us(server, request, now_us),
			.must_wait = would_wait(server, &request->need),
			.remote = is_remote(server, request),
			.tasks_left = tested ? 1 : UINT32_MAX,
		};

		if (!server->ready || handle_equal(handle, request->avoid_server) ||
		    !fleet_serves(server, request->service, request->partition))
			continue;
		if (tested ? server->runs > 0 : !fleet_is_useful(server))
			continue;
		candidate.wait_allowance_cpu =
			request->may_wait ? waiting_allowance(server, request) : 0;
		if (candidate.must_wait && candidate.wait_allowance_cpu < request->need.cpu)
			continue;
		if (!resources_fit(&request->need, &server->total))
			continue;
		if (candidate.end_us > request->target_us)
			continue;
		if (candidate.remote && stay && !has_ample_room(server))
			continue;
		candidate.rank = draw_rank(&candidate, request, slowness_exponent, random_state);
		g_array_append_val(found, candidate);
	}
	return found;
}

/* Reserves room for one task on CANDIDATE, or part of its waiting allowance if the task must wait
 * there. Returns false when not enough is left. */
static bool assign_task(struct candidate *candidate, const struct resources *need)
{
	if (candidate->tasks_left == 0)
		return false;
	if (candidate->must_wait) {
		if (candidate->wait_allowance_cpu < need->cpu)
			return false;
		candidate->tasks_left--;
		candidate->wait_allowance_cpu -= need->cpu;
		return true;
	}
	if (!resources_fit(need, &candidate->free))
		return false;
	candidate->tasks_left--;
	candidate->free.cpu -= need->cpu;
	candidate->free.memory_mb -= need->memory_mb;
	candidate->free.gpus -= need->gpus;
	return true;
}

void placement_find_headroom(const struct fleet *fleet, const char *service, uint32_t partition,
			     int64_t now_us, struct placement_headroom *headroom)
{
	uint32_t cursor = 0;
	const struct fleet_server *server;

	*headroom = (struct placement_headroom){0};
	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (!server->ready || !fleet_serves(server, service, partition) ||
		    !(fleet_is_tested(server, now_us) || fleet_is_useful(server)))
			continue;
		headroom->free_cpu = MAX(headroom->free_cpu, server->free.cpu);
		for (uint32_t i = 0; i < PRIORITY_LEVELS; i++) {
			headroom->wait_allowance_cpu[i] =
				MAX(headroom->wait_allowance_cpu[i], waiting_cpu_left(server, i));
			headroom->any_size_may_wait[i] = headroom->any_size_may_wait[i] ||
							 fleet_waiting_cpu_ahead(server, i) == 0;
		}
	}
}

bool placement_may_place(const struct placement_headroom *headroom,
			 const struct placement_request *request)
{
	uint32_t priority = MIN(request->priority, PRIORITY_LEVELS - 1);

	if (headroom->free_cpu >= request->need.cpu)
		return true;
	return request->may_wait && (headroom->any_size_may_wait[priority] ||
				     headroom->wait_allowance_cpu[priority] >= request->need.cpu);
}

/* Places tasks on CANDIDATE while it has room, at most MAX_TASKS and at most WANTED. Returns the
 * number of placed tasks. */
static uint32_t assign_tasks(struct candidate *candidate, const struct placement_request *request,
			     uint32_t max_tasks, struct handle *servers, uint32_t wanted)
{
	uint32_t placed = 0;

	while (placed < MIN(max_tasks, wanted) && assign_task(candidate, &request->need))
		servers[placed++] = candidate->handle;
	return placed;
}

/*
 * Returns the number of tasks that CANDIDATE gets in the first pass over the servers: half of its
 * slots, rounded up.
 *
 * At a usual load, many entries place jobs of several tasks at the same time. An entry that filled
 * a server completely would leave no slot for orders of other entries that are already on their
 * way.
 */
static uint32_t first_share(const struct candidate *candidate,
			    const struct placement_request *request)
{
	uint32_t slots = candidate->free.cpu / MAX(request->need.cpu, 1);

	return (slots + 1) / 2;
}

/* Returns whether the local zone of REQUEST has enough ready servers to be preferred. */
static bool local_zone_is_large(const struct fleet *fleet, const struct placement_request *request)
{
	uint32_t cursor = 0;
	uint32_t count = 0;
	const struct fleet_server *server;

	while (count < request->local_zone_servers &&
	       (server = table_next(&fleet->servers, &cursor, NULL)))
		count += server->ready && !is_remote(server, request) &&
			 fleet_serves(server, request->service, request->partition);
	return count >= request->local_zone_servers;
}

uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *wanted,
			  const struct fleet_totals *sum, int64_t now_us, uint64_t *random_state,
			  struct handle *servers)
{
	struct placement_request adjusted = *wanted;
	const struct placement_request *request = &adjusted;
	bool scarce = (double)sum->free_cpu < scarce_free_share * (double)sum->cpu;
	double slowness_exponent = scarce && !request->prefer_fast && request->policy->prefer_slow
					   ? prefer_slow_exponent
					   : prefer_fast_exponent;
	GArray *found;
	uint32_t placed = 0;

	if (has_local_zone(request) && !local_zone_is_large(fleet, request))
		adjusted.local_zone = NULL;
	found = find_candidates(fleet, request, slowness_exponent, now_us, random_state);
	g_array_sort(found, by_preference);
	for (guint i = 0; i < found->len && placed < request->tasks; i++) {
		struct candidate *candidate = &g_array_index(found, struct candidate, i);

		if (!candidate->must_wait && request->policy->leave_room)
			placed += assign_tasks(candidate, request, first_share(candidate, request),
					       servers + placed, request->tasks - placed);
	}
	for (guint i = 0; i < found->len && placed < request->tasks; i++)
		placed += assign_tasks(&g_array_index(found, struct candidate, i), request,
				       UINT32_MAX, servers + placed, request->tasks - placed);
	g_array_free(found, TRUE);
	return placed;
}
