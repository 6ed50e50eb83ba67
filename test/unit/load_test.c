/*
 * Replays of the load patterns behind the decisions on queueing, refusal and placement, in virtual
 * time. Each case names the pattern; its bound comes from the users' target for it.
 */
#include <math.h>

#include "world.h"

enum {
	SEED = 20261204,
	MILLICORES = 1000,
	SERVER_CPU = 64000,
	SERVERS = 6,
	LOAD_DURATION_US = 6000000, /* jobs are sent for this long */
	SIMULATION_END_US = 10000000,
	SHORT_US = 60000,
	MANY_ENTRIES = 12,
	MANY_SERVERS = 16,
	MANY_SEEDS = 10,
	STALL_SEEDS = 5,
	STALLED_SERVERS = 5,
	REPORT_INTERVAL_US = 12000, /* between two reports of an agent to one of so many entries */
	MEDIUM_US = 200000,
	LONG_US = 900000,
	DEADLINE_US = 2500000
};

static const double stalled_speed = 0.0001; /* speed of a server that stands still */

/* A kind of job, as one queue sees it. */
struct job_type {
	const char *queue;
	double per_s;
	uint32_t tasks;
	uint32_t cpu;
	int64_t work_us;
	uint32_t priority;
	double estimate_factor; /* factor of the declared run time over the true one */
	double estimate_sigma;	/* of ln(declared) */
};

static const struct job_type job_types[] = {
	{.queue = "short",
	 .per_s = 17,
	 .tasks = 8,
	 .cpu = 6200,
	 .work_us = SHORT_US,
	 .priority = 0,
	 .estimate_factor = 1.0},
	{.queue = "long",
	 .per_s = 3,
	 .tasks = 4,
	 .cpu = 6200,
	 .work_us = LONG_US,
	 .priority = 2,
	 .estimate_factor = 1.0},
	{.queue = "medium",
	 .per_s = 50,
	 .tasks = 2,
	 .cpu = 6200,
	 .work_us = MEDIUM_US,
	 .priority = 1,
	 .estimate_factor = 1.0},
};

static void submit(struct world *world, void *data)
{
	struct world_job *job = data;

	job->first_sent_us = world->now_us;
	job->deadline_us = world->now_us + DEADLINE_US;
	world_send_job(world, job,
		       (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->entry_count));
}

/* Normal variable by the sum of twelve uniform ones. */
static double random_normal(struct world *world)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(world->rand);
	return sum;
}

/* Sends jobs of KIND at random times, FACTOR times its usual rate, up to UNTIL_US. */
static void schedule_jobs(struct world *world, const struct job_type *job_type, double factor,
			  int64_t until_us)
{
	static uint32_t number;
	int64_t at_us = 0;

	while (true) {
		struct world_job *job;

		at_us += (int64_t)(-log(1 - g_rand_double(world->rand)) /
				   (job_type->per_s * factor) * 1000000);
		if (at_us >= until_us)
			return;
		job = world_add_job(
			world, ++number, job_type->tasks, job_type->cpu,
			(int64_t)((double)job_type->work_us * exp(0.3 * random_normal(world))));
		job->queue = job_type->queue;
		job->priority = job_type->priority;
		job->estimate_us = (int64_t)((double)job->work_us * job_type->estimate_factor *
					     exp(job_type->estimate_sigma * random_normal(world)));
		world_schedule(world, at_us, submit, job);
	}
}

struct job_counts {
	uint32_t submitted;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;
	uint32_t unanswered;
	double refused_after_ms; /* mean time to a refusal */
};

static bool is_in_time(const struct world_job *job)
{
	double objective_us =
		job->stretch * (double)world_longest_task_us(job) + (double)job->slack_us;

	return job->answered && !job->refused && job->status == STATUS_OK &&
	       (double)(job->answered_us - job->first_sent_us) <= objective_us;
}

/* Counts the jobs of QUEUE (NULL: all) of at least MIN_TASKS tasks sent from FROM_US on. */
static struct job_counts count_jobs(struct world *world, const char *queue, uint32_t min_tasks,
				    int64_t from_us)
{
	struct job_counts counts = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct world_job *job = value;

		if ((queue && strcmp(job->queue, queue) != 0) || job->tasks < min_tasks ||
		    job->first_sent_us < from_us)
			continue;
		counts.submitted++;
		if (is_in_time(job)) {
			counts.in_time++;
		} else if (job->answered && !job->refused) {
			counts.late++;
		} else if (job->answered) {
			counts.refused++;
			counts.refused_after_ms +=
				(double)(job->answered_us - job->first_sent_us) / 1000;
		} else {
			counts.unanswered++;
		}
	}
	if (counts.refused > 0)
		counts.refused_after_ms /= counts.refused;
	g_test_message("%s: %u asked, %u in time, %u late, %u refused after %.0f ms, %u lost",
		       queue ? queue : "all", counts.submitted, counts.in_time, counts.late,
		       counts.refused, counts.refused_after_ms, counts.unanswered);
	return counts;
}

static double in_time_share(struct job_counts counts)
{
	return (double)counts.in_time / MAX(counts.submitted, 1);
}

static void start_loaded_world(struct world *world, double factor)
{
	world_init(world, SEED, 3, SERVERS, SERVER_CPU);
	for (size_t i = 0; i < G_N_ELEMENTS(job_types); i++)
		schedule_jobs(world, &job_types[i], factor, LOAD_DURATION_US);
}

/* A usual day, two thirds of the capacity: everything is served in time (target 0.99). */
static void test_usual_load(void)
{
	struct world world;

	start_loaded_world(&world, 1.0);
	world_run_until(&world, SIMULATION_END_US);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, NULL, 1, 0)), >=, 0.99);
	world_free(&world);
}

/* All servers full and three entries with work: the servers turn away under 1 start in 1,000. */
static void test_full_servers_turn_nothing_away(void)
{
	struct world world;

	start_loaded_world(&world, 1.6);
	world_run_until(&world, SIMULATION_END_US);
	g_test_message("%u starts, %u turned away by servers", world.starts, world.refused_starts);
	g_assert_cmpuint(world.refused_starts * 1000, <=, world.starts);
	world_free(&world);
}

/* Twelve entries that hear of free room up to 12 ms late, and tasks that are larger than the
 * allowance of runs that wait at a server: entries that all send for the same room turn each other
 * away. */
static void start_many_entries(struct world *world, uint32_t seed, double factor)
{
	world_init(world, seed, MANY_ENTRIES, MANY_SERVERS, SERVER_CPU);
	world_delay_reports(world, REPORT_INTERVAL_US);
	for (uint32_t i = 0; i < MANY_SERVERS; i++)
		world->servers[i].speed = i % 4 == 0 ? 0.8 : 1.05;
	for (size_t i = 0; i < G_N_ELEMENTS(job_types); i++) {
		struct job_type job_type = job_types[i];

		job_type.cpu = 7000;
		schedule_jobs(world, &job_type, factor * MANY_SERVERS / SERVERS, LOAD_DURATION_US);
	}
}

/* The target at a usual load is 0.1 wasted messages a task; an order that is turned away is two. */
static void test_many_entries_share_room(void)
{
	struct world world;

	start_many_entries(&world, SEED, 0.9);
	world_run_until(&world, SIMULATION_END_US);
	g_test_message("%u starts, %u orders turned away", world.starts, world.refused_orders);
	g_assert_cmpuint(world.refused_orders * 20, <=, world.starts);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, NULL, 1, 0)), >=, 0.99);
	world_free(&world);
}

/* The same target in the mean of several seeds, as one is no measure of a share of 1 in 20: entries
 * that filled a server to its last place had 1 in 13 of their orders turned away. */
static void test_many_entries_leave_room(void)
{
	uint32_t refused_orders = 0;
	uint32_t starts = 0;

	for (uint32_t seed = 1; seed <= MANY_SEEDS; seed++) {
		struct world world;

		start_many_entries(&world, seed, 0.9);
		world_run_until(&world, SIMULATION_END_US);
		refused_orders += world.refused_orders;
		starts += world.starts;
		world_free(&world);
	}
	g_test_message("%u starts, %u orders turned away", starts, refused_orders);
	g_assert_cmpuint(refused_orders * 20, <=, starts);
}

/* Above capacity the same entries still serve the urgent short jobs (0.9). */
static void test_many_entries_keep_urgent_jobs(void)
{
	struct world world;

	start_many_entries(&world, SEED, 1.5);
	world_run_until(&world, SIMULATION_END_US);
	g_test_message("%u starts, %u orders turned away", world.starts, world.refused_orders);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, "short", 1, 0)), >=, 0.9);
	count_jobs(&world, "medium", 1, 0);
	count_jobs(&world, "long", 1, 0);
	world_free(&world);
}

/* A burst to one and a half times the capacity: the urgent short jobs go on being served (0.9), and
 * no kind is starved (a third of it is served in time). */
static void test_burst_keeps_urgent_jobs(void)
{
	struct world world;

	start_loaded_world(&world, 1.9);
	world_run_until(&world, SIMULATION_END_US);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, "short", 1, 0)), >=, 0.9);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, "medium", 1, 0)), >=, 1.0 / 3);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, "long", 1, 0)), >=, 1.0 / 3);
	world_free(&world);
}

/* In the same burst the room goes to jobs that are still in time: at most a tenth of the answers is
 * late, and a refused client hears of it within a quarter of its objective (95 ms for the medium
 * jobs). */
static void test_burst_refuses_early(void)
{
	struct world world;
	struct job_counts medium;

	start_loaded_world(&world, 1.9);
	world_run_until(&world, SIMULATION_END_US);
	medium = count_jobs(&world, "medium", 1, 0);
	g_assert_cmpuint(medium.late * 10, <=, medium.in_time + medium.late);
	g_assert_cmpfloat(medium.refused_after_ms, <=, 95);
	world_free(&world);
}

/* Declared run times three times too long, and off by a factor of two either way: the load of a
 * usual day is still served in time (0.95) once the first second has taught the run times. */
static void test_wrong_declarations(void)
{
	struct world world;

	world_init(&world, SEED, 3, SERVERS, SERVER_CPU);
	for (size_t i = 0; i < G_N_ELEMENTS(job_types); i++) {
		struct job_type job_type = job_types[i];

		job_type.estimate_factor = 3.0;
		job_type.estimate_sigma = 0.5;
		schedule_jobs(&world, &job_type, 1.0, LOAD_DURATION_US);
	}
	world_run_until(&world, SIMULATION_END_US);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, NULL, 1, 1000000)), >=, 0.95);
	world_free(&world);
}

/* Two thirds of the servers at half the speed of the others, at a load that they bear: long jobs
 * end in time because short ones leave the fast servers to them (0.95 of the long jobs). */
static void test_unequal_speeds(void)
{
	struct world world;

	world_init(&world, SEED, 3, SERVERS, SERVER_CPU);
	for (uint32_t i = 0; i < SERVERS; i++)
		world.servers[i].speed = i < 2 ? 1.2 : 0.9;
	for (size_t i = 0; i < G_N_ELEMENTS(job_types); i++)
		schedule_jobs(&world, &job_types[i], 0.9, LOAD_DURATION_US);
	world_run_until(&world, SIMULATION_END_US);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, "long", 1, 1000000)), >=, 0.95);
	world_free(&world);
}

static void slow_down_server(struct world *world, void *data)
{
	world->servers[0].speed = 0.15;
}

/* One server of six turns seven times slower: it gets no work that would be late there, and the
 * load of a light day is served in time (0.95) from one second after the change on. */
static void test_slow_server(void)
{
	struct world world;

	start_loaded_world(&world, 0.7);
	world_schedule(&world, 2000000, slow_down_server, NULL);
	world_run_until(&world, SIMULATION_END_US);
	g_assert_cmpfloat(in_time_share(count_jobs(&world, NULL, 1, 3000000)), >=, 0.95);
	world_free(&world);
}

/* The first servers stand still, also with what they run already. */
static void stall_servers(struct world *world, void *data)
{
	for (uint32_t i = 0; i < STALLED_SERVERS; i++) {
		struct world_server *server = &world->servers[i];

		server->speed = stalled_speed;
		for (guint k = 0; k < server->runs->len; k++)
			((struct world_run *)server->runs->pdata[k])->ends_us = INT64_MAX;
	}
}

/* Five servers of sixteen stand still with all that they run, at a load that the others bear (nine
 * tenths of their capacity): nine tenths are served in time from a second after it on. In the mean
 * of several seeds, as it matters which jobs are caught. */
static void test_stalled_servers(void)
{
	double in_time = 0;

	for (uint32_t seed = 1; seed <= STALL_SEEDS; seed++) {
		struct world world;

		start_many_entries(&world, seed, 0.93);
		world_schedule(&world, 2000000, stall_servers, NULL);
		world_run_until(&world, SIMULATION_END_US);
		in_time += in_time_share(count_jobs(&world, NULL, 1, 3000000));
		world_free(&world);
	}
	g_assert_cmpfloat(in_time / STALL_SEEDS, >=, 0.9);
}

static void make_server_fail(struct world *world, void *data)
{
	world->servers[0].always_fails = true;
}

/* One server of six fails all that it starts, at once, and so looks idle: few jobs fail (under 1 in
 * 100), and the rest is served in time (0.95). */
static void test_failing_server(void)
{
	struct world world;
	struct job_counts all;
	GHashTableIter iter;
	gpointer value;
	uint32_t failed = 0;

	start_loaded_world(&world, 0.7);
	world_schedule(&world, 2000000, make_server_fail, NULL);
	world_run_until(&world, SIMULATION_END_US);
	all = count_jobs(&world, NULL, 1, 2000000);
	g_hash_table_iter_init(&iter, world.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		failed += ((struct world_job *)value)->status == STATUS_TASK_FAILED;
	g_assert_cmpuint(failed * 100, <, all.submitted);
	g_assert_cmpfloat(in_time_share(all), >=, 0.95);
	world_free(&world);
}

/* Jobs of 24 tasks among jobs of 2, above capacity: the large ones are served at least half as
 * often. */
static void test_large_jobs_do_not_starve(void)
{
	const struct job_type large = {.queue = "medium",
				       .per_s = 2,
				       .tasks = 24,
				       .cpu = 6200,
				       .work_us = MEDIUM_US,
				       .priority = 1,
				       .estimate_factor = 1.0};
	struct world world;
	double all, largest;

	start_loaded_world(&world, 1.5);
	schedule_jobs(&world, &large, 1.0, LOAD_DURATION_US);
	world_run_until(&world, SIMULATION_END_US);
	all = in_time_share(count_jobs(&world, "medium", 1, 0));
	largest = in_time_share(count_jobs(&world, "medium", 24, 0));
	g_assert_cmpfloat(largest, >=, all / 2);
	world_free(&world);
}

/* No backend server at all: a job is refused at once, and told that it did not run. */
static void test_no_server(void)
{
	struct world world;
	struct world_job *job;

	world_init(&world, SEED, 1, 1, SERVER_CPU);
	world_kill_agent(&world, 0);
	job = world_add_job(&world, 1, 1, 1000, SHORT_US);
	submit(&world, job);
	world_run_until(&world, 50000);
	g_assert_true(job->answered && job->refused);
	world_free(&world);
}

/* A task larger than any server can never run: it is refused at once also while all servers are
 * free. */
static void test_task_larger_than_servers(void)
{
	struct world world;
	struct world_job *job;

	world_init(&world, SEED, 1, 2, SERVER_CPU);
	job = world_add_job(&world, 1, 1, SERVER_CPU + 1, SHORT_US);
	world_run_until(&world, 20000);
	submit(&world, job);
	world_run_until(&world, 50000);
	g_assert_true(job->answered && job->refused);
	g_assert_cmpint(job->status, ==, STATUS_NO_CAPACITY_MATCH);
	world_free(&world);
}

/* A client that has used up most of its patience elsewhere, as after a loss of all hosts, leaves
 * before any server could answer: it is refused at once and nothing is started for it. */
static void test_client_leaves_too_soon(void)
{
	struct world world;
	struct world_job *job;

	world_init(&world, SEED, 1, 2, SERVER_CPU);
	job = world_add_job(&world, 1, 2, 1000, MEDIUM_US);
	world_run_until(&world, 20000);
	job->first_sent_us = world.now_us;
	job->deadline_us = world.now_us + MEDIUM_US / 2;
	world_send_job(&world, job, 0);
	world_run_until(&world, 50000);
	g_assert_true(job->answered && job->refused);
	g_assert_cmpint(job->status, ==, STATUS_DEADLINE_UNREACHABLE);
	g_assert_cmpuint(world.starts, ==, 0);
	world_free(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/usual", test_usual_load);
	g_test_add_func("/load/full/turns_nothing_away", test_full_servers_turn_nothing_away);
	g_test_add_func("/load/many_entries/share_room", test_many_entries_share_room);
	g_test_add_func("/load/many_entries/leave_room", test_many_entries_leave_room);
	g_test_add_func("/load/many_entries/keep_urgent_jobs", test_many_entries_keep_urgent_jobs);
	g_test_add_func("/load/burst/keeps_urgent_jobs", test_burst_keeps_urgent_jobs);
	g_test_add_func("/load/burst/refuses_early", test_burst_refuses_early);
	g_test_add_func("/load/wrong_declarations", test_wrong_declarations);
	g_test_add_func("/load/unequal_speeds", test_unequal_speeds);
	g_test_add_func("/load/slow_server", test_slow_server);
	g_test_add_func("/load/stalled_servers", test_stalled_servers);
	g_test_add_func("/load/failing_server", test_failing_server);
	g_test_add_func("/load/large_jobs", test_large_jobs_do_not_starve);
	g_test_add_func("/load/no_server", test_no_server);
	g_test_add_func("/load/task_larger_than_servers", test_task_larger_than_servers);
	g_test_add_func("/load/client_leaves_too_soon", test_client_leaves_too_soon);
	return g_test_run();
}
