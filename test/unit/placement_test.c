/*
 * Placement on servers of unequal speed and in several zones. Some tests call placement_choose
 * directly; the others replay load in virtual time and compare the policy with and without one of
 * its mechanisms on the same jobs.
 */
#include <math.h>

#include "placement.h"
#include "simulation.h"

enum {
	SERVER_CPU = 16000,
	TASK_CPU = 1900, /* eight tasks fill a server */
	SERVER_SLOTS = SERVER_CPU / TASK_CPU,
	SERVERS = 12,
	ZONES = 3,
	ENTRIES = 6,
	SEED_COUNT = 8,
	LOAD_DURATION_US = 6000000,
	/* Jobs sent earlier aren't counted: speeds and run times are being learned. */
	COUNT_FROM_US = 1000000,
	SIMULATION_END_US = 10000000,
	DEADLINE_US = 2500000,
	REPORT_INTERVAL_US = 12000, /* between reports of an agent to the same entry */
	SHORT_US = 60000,
	MEDIUM_US = 200000,
	LONG_US = 900000,
};

/* The entries of the first zone get half of the jobs, those of the last one a fifth. */
static const double zone_shares[ZONES] = {0.5, 0.3, 0.2};
static const double slow_speed = 0.55;
static const double fast_speed = 1.2;

/* A kind of job. */
struct kind {
	const char *queue;
	uint32_t weight; /* of a hundred jobs, about this many */
	uint32_t tasks;
	int64_t work_us;
	uint32_t priority;
};

static const struct kind kinds[] = {
	{.queue = "short", .weight = 24, .tasks = 8, .work_us = SHORT_US, .priority = 0},
	{.queue = "long", .weight = 5, .tasks = 4, .work_us = LONG_US, .priority = 2},
	{.queue = "medium", .weight = 71, .tasks = 2, .work_us = MEDIUM_US, .priority = 1},
};

enum {
	SHORT,
	LONG,
	MEDIUM,
	KINDS
};

struct counts {
	uint32_t submitted[KINDS];
	uint32_t in_time[KINDS];
	uint32_t late[KINDS];
	uint32_t refused[KINDS];
	uint32_t orders;
	uint32_t remote_orders;
	uint32_t refused_orders;
};

/* Returns an approximately standard normal random value. */
static double random_normal(struct simulation *sim)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(sim->rand);
	return sum;
}

static void submit(struct simulation *sim, void *data)
{
	struct simulation_job *job = data;

	job->first_sent_us = sim->now_us;
	job->deadline_us = sim->now_us + DEADLINE_US;
	simulation_send_job(sim, job, job->entry);
}

/* Chooses an entry: its zone by the zones' shares, and one of the entries of the zone. */
static uint32_t random_entry(struct simulation *sim)
{
	double value = g_rand_double(sim->rand);
	uint32_t zone = 0;

	while (zone < ZONES - 1 && value >= zone_shares[zone])
		value -= zone_shares[zone++];
	return zone + ZONES * (uint32_t)g_rand_int_range(sim->rand, 0, ENTRIES / ZONES);
}

/* Schedules jobs whose tasks take LOAD of what all servers can do. */
static void schedule_jobs(struct simulation *sim, double load)
{
	double capacity = 0;
	double core_us = 0;
	uint32_t number = 0;

	for (uint32_t i = 0; i < sim->server_count; i++)
		capacity += sim->servers[i].speed * SERVER_SLOTS;
	for (uint32_t i = 0; i < KINDS; i++)
		core_us += kinds[i].weight * kinds[i].tasks * (double)kinds[i].work_us;
	for (uint32_t i = 0; i < KINDS; i++) {
		double interval_us = core_us / (kinds[i].weight * capacity * load);
		double at_us = 0;

		while ((at_us -= log(1 - g_rand_double(sim->rand)) * interval_us) <
		       LOAD_DURATION_US) {
			int64_t work_us =
				(int64_t)((double)kinds[i].work_us * exp(0.3 * random_normal(sim)));
			struct simulation_job *job = simulation_add_job(
				sim, ++number, kinds[i].tasks, TASK_CPU, work_us);

			job->queue = kinds[i].queue;
			job->priority = kinds[i].priority;
			job->estimate_us =
				(int64_t)((double)work_us * exp(0.34 * random_normal(sim)));
			job->entry = random_entry(sim);
			simulation_schedule(sim, (int64_t)at_us, submit, job);
		}
	}
}

static void set_zone(char *zone, uint32_t index)
{
	g_snprintf(zone, NAME_BYTES, "zone-%u", index % ZONES);
}

static bool is_in_time(const struct simulation_job *job)
{
	double objective_us =
		job->stretch * (double)simulation_longest_task_us(job) + (double)job->slack_us;

	return !job->refused && job->status == STATUS_OK &&
	       (double)(job->answered_us - job->first_sent_us) <= objective_us;
}

static void count_jobs(struct simulation *sim, struct counts *counts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct simulation_job *job = value;
		uint32_t kind = 0;

		if (job->first_sent_us < COUNT_FROM_US)
			continue;
		while (strcmp(job->queue, kinds[kind].queue) != 0)
			kind++;
		counts->submitted[kind]++;
		if (job->answered && is_in_time(job))
			counts->in_time[kind]++;
		else if (job->answered && job->refused)
			counts->refused[kind]++;
		else
			counts->late[kind]++;
	}
	counts->orders += sim->orders;
	counts->remote_orders += sim->remote_orders;
	counts->refused_orders += sim->refused_orders;
}

/* Replays LOAD of the capacity with several seeds. OFF names the mechanisms that are switched off.
 */
static struct counts replay(double load, char *const *off)
{
	struct counts counts = {0};

	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct simulation sim;

		simulation_init(&sim, seed, ENTRIES, SERVERS, SERVER_CPU);
		simulation_delay_reports(&sim, REPORT_INTERVAL_US);
		for (uint32_t i = 0; i < SERVERS; i++)
			sim.servers[i].speed = i % 4 == 0 ? slow_speed : fast_speed;
		for (uint32_t i = 0; i < ENTRIES; i++) {
			struct simulation_entry *entry = &sim.entries[i];
			struct dispatch *dispatch = &entry->node.dispatch;

			set_zone(entry->zone, i);
			set_zone(dispatch->local_zone, i);
			g_assert_null(policy_switch_off(&dispatch->policy, off));
			for (uint32_t j = 0; j < SERVERS; j++)
				set_zone(fleet_get(&dispatch->fleet, entry->servers[j])->zone, j);
		}
		schedule_jobs(&sim, load);
		simulation_run_until(&sim, SIMULATION_END_US);
		count_jobs(&sim, &counts);
		simulation_free(&sim);
	}
	g_test_message("load %.2f without %s: %.3f of the orders to other zones, %.3f refused",
		       load, off[0] ? off[0] : "nothing",
		       (double)counts.remote_orders / counts.orders,
		       (double)counts.refused_orders / counts.orders);
	for (uint32_t i = 0; i < KINDS; i++)
		g_test_message("  %s: %u submitted, %u in time, %u late, %u refused",
			       kinds[i].queue, counts.submitted[i], counts.in_time[i],
			       counts.late[i], counts.refused[i]);
	return counts;
}

static char *const nothing_off[] = {NULL};
static char *const local_zone_off[] = {"local_zone", NULL};

static double in_time_share(const struct counts *counts)
{
	uint32_t submitted = 0, in_time = 0;

	for (uint32_t i = 0; i < KINDS; i++) {
		submitted += counts->submitted[i];
		in_time += counts->in_time[i];
	}
	return (double)in_time / submitted;
}

static double remote_share(const struct counts *counts)
{
	return (double)counts->remote_orders / counts->orders;
}

/* At half of the capacity, each zone has room for nearly all jobs of its entries, so few orders may
 * go to other zones: at most half as many as without the preference. The users' target of 99 % in
 * time holds as without it. Guards against orders that are sent to all zones alike. */
static void test_local_zone_usual_load(void)
{
	struct counts without = replay(0.5, local_zone_off);
	struct counts with = replay(0.5, nothing_off);

	g_assert_cmpfloat(remote_share(&with), <=, remote_share(&without) / 2);
	g_assert_cmpfloat(in_time_share(&with), >=, 0.99);
}

/*
 * When nearly all servers are full, the entries of the first zone get 1.35 times what its servers
 * can do, so 0.13 of the orders must go to other zones; without a preference, 0.67 do. At least a
 * quarter of the difference must be saved, and no kind may lose more than 0.03 of its jobs in time,
 * the most that a deployment may lose. Guards against a preference without an effect because each
 * free slot is taken from all zones at once.
 */
static void test_local_zone_full_servers(void)
{
	const double load = 0.9;
	const double unavoidable = zone_shares[0] - 1 / (load * ZONES);
	struct counts without = replay(load, local_zone_off);
	struct counts with = replay(load, nothing_off);

	g_assert_cmpfloat(remote_share(&with), <=,
			  remote_share(&without) - 0.25 * (remote_share(&without) - unavoidable));
	for (uint32_t i = 0; i < KINDS; i++)
		g_assert_cmpfloat((double)with.in_time[i] / with.submitted[i], >=,
				  (double)without.in_time[i] / without.submitted[i] - 0.03);
}

/* The entries of one zone get one and a half times the work that its servers can do, and all zones
 * together have little room left or none. Guards against tasks that wait in a full zone or crowd
 * its last free slots while another zone has room: at most 1 % of the jobs may lose their
 * objective by the preference. */
static void test_local_zone_high_load(void)
{
	static const double loads[] = {0.9, 1.0, 1.3};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		struct counts without = replay(loads[i], local_zone_off);
		struct counts with = replay(loads[i], nothing_off);

		g_assert_cmpfloat(in_time_share(&with), >=, in_time_share(&without) - 0.01);
	}
}

/* A server of a fleet for placement_choose. */
struct server_row {
	const char *zone;
	double speed;
	uint32_t free_slots;
};

/* Places TASKS tasks of WORK_US at time 0 on the COUNT servers ROWS and stores in PLACED how many
 * each server gets. Tasks prefer LOCAL_ZONE and may wait for it until SPILL_FROM_US. Returns the
 * number of placed tasks. */
static uint32_t place_before(const struct server_row *rows, uint32_t count, const char *local_zone,
			     uint32_t tasks, int64_t work_us, int64_t target_us,
			     int64_t spill_from_us, uint64_t seed, uint32_t *placed)
{
	struct fleet fleet;
	struct policy policy;
	struct fleet_totals sum;
	struct handle *known = g_new(struct handle, count);
	struct handle *chosen = g_new(struct handle, tasks);
	uint32_t total;

	policy_init(&policy);
	fleet_init(&fleet);
	memset(placed, 0, count * sizeof(*placed));
	for (uint32_t i = 0; i < count; i++) {
		struct fleet_server *server;

		known[i] = fleet_add(&fleet, NULL);
		server = fleet_get(&fleet, known[i]);
		g_strlcpy(server->service, "s", sizeof(server->service));
		g_strlcpy(server->zone, rows[i].zone, sizeof(server->zone));
		server->ready = true;
		server->speed = rows[i].speed;
		server->total = (struct resources){.cpu = SERVER_CPU, .memory_mb = 1 << 20};
		server->free = (struct resources){.cpu = rows[i].free_slots * TASK_CPU,
						  .memory_mb = 1 << 20};
	}
	sum = fleet_compute_totals(&fleet, "s", 0);
	total = placement_choose(&fleet,
				 &(struct placement_request){
					 .policy = &policy,
					 .service = "s",
					 .local_zone = local_zone,
					 .need = {.cpu = TASK_CPU, .memory_mb = 64},
					 .tasks = tasks,
					 .priority = 1,
					 .work_us = work_us,
					 .target_us = target_us,
					 .spill_from_us = spill_from_us,
				 },
				 &sum, 0, &seed, chosen);
	for (uint32_t i = 0; i < total; i++) {
		for (uint32_t j = 0; j < count; j++)
			placed[j] += handle_equal(chosen[i], known[j]);
	}
	fleet_free(&fleet);
	g_free(known);
	g_free(chosen);
	return total;
}

static uint32_t place(const struct server_row *rows, uint32_t count, const char *local_zone,
		      uint32_t tasks, int64_t work_us, int64_t target_us, uint64_t seed,
		      uint32_t *placed)
{
	return place_before(rows, count, local_zone, tasks, work_us, target_us, 0, seed, placed);
}

/* A task that may wait for its zone doesn't take the last slots of another one, but goes there at
 * once if there is ample room, or if no server of its zone can ever end it in time. */
static void test_local_zone_waits(void)
{
	static const struct server_row scarce[] = {{"a", 1, 0}, {"b", 1, 2}};
	static const struct server_row ample[] = {{"a", 1, 0}, {"b", 1, SERVER_SLOTS / 2}};
	static const struct server_row slow[] = {{"a", 0.55, SERVER_SLOTS}, {"b", 1.2, 2}};
	uint32_t placed[2];

	g_assert_cmpuint(place_before(scarce, 2, "a", 1, MEDIUM_US, DEADLINE_US, 1, 1, placed), ==,
			 0);
	g_assert_cmpuint(place_before(scarce, 2, "a", 1, MEDIUM_US, DEADLINE_US, 0, 1, placed), ==,
			 1);
	g_assert_cmpuint(place_before(scarce, 2, "c", 1, MEDIUM_US, DEADLINE_US, 1, 1, placed), ==,
			 1);
	g_assert_cmpuint(place_before(ample, 2, "a", 1, MEDIUM_US, DEADLINE_US, 1, 1, placed), ==,
			 1);
	g_assert_cmpuint(place_before(slow, 2, "a", 1, LONG_US, 1500000, 1, 1, placed), ==, 1);
}

/* Tasks stay in the zone as far as it has room, also if other zones have more of it. */
static void test_local_zone_first(void)
{
	static const struct server_row rows[] = {
		{"a", 1, 3}, {"b", 1, SERVER_SLOTS}, {"c", 1, SERVER_SLOTS}};
	uint32_t placed[G_N_ELEMENTS(rows)];

	for (uint64_t seed = 1; seed <= 50; seed++) {
		g_assert_cmpuint(place(rows, 3, "a", 2, MEDIUM_US, DEADLINE_US, seed, placed), ==,
				 2);
		g_assert_cmpuint(placed[0], ==, 2);
		g_assert_cmpuint(place(rows, 3, "a", 8, MEDIUM_US, DEADLINE_US, seed, placed), ==,
				 8);
		g_assert_cmpuint(placed[0], >, 0);
	}
}

/* Tasks go to another zone when the servers of their own are full, or too slow for the target. */
static void test_local_zone_spills(void)
{
	static const struct server_row full[] = {{"a", 1, 0}, {"b", 1, SERVER_SLOTS}};
	static const struct server_row slow[] = {{"a", 0.55, SERVER_SLOTS}, {"b", 1.2, 1}};
	uint32_t placed[2];

	g_assert_cmpuint(place(full, 2, "a", 4, SHORT_US, DEADLINE_US, 1, placed), ==, 4);
	g_assert_cmpuint(placed[1], ==, 4);
	g_assert_cmpuint(place(slow, 2, "a", 1, LONG_US, 1500000, 1, placed), ==, 1);
	g_assert_cmpuint(placed[1], ==, 1);
}

/* Where all servers are in one zone, whether that of the entry or another one, the same random
 * numbers choose the same servers as without a preference. */
static void test_local_zone_alone(void)
{
	static const struct server_row rows[] = {
		{"a", 1, 2}, {"a", 0.55, 8}, {"a", 1.2, 5}, {"a", 1, 7}};
	static const char *const zones[] = {"a", "b"};
	uint32_t without[G_N_ELEMENTS(rows)], with[G_N_ELEMENTS(rows)];

	for (uint64_t seed = 1; seed <= 50; seed++) {
		place(rows, 4, "", 6, SHORT_US, DEADLINE_US, seed, without);
		for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
			place(rows, 4, zones[i], 6, SHORT_US, DEADLINE_US, seed, with);
			g_assert_cmpmem(without, sizeof(without), with, sizeof(with));
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/local_zone/first", test_local_zone_first);
	g_test_add_func("/placement/local_zone/spills", test_local_zone_spills);
	g_test_add_func("/placement/local_zone/waits", test_local_zone_waits);
	g_test_add_func("/placement/local_zone/alone", test_local_zone_alone);
	g_test_add_func("/placement/local_zone/usual_load", test_local_zone_usual_load);
	g_test_add_func("/placement/local_zone/full_servers", test_local_zone_full_servers);
	g_test_add_func("/placement/local_zone/high_load", test_local_zone_high_load);
	return g_test_run();
}
