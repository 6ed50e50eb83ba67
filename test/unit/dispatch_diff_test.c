/*
 * Injects random sequences of faults into entries, agents and backend servers and checks them with
 * an observer that knows which task runs where. Guards against two concurrent runs of one task, and
 * against the start of a job after all its clients were answered that it had not run.
 *
 * DISPATCH_DIFF_SEED replays a single sequence; DISPATCH_DIFF_COUNT sets the number of sequences.
 */
#include "world.h"

enum {
	SEQUENCES = 20000,
	JOBS = 14,
	SEQUENCE_US = 9000000,
	SUBMIT_US = 4000000, /* jobs are submitted before this time */
	FAULTS_US = 5000000, /* faults are injected before this time */
};

struct fault {
	uint32_t entry;
	uint32_t server;
};

static void cut_link(struct world *world, void *data)
{
	struct fault *fault = data;

	world_disconnect(world, fault->entry, fault->server);
}

static void restore_link(struct world *world, void *data)
{
	struct fault *fault = data;

	world_reconnect(world, fault->entry, fault->server);
	g_free(fault);
}

static void kill_entry(struct world *world, void *data)
{
	world_kill_entry(world, ((struct fault *)data)->entry);
}

static void restart_entry(struct world *world, void *data)
{
	struct fault *fault = data;

	if (!world->entries[fault->entry].up)
		world_start_entry(world, fault->entry);
	g_free(fault);
}

static void kill_agent(struct world *world, void *data)
{
	world_kill_agent(world, ((struct fault *)data)->server);
}

static void restart_agent(struct world *world, void *data)
{
	struct fault *fault = data;

	if (!world->agents[fault->server].up) {
		world_start_agent(world, fault->server);
		for (uint32_t i = 0; i < world->entry_count; i++) {
			if (world->entries[i].up)
				world_connect(world, i, fault->server);
		}
	}
	g_free(fault);
}

static void crash_server(struct world *world, void *data)
{
	struct fault *fault = data;

	world_crash_server(world, fault->server);
	g_free(fault);
}

/* Simulates a client that closes its connection. */
static void client_leaves(struct world *world, void *data)
{
	struct world_job *job = data;

	for (uint32_t i = 0; i < world->entry_count; i++) {
		if (world->entries[i].up)
			dispatch_end_job(&world->entries[i].dispatch, job->id, STATUS_CANCELLED,
					 "the client has left", world->now_us);
	}
	if (job->awaiting_answer)
		world_handle_missing_answer(world, job);
}

static void submit(struct world *world, void *data)
{
	struct world_job *job = data;

	job->first_sent_us = world->now_us;
	world_send_job(world, job,
		       (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->entry_count));
}

static void schedule_random_fault(struct world *world)
{
	struct fault *fault = g_new(struct fault, 1);
	int64_t at_us = g_rand_int_range(world->rand, 0, FAULTS_US);
	int64_t end_us = at_us + g_rand_int_range(world->rand, 10000, 3000000);

	fault->entry = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->entry_count);
	fault->server = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->server_count);
	switch (g_rand_int_range(world->rand, 0, 4)) {
	case 0:
		world_schedule(world, at_us, cut_link, fault);
		world_schedule(world, end_us, restore_link, fault);
		break;
	case 1:
		world_schedule(world, at_us, kill_entry, fault);
		world_schedule(world, end_us, restart_entry, fault);
		break;
	case 2:
		world_schedule(world, at_us, kill_agent, fault);
		world_schedule(world, end_us, restart_agent, fault);
		break;
	default:
		world_schedule(world, at_us, crash_server, fault);
		break;
	}
}

static void schedule_random_jobs(struct world *world)
{
	for (uint32_t i = 0; i < JOBS; i++) {
		struct world_job *job =
			world_add_job(world, i + 1, (uint32_t)g_rand_int_range(world->rand, 1, 5),
				      (uint32_t)g_rand_int_range(world->rand, 1000, 9000),
				      g_rand_int_range(world->rand, 20000, 1500000));
		int64_t at_us = g_rand_int_range(world->rand, 0, SUBMIT_US);

		job->priority = (uint32_t)g_rand_int_range(world->rand, 0, 3);
		job->deadline_us = at_us + 2500000;
		world_schedule(world, at_us, submit, job);
		if (world_chance(world, 0.15))
			world_schedule(world, at_us + g_rand_int_range(world->rand, 1000, 800000),
				       client_leaves, job);
	}
}

/* Runs one sequence. Returns whether the observer found no violation. */
static bool run_sequence(uint32_t seed, uint32_t *starts, uint32_t *answers)
{
	struct world world;
	GHashTableIter iter;
	gpointer value;
	bool passed;

	world_init(&world, seed, 2, 3, 20000);
	world.faults = (struct world_faults){
		.start_lost = g_rand_double(world.rand) < 0.5 ? 0.2 : 0,
		.answer_lost = g_rand_double(world.rand) < 0.5 ? 0.1 : 0,
		.stop_lost = g_rand_double(world.rand) < 0.5 ? 0.2 : 0,
		.list_lost = g_rand_double(world.rand) < 0.3 ? 0.2 : 0,
		.task_fails = 0.05,
	};
	schedule_random_jobs(&world);
	for (int i = g_rand_int_range(world.rand, 0, 5); i > 0; i--)
		schedule_random_fault(&world);
	world_run_until(&world, SEQUENCE_US);
	passed = world.overlapping_starts == 0 && world.started_although_refused == 0;
	if (!passed)
		g_test_message("seed %u: %u overlaps, %u starts of refused jobs", seed,
			       world.overlapping_starts, world.started_although_refused);
	*starts += world.starts;
	g_hash_table_iter_init(&iter, world.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*answers += ((struct world_job *)value)->answered;
	world_free(&world);
	return passed;
}

static void test_sequences(void)
{
	const char *seed_text = g_getenv("DISPATCH_DIFF_SEED");
	const char *count_text = g_getenv("DISPATCH_DIFF_COUNT");
	uint32_t first = seed_text ? (uint32_t)atoi(seed_text) : 1;
	uint32_t count = count_text ? (uint32_t)atoi(count_text) : SEQUENCES;
	uint32_t starts = 0, answers = 0, failed = 0;

	if (seed_text)
		count = 1;
	for (uint32_t i = 0; i < count; i++)
		failed += !run_sequence(first + i, &starts, &answers);
	g_test_message("%u sequences, %u starts, %u answers", count, starts, answers);
	g_assert_cmpuint(failed, ==, 0);
	/* Without enough starts and answers, the checks above would be meaningless. */
	g_assert_cmpuint(starts, >, count * JOBS / 2);
	g_assert_cmpuint(answers, >, count * JOBS / 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/diff/sequences", test_sequences);
	return g_test_run();
}
