/*
 * Injects random sequences of faults into entries, agents and backend servers and checks the
 * result with the simulation, which sees every run at every server. Guards against two concurrent
 * runs of one task, and against the start of a job after all its clients were answered that it had
 * not run.
 *
 * DISPATCH_DIFF_SEED replays a single sequence; DISPATCH_DIFF_COUNT sets the number of sequences.
 */
#include "simulation.h"

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

static void cut_link(struct simulation *sim, void *data)
{
	struct fault *fault = data;

	simulation_disconnect(sim, fault->entry, fault->server);
}

static void restore_link(struct simulation *sim, void *data)
{
	struct fault *fault = data;

	simulation_reconnect(sim, fault->entry, fault->server);
	g_free(fault);
}

static void kill_entry(struct simulation *sim, void *data)
{
	simulation_kill_entry(sim, ((struct fault *)data)->entry);
}

static void restart_entry(struct simulation *sim, void *data)
{
	struct fault *fault = data;

	if (!sim->entries[fault->entry].up)
		simulation_start_entry(sim, fault->entry);
	g_free(fault);
}

static void kill_agent(struct simulation *sim, void *data)
{
	simulation_kill_agent(sim, ((struct fault *)data)->server);
}

static void restart_agent(struct simulation *sim, void *data)
{
	struct fault *fault = data;

	if (!sim->agents[fault->server].up) {
		simulation_start_agent(sim, fault->server);
		for (uint32_t i = 0; i < sim->entry_count; i++) {
			if (sim->entries[i].up)
				simulation_connect(sim, i, fault->server);
		}
	}
	g_free(fault);
}

static void crash_server(struct simulation *sim, void *data)
{
	struct fault *fault = data;

	simulation_crash_server(sim, fault->server);
	g_free(fault);
}

/* Simulates a client that closes its connection. */
static void client_leaves(struct simulation *sim, void *data)
{
	struct simulation_job *job = data;

	for (uint32_t i = 0; i < sim->entry_count; i++) {
		if (sim->entries[i].up)
			dispatch_end_job(&sim->entries[i].node.dispatch, job->id, STATUS_CANCELLED,
					 "the client has left", sim->now_us);
	}
	if (job->awaiting_answer)
		simulation_handle_missing_answer(sim, job);
}

static void submit(struct simulation *sim, void *data)
{
	struct simulation_job *job = data;

	job->first_sent_us = sim->now_us;
	simulation_send_job(sim, job,
			    (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)sim->entry_count));
}

static void schedule_random_fault(struct simulation *sim)
{
	struct fault *fault = g_new(struct fault, 1);
	int64_t at_us = g_rand_int_range(sim->rand, 0, FAULTS_US);
	int64_t end_us = at_us + g_rand_int_range(sim->rand, 10000, 3000000);

	fault->entry = (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)sim->entry_count);
	fault->server = (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)sim->server_count);
	switch (g_rand_int_range(sim->rand, 0, 4)) {
	case 0:
		simulation_schedule(sim, at_us, cut_link, fault);
		simulation_schedule(sim, end_us, restore_link, fault);
		break;
	case 1:
		simulation_schedule(sim, at_us, kill_entry, fault);
		simulation_schedule(sim, end_us, restart_entry, fault);
		break;
	case 2:
		simulation_schedule(sim, at_us, kill_agent, fault);
		simulation_schedule(sim, end_us, restart_agent, fault);
		break;
	default:
		simulation_schedule(sim, at_us, crash_server, fault);
		break;
	}
}

static void schedule_random_jobs(struct simulation *sim)
{
	for (uint32_t i = 0; i < JOBS; i++) {
		int64_t work_us = g_rand_int_range(sim->rand, 20000, 1500000);
		uint32_t cpu = (uint32_t)g_rand_int_range(sim->rand, 1000, 9000);
		uint32_t tasks = (uint32_t)g_rand_int_range(sim->rand, 1, 5);
		struct simulation_job *job = simulation_add_job(sim, i + 1, tasks, cpu, work_us);
		int64_t at_us = g_rand_int_range(sim->rand, 0, SUBMIT_US);

		job->priority = (uint32_t)g_rand_int_range(sim->rand, 0, 3);
		job->deadline_us = at_us + 2500000;
		simulation_schedule(sim, at_us, submit, job);
		if (simulation_chance(sim, 0.15))
			simulation_schedule(sim, at_us + g_rand_int_range(sim->rand, 1000, 800000),
					    client_leaves, job);
	}
}

/* Runs one sequence. Returns whether the simulation counted no violation. */
static bool run_sequence(uint32_t seed, uint32_t *starts, uint32_t *answers)
{
	struct simulation sim;
	GHashTableIter iter;
	gpointer value;
	bool passed;

	simulation_init(&sim, seed, 2, 3, 20000);
	sim.faults = (struct simulation_faults){
		.start_lost = g_rand_double(sim.rand) < 0.5 ? 0.2 : 0,
		.answer_lost = g_rand_double(sim.rand) < 0.5 ? 0.1 : 0,
		.stop_lost = g_rand_double(sim.rand) < 0.5 ? 0.2 : 0,
		.list_lost = g_rand_double(sim.rand) < 0.3 ? 0.2 : 0,
		.task_fails = 0.05,
	};
	schedule_random_jobs(&sim);
	for (int i = g_rand_int_range(sim.rand, 0, 5); i > 0; i--)
		schedule_random_fault(&sim);
	simulation_run_until(&sim, SEQUENCE_US);
	passed = sim.overlapping_starts == 0 && sim.started_although_refused == 0;
	if (!passed)
		g_test_message("seed %u: %u overlaps, %u starts of refused jobs", seed,
			       sim.overlapping_starts, sim.started_although_refused);
	*starts += sim.starts;
	g_hash_table_iter_init(&iter, sim.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*answers += ((struct simulation_job *)value)->answered;
	simulation_free(&sim);
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
